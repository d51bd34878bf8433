#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/endpoint_fleet.h"
#include "core/evacuation_progress.h"
#include "core/key_leader_actions.h"
#include "core/key_placement.h"
#include "core/key_routes.h"
#include "core/ownership_record.h"

namespace sycamorestall {

// Manages who owns the keys of one service: grants keys to endpoints, renews the grants
// and moves keys so that no key has two holders. Any daemon can lead; the record in the
// store names the leader. The class does no I/O: each call passes the current time and
// an input, and queues actions for the caller to run.
class KeyLeader {
 public:
  KeyLeader(KeyLeaderSettings settings, std::unique_ptr<KeyPlacement> placement);

  // Applies the record read from the store; revision 0 means that there is none. A record that the
  // store holds in a copy is ignored if a later one is known.
  void ApplyRecord(const OwnershipRecord& record, Revision revision, Instant now);
  // Handles the result of the write with this change id.
  void HandleWriteResult(const std::string& change_id, RecordWriteOutcome outcome,
                         Revision revision, Instant now);
  // Handle the reply to a grant or release, or its failure. `sent` is false if the
  // order certainly did not leave this daemon; otherwise the endpoint may still carry
  // it out.
  void HandleOrderReply(std::uint64_t order, const OrderReply& reply, Instant now);
  void HandleOrderFailure(std::uint64_t order, bool sent, Instant now);
  // Handles the report that an endpoint does not hold a key that was granted to it.
  void HandleNotOwnerReport(KeyNumber key, const InstanceId& endpoint, Instant now);
  // Accepts the request of a leader that stops during a store outage to renew its
  // grants. `confirmed_at` is when that leader last heard from the store.
  void AcceptHandOver(const OwnershipRecord& record, Instant confirmed_at, Instant now);
  // Notes that another daemon announces keys under this term; a higher term than this
  // leader's ends its leadership.
  void ObserveTerm(Term term);
  // Adds request counts of this or another daemon.
  void AddDemand(const std::vector<KeyCount>& counts);
  // Does everything that is due.
  void Tick(const EndpointFleet& fleet, const StoreView& store, Instant now);
  // Gives up leadership at the next Tick, if this daemon has it, and never claims it again.
  void StepDown() { stepping_down_ = true; }

  // Returns the queued actions and empties the queue.
  std::vector<KeyLeaderAction> TakeActions();

  // Whether this daemon sends grants, as the leader or as acting leader.
  bool leading() const { return phase_ == Phase::kLeading || phase_ == Phase::kActing; }
  // The latest record known.
  const OwnershipRecord& record() const { return record_; }
  Term term() const { return phase_ == Phase::kActing ? handed_over_record_.term : record_.term; }
  // While leading: how many keys endpoints of evacuated failure domains own.
  std::size_t evacuated_keys_left() const { return evacuation_progress_.keys_left(); }
  // The ranges that have a serving owner, sorted by key. All other keys wait for one.
  std::vector<ServedRange> ServedRanges() const;

 private:
  // kActing: renewing the grants of a leader that stopped during a store outage.
  enum class Phase { kFollowing, kClaiming, kLeading, kActing };
  enum class RangePhase {
    // The record names the owner, which gets grants.
    kOwned,
    // The owner was asked to release the keys.
    kReleasing,
    // The owner did not confirm the release, or refused a grant: unless it is back, its grants
    // have to expire.
    kExpiring,
    // No endpoint holds the keys; the next write names a new owner.
    kFree,
  };
  struct RangeState {
    OwnedRange owned;
    RangePhase phase = RangePhase::kOwned;
    // The next owner, while the keys are being moved.
    std::optional<InstanceId> target;
    // Whether the keys must be assigned to their present owner again.
    bool must_keep_owner = false;
    // Whether the pending write assigns this range, and whether the new owner is the
    // previous one.
    bool in_pending_write = false;
    bool keeps_owner = false;
    // What the previous owner returned with its release, for the next owner.
    std::string handover_state;
    // Whether the owner may have seen a higher token than its own, as a release carries one. It
    // refuses grants with its own token then, which does not show that it holds nothing.
    bool token_may_be_outdated = false;
    // Whether the release was sent again, to learn whether the owner has ended.
    bool release_repeated = false;
    // Whether the owner has confirmed a grant of this leader.
    bool grant_confirmed = false;
    // Whether requests may go to the owner, as it is assumed to hold the keys.
    bool serving = false;
    Instant next_order_at;
    // The order that is waiting for its reply; 0 if there is none.
    std::uint64_t pending_order = 0;
    // Orders that failed since the owner last carried one out.
    std::uint32_t order_failures = 0;
    Instant last_failure_at;
    // Until when the owner may hold the keys under the orders whose result is known.
    Instant held_until;
    // Until when a grant that was sent but not answered may still arrive or be in force.
    Instant unconfirmed_until;
    // Until when a grant with a lower token, usually of an earlier leader, may still
    // arrive or be in force. A confirmed grant of this leader ends that, as its token
    // is higher; a release does not.
    Instant older_grant_until;
  };

  // Takes the store's record, unless a later one is known, at the start of an era.
  void BeginEra(const OwnershipRecord& restored, Revision revision, Instant now);
  // Notes that the store may have lost changes of the record of earlier eras.
  void ExpectLostGrants(Instant now);
  // Whether the store may have lost later changes of the record, which were made in an earlier era
  // and are not known here.
  bool MayLackChanges() const;
  // Marks the record as written in the present era. Its term and tokens exceed all that may have
  // been given in the changes that the store lost.
  void RaiseToPresentEra(OwnershipRecord& record) const;
  // Writes the record of this leader again, as the store has an older one.
  void RestoreRecord(Instant now);
  // Queues a log message.
  void LogDecision(std::string text);
  // Whether this leader heard from the store recently enough to send grants and
  // releases.
  bool MaySendOrders(const StoreView& store, Instant now) const;
  // For how long after its arrival a grant may be in force, by this daemon's clock.
  Duration GrantLifetime() const;
  // For how long after it was sent a grant of another leader may arrive.
  Duration MaxGrantDelay() const;
  // Counts a grant that the endpoint may have received, or may still receive, although it
  // was not confirmed and its connection is closed.
  void CountUnconfirmedGrant(RangeState& state, Instant now) const;
  void ClaimIfLeaderless(const EndpointFleet& fleet, const StoreView& store, Instant now);
  void UpdateAddresses(const EndpointFleet& fleet);
  // Whether the number of listed endpoints has been unchanged for long enough for the
  // initial assignment.
  bool EndpointListIsStable(const EndpointFleet& fleet, Instant now);
  void ClaimLeadership(Instant now);
  // Takes over from the known record how long endpoints may hold keys by changes of it that the
  // store lost, and whether these are unknown here.
  void LearnLostChanges(Instant now);
  // Makes the pending write the known record.
  void ApplyCompletedWrite(Revision revision, Instant now);
  void RetryWrite(Instant now);
  // Sets the times of grants of a range that has just been assigned.
  static void ResetGrantTimes(RangeState& state);
  void BecomeLeader(Instant now);
  void CreateInitialAssignment(const EndpointFleet& fleet, Instant now);
  void AdvanceRanges(const EndpointFleet& fleet, const StoreView& store, Instant now);
  void AdvanceOwnedRange(RangeState& state, const EndpointFleet& fleet, const StoreView& store,
                         Instant now);
  // Whether the keys have to be granted to the owner once more before they are
  // released, so that it refuses grants of earlier leaders from then on.
  static bool NeedsGrantBeforeRelease(const RangeState& state, Instant now);
  // Whether the owner holds the keys no longer, as its grant could not be renewed in time.
  static bool HasExpired(const RangeState& state, Instant now);
  // Whether all grants have run out while a repeated release is unanswered, so that its answer is
  // not needed any more.
  static bool HasExpiredDuringRelease(const RangeState& state, Instant now);
  // Whether the owner may be asked now to release the keys.
  static bool IsReleasable(const RangeState& state, const EndpointState& owner, Instant now);
  // Counts the keys that endpoints of evacuated domains own.
  std::size_t CountEvacuatedKeys(const EndpointFleet& fleet) const;
  void TrackEvacuation(const EndpointFleet& fleet, Instant now);
  // Releases a batch of the keys that endpoints of evacuated domains own.
  void ReleaseEvacuatedKeys(const EndpointFleet& fleet, const StoreView& store, Instant now);
  void HandleOwnerRestart(RangeState& state, const EndpointEntry& owner);
  // Handles an answer that shows that the owner has ended, as another endpoint gave it.
  void HandleOwnerReplaced(RangeState& state);
  // Handles the refusal of a grant because of its token.
  void HandleOutdatedToken(RangeState& state, Instant now);
  void AdvanceExpiringRange(RangeState& state, const EndpointFleet& fleet, Instant now);
  // Whether the owner is missing from the list and another endpoint has its address. That alone
  // does not prove that it has ended: the other entry may be wrong.
  bool OwnerAddressIsReused(const RangeState& state, const EndpointFleet& fleet) const;
  // Replaces the ranges by those of the record. Earlier leaders may go on sending grants
  // for `earlier_grant_time` from now on.
  void LoadRanges(const OwnershipRecord& record, Duration earlier_grant_time, Instant now);
  void StopLeading(const StoreView& store, Instant now);
  // Whether the pending write, which may have been applied, says that this leader has stepped down.
  // Another daemon may then lead already.
  bool MayHaveSteppedDown() const;
  // The record whose grants another daemon may renew. It leaves out keys whose next
  // owner may already be named by a write that was not answered.
  OwnershipRecord RecordToHandOver() const;
  // Ends the time as acting leader, and keeps until when owners may hold their keys.
  void StopActing(Instant now);
  // Whether the latest record still names the leader that handed over, so that nobody else has led
  // since.
  bool MayClaimAfterActing() const;
  // Claims the leadership after a time as acting leader, once the store is back. Other daemons
  // would have to wait until all grants that may have been sent have run out; this one sent the
  // latest itself.
  void ClaimAfterActing(const StoreView& store, Instant now);
  // Takes over until when owners may hold their keys from the time as acting leader.
  void RestoreHoldTimes();
  // Renews the grants that were handed over until the store is back.
  void RunAsActingLeader(const StoreView& store, Instant now);
  void BecomeFollower();
  void GrantRange(RangeState& state);
  void StartRelease(RangeState& state, std::optional<InstanceId> target, const std::string& reason);
  // Makes the keys available for a new owner. The present one must hold none of them, nor run
  // requests for them.
  void MarkFree(RangeState& state);
  // Assigns the keys to their present owner once more, with a higher token. That is safe also while
  // it holds them or runs requests for them.
  void ReassignToOwner(RangeState& state);
  // Stops the use of the owner until it is back, or all its grants have run out.
  void WaitForExpiry(RangeState& state);
  void AssignFreeRanges(const EndpointFleet& fleet, Instant now);
  void PlanMoves(const EndpointFleet& fleet, const StoreView& store, Instant now);
  // Asks the owner of the piece, which lies in one range, to release it.
  void ReleasePiece(const KeyRange& piece, std::optional<InstanceId> target,
                    const std::string& reason);
  // Joins adjacent ranges that have the same owner and token.
  void MergeAdjacentRanges();
  void StartWrite(OwnershipRecord record, Instant now);
  // Writes the record anew once changes that the store lost have no effect any more, so that no
  // later leader waits for them.
  void WriteEndOfLostChanges(Instant now);
  // Notes in the record what a leader that reads it has to wait for.
  void SetWaits(OwnershipRecord& record, Instant now) const;
  // The record that describes the present ranges.
  OwnershipRecord CurrentRecord() const;
  // The endpoints that keys may be assigned to.
  std::vector<KeyPlacementTarget> EligibleEndpoints(const EndpointFleet& fleet, Instant now) const;
  // Lets cold endpoints give away the keys whose requests they cannot bear, and get none while the
  // others can take them.
  void LimitColdEndpoints(const EndpointFleet& fleet, std::vector<KeyPlacementTarget>& targets,
                          Instant now) const;
  // Owners that failed an order recently and have carried out none since.
  std::set<InstanceId> UnresponsiveOwners(Instant now) const;
  // The target that is loaded least with so many more requests per second.
  std::optional<InstanceId> LeastLoaded(const std::vector<KeyPlacementTarget>& targets,
                                        const std::map<InstanceId, double>& rates,
                                        double added_rate) const;
  RangeState* FindRangeByOrder(std::uint64_t order);
  NetworkAddress AddressOf(const InstanceId& endpoint) const;

  const KeyLeaderSettings settings_;
  std::unique_ptr<KeyPlacement> placement_;
  Phase phase_ = Phase::kFollowing;
  // The record in the store, as far as it is known.
  OwnershipRecord record_;
  Revision revision_;
  bool record_known_ = false;
  // The record of the write that has no result yet.
  std::optional<OwnershipRecord> pending_write_;
  // Whether an attempt of that write may have been applied.
  bool write_outcome_unknown_ = false;
  std::uint64_t next_change_number_ = 1;
  std::uint64_t next_order_number_ = 1;
  // When the store last confirmed what is known here, as of the latest tick.
  Instant confirmed_at_;
  // The number of daemons then.
  std::size_t daemon_count_ = 1;
  // Until then endpoints may hold keys by changes of the record that the store lost, as leaders of
  // an earlier era may have gone on granting them.
  Instant lost_grants_until_;
  // Whether this daemon claimed leadership without knowing those changes.
  bool holders_unknown_ = false;
  // Whether, since this leader's last write, a conflict or an outdated token has shown that another
  // daemon may have become the leader.
  bool contested_ = false;
  Instant claimed_at_;
  // For how long after this daemon's claim was written earlier leaders may go on sending grants,
  // and until when that is, once it is written.
  Duration earlier_leaders_time_{};
  Instant earlier_leaders_until_;
  std::optional<Instant> leaderless_since_;
  bool stepping_down_ = false;
  std::vector<RangeState> ranges_;
  std::map<InstanceId, NetworkAddress> addresses_;
  KeyDemand demand_;
  Instant next_placement_at_;
  EvacuationProgress evacuation_progress_;
  Instant next_evacuation_batch_at_;
  // The record that a stopping leader handed over. It may lack ranges, so it is never
  // treated as the record in the store.
  OwnershipRecord handed_over_record_;
  // When that leader last heard from the store.
  Instant handed_over_confirmed_at_;
  Instant acting_since_;
  // The ranges at the end of the time as acting leader, until a claim of the leadership is written
  // or another daemon leads.
  std::vector<RangeState> ranges_when_acting_;
  std::uint32_t write_failures_ = 0;
  // No keys are assigned before this time; those freed until then share one write.
  Instant next_assignment_write_at_;
  // When the pending write is sent again after a failure.
  std::optional<Instant> write_retry_at_;
  std::size_t listed_endpoints_ = 0;
  Instant list_changed_at_;
  std::vector<KeyLeaderAction> actions_;
};

}  // namespace sycamorestall

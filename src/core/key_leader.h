#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/endpoint_fleet.h"
#include "core/key_leader_actions.h"
#include "core/key_placement.h"
#include "core/key_routes.h"
#include "core/ownership_record.h"

namespace sycamorestall {

// Leads the keys of one service: grants them to endpoints, renews the grants and
// moves keys so that none has two holders. Any daemon may lead; the record in the
// store says which one does. It does no I/O: each call says what time it is and
// what was heard, and owner_is_draining actions to be carried out.
class KeyLeader {
 public:
  KeyLeader(KeyLeaderSettings settings, std::unique_ptr<KeyPlacement> placement);

  // The record in the store is this one; revision 0 says that there is none.
  void ApplyRecord(const OwnershipRecord& record, Revision revision, Instant now);
  // The write of the record with this change id ended.
  void HandleWriteResult(const std::string& change_id, RecordWriteOutcome outcome,
                         Revision revision, Instant now);
  // An order was answered, or was not; unanswered orders may still be obeyed.
  void HandleOrderReply(std::uint64_t order, const OrderReply& reply, Instant now);
  void HandleOrderFailure(std::uint64_t order, bool sent, Instant now);
  // An endpoint says that it does not hold a key that was grant_confirmed to it.
  void HandleKeyDenial(KeyNumber key, const InstanceId& endpoint, Instant now);
  // The leader stops while the store is away and asks this daemon to renew its
  // grants. The moment is when the leader last heard the store.
  void AcceptHandOver(const OwnershipRecord& record, Instant confirmed_at, Instant now);
  // Another daemon announces keys under this term; a higher one ends this lead.
  void ObserveTerm(Term term);
  // Requests for keys, counted by this daemon or another.
  void AddDemand(const std::vector<KeyCount>& counts);
  // Runs what time and the list bring about.
  void Tick(const EndpointFleet& fleet, const StoreView& store, Instant now);
  // Gives the lead up for good, if it is held.
  void StepDown() { stepping_down_ = true; }

  std::vector<KeyLeaderAction> TakeActions();

  // Whether this daemon grants keys, as leader or in its place.
  bool leading() const { return phase_ == Phase::kLeading || phase_ == Phase::kActing; }
  Term term() const { return phase_ == Phase::kActing ? handed_over_record_.term : record_.term; }
  // The keys that are served, with their owners. Others wait for one.
  std::vector<ServedRange> ServedRanges() const;

 private:
  // Standing in: renewing the grants of a leader that stopped in an outage.
  enum class Phase { kFollowing, kClaiming, kLeading, kActing };
  enum class RangePhase {
    // The record names the owner; grants are sent to it.
    kOwned,
    // Its owner was asked to give the keys back.
    kReleasing,
    // Its owner cannot be asked; its grant runs out by itself.
    kExpiring,
    // Nobody holds the keys; a write names their next owner.
    kFree,
  };
  struct RangeState {
    OwnedRange owned;
    RangePhase phase = RangePhase::kOwned;
    // The next owner, while the keys are on their way.
    std::optional<InstanceId> target;
    // Whether only the present owner may be the next one.
    bool must_keep_owner = false;
    // Whether the write on its way names the next owner, and whether that is the
    // last one again.
    bool in_pending_write = false;
    bool keeps_owner = false;
    std::string handover_state;
    // Whether the owner answered a grant to this leader.
    bool grant_confirmed = false;
    // Whether requests may go to the owner: it is thought to hold the keys.
    bool serving = false;
    Instant next_order;
    // The order that is on its way; 0: none.
    std::uint64_t pending_order = 0;
    Instant order_sent_at;
    std::uint32_t order_failures = 0;
    Instant last_failure_at;
    // Until when the owner may count a grant as live, and the same without the
    // grant on its way.
    Instant held_until;
    Instant held_until_before_order;
    // Until when a grant may be live that was sent and not answered.
    Instant unconfirmed_until;
    // Until when a grant of an earlier leader may be live that is on its way yet. A
    // grant of this leader that was answered ends that, as its token is higher; a
    // release does not.
    Instant earlier_leader_until;
  };

  void LogDecision(std::string text);
  bool MaySendOrders(const StoreView& store, Instant now) const;
  Duration GrantLifetime() const;
  void ClaimIfLeaderless(const EndpointFleet& fleet, const StoreView& store, Instant now);
  void UpdateAddresses(const EndpointFleet& fleet);
  bool EndpointListIsStable(const EndpointFleet& fleet, Instant now);
  void ClaimLeadership(Instant now);
  void ApplyCompletedWrite(Revision revision, Instant now);
  void RetryWrite(Instant now);
  static void ResetGrantTimes(RangeState& state);
  void BecomeLeader(Instant now);
  void CreateInitialAssignment(const EndpointFleet& fleet, Instant now);
  void AdvanceRanges(const EndpointFleet& fleet, const StoreView& store, Instant now);
  void AdvanceOwnedRange(RangeState& state, const EndpointFleet& fleet, const StoreView& store,
                         Instant now);
  // Whether the owner has to be grant_confirmed its keys once more candidates_ahead they are taken
  // from it, so that it refuses grants of earlier leaders from then on.
  static bool NeedsGrantBeforeRelease(const RangeState& state, Instant now);
  void HandleOwnerRestart(RangeState& state, const EndpointEntry& owner);
  void AdvanceExpiringRange(RangeState& state, const EndpointFleet& fleet, Instant now);
  // Whether an endpoint that the list lacks has surely ended: its address is
  // another's now.
  bool OwnerAddressIsReused(const RangeState& state, const EndpointFleet& fleet) const;
  void LoadRanges(const OwnershipRecord& record, Duration earlier, Instant now);
  void StopLeading(const StoreView& store);
  // The grants that another daemon may renew: not those of keys whose next owner a
  // write without an answer may have named already.
  OwnershipRecord RecordToHandOver() const;
  void RunAsActingLeader(const StoreView& store, Instant now);
  void BecomeFollower();
  void GrantRange(RangeState& state, Instant now);
  void StartRelease(RangeState& state, std::optional<InstanceId> target, const std::string& reason,
                    Instant now);
  void MarkFree(RangeState& state);
  void AssignFreeRanges(const EndpointFleet& fleet, Instant now);
  void PlanMoves(const EndpointFleet& fleet, const StoreView& store, Instant now);
  void StartMove(const KeyMove& move, Instant now);
  void MergeAdjacentRanges();
  void StartWrite(OwnershipRecord record);
  OwnershipRecord CurrentRecord() const;
  // The endpoints that keys may be given to.
  std::vector<PlacementTarget> EligibleEndpoints(const EndpointFleet& fleet, Instant now) const;
  // Owners that left an order unanswered lately and have answered none since.
  std::set<InstanceId> UnresponsiveOwners(Instant now) const;
  std::optional<InstanceId> LeastLoaded(const std::vector<PlacementTarget>& targets,
                                        const std::map<InstanceId, double>& rates) const;
  RangeState* FindRangeByOrder(std::uint64_t order);
  NetworkAddress AddressOf(const InstanceId& endpoint) const;

  const KeyLeaderSettings settings_;
  std::unique_ptr<KeyPlacement> placement_;
  Phase phase_ = Phase::kFollowing;
  // What the store holds, as far as is known.
  OwnershipRecord record_;
  Revision revision_;
  bool record_known_ = false;
  // The write on its way.
  std::optional<OwnershipRecord> pending_write_;
  bool write_outcome_unknown_ = false;
  std::uint64_t next_change_number_ = 1;
  std::uint64_t next_order_number_ = 1;
  Instant claimed_at_;
  bool earlier_leader_stepped_down_ = true;
  std::optional<Instant> leaderless_since_;
  bool stepping_down_ = false;
  std::vector<RangeState> ranges_;
  std::map<InstanceId, NetworkAddress> addresses_;
  KeyDemand demand_;
  Instant next_placement_at_;
  // What the leader handed over that this daemon stands in for. It may lack ranges, so
  // it is never taken for what the store holds.
  OwnershipRecord handed_over_record_;
  // When the store was last heard by that leader.
  Instant handed_over_confirmed_at_;
  Instant acting_since_;
  std::uint32_t write_failures_ = 0;
  // Keys freed in the meantime go into the same write.
  Instant next_assignment_write_at_;
  // When the write is sent again whose result is not known.
  std::optional<Instant> write_retry_at_;
  std::size_t listed_endpoints_ = 0;
  Instant list_changed_at_;
  std::vector<KeyLeaderAction> actions_;
};

}  // namespace sycamorestall

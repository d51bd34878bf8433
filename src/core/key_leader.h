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
// what was heard, and leaves actions to be carried out.
class KeyLeader {
 public:
  KeyLeader(KeyLeaderSettings settings, std::unique_ptr<KeyPlacement> placement);

  // The record in the store is this one; revision 0 says that there is none.
  void TakeRecord(const OwnershipRecord& record, Revision revision, Instant now);
  // The write of the record with this change id ended.
  void TakeWrite(const std::string& change_id, RecordVerdict verdict, Revision revision,
                 Instant now);
  // An order was answered, or was not; unanswered orders may still be obeyed.
  void TakeReply(std::uint64_t order, const OrderReply& reply, Instant now);
  void TakeSilence(std::uint64_t order, bool sent, Instant now);
  // An endpoint says that it does not hold a key that was granted to it.
  void TakeDenial(KeyNumber key, const InstanceId& endpoint, Instant now);
  // The leader stops while the store is away and asks this daemon to renew its
  // grants. The moment is when the leader last heard the store.
  void TakeHandOver(const OwnershipRecord& record, Instant confirmed_at, Instant now);
  // Another daemon announces keys under this term; a higher one ends this lead.
  void HearTerm(Term term);
  // Requests for keys, counted by this daemon or another.
  void TakeDemand(const std::vector<KeyCount>& counts);
  // Runs what time and the list bring about.
  void Tick(const EndpointFleet& fleet, const StoreView& store, Instant now);
  // Gives the lead up for good, if it is held.
  void StepDown() { stepping_down_ = true; }

  std::vector<KeyLeaderAction> TakeActions();

  // Whether this daemon grants keys, as leader or in its place.
  bool leading() const { return phase_ == Phase::kLeading || phase_ == Phase::kStandingIn; }
  Term term() const { return phase_ == Phase::kStandingIn ? handed_over_.term : record_.term; }
  // The keys that are served, with their owners. Others wait for one.
  std::vector<ServedRange> ServedRanges() const;

 private:
  // Standing in: renewing the grants of a leader that stopped in an outage.
  enum class Phase { kFollowing, kClaiming, kLeading, kStandingIn };
  enum class RowPhase {
    // The record names the owner; grants are sent to it.
    kOwned,
    // Its owner was asked to give the keys back.
    kReleasing,
    // Its owner cannot be asked; its grant runs out by itself.
    kExpiring,
    // Nobody holds the keys; a write names their next owner.
    kFree,
  };
  struct Row {
    OwnedRange owned;
    RowPhase phase = RowPhase::kOwned;
    // The next owner, while the keys are on their way.
    std::optional<InstanceId> target;
    // Whether only the present owner may be the next one.
    bool pinned = false;
    // Whether the write on its way names the next owner, and whether that is the
    // last one again.
    bool assigned = false;
    bool keeps_owner = false;
    std::string handover;
    // Whether the owner answered a grant to this leader.
    bool granted = false;
    // Whether requests may go to the owner: it is thought to hold the keys.
    bool serving = false;
    Instant next_order;
    // The order that is on its way; 0: none.
    std::uint64_t order = 0;
    Instant order_sent;
    std::uint32_t silences = 0;
    Instant silent_at;
    // Until when the owner may count a grant as live, and the same without the
    // grant on its way.
    Instant held_until;
    Instant held_before_order;
    // Until when a grant may be live that was sent and not answered.
    Instant doubtful_until;
    // Until when a grant of an earlier leader may be live that is on its way yet. A
    // grant of this leader that was answered ends that, as its token is higher; a
    // release does not.
    Instant earlier_until;
  };

  void Explain(std::string text);
  bool MayOrder(const StoreView& store, Instant now) const;
  Duration HoldTime() const;
  void ConsiderClaim(const EndpointFleet& fleet, const StoreView& store, Instant now);
  void TakeAddresses(const EndpointFleet& fleet);
  bool ListIsSettled(const EndpointFleet& fleet, Instant now);
  void Claim(Instant now);
  void FinishWrite(Revision revision, Instant now);
  void RepeatWrite(Instant now);
  static void ForgetGrants(Row& row);
  void Lead(Instant now);
  void FirstAssignment(const EndpointFleet& fleet, Instant now);
  void AdvanceRows(const EndpointFleet& fleet, const StoreView& store, Instant now);
  void AdvanceOwned(Row& row, const EndpointFleet& fleet, const StoreView& store, Instant now);
  // Whether the owner has to be granted its keys once more before they are taken
  // from it, so that it refuses grants of earlier leaders from then on.
  static bool NeedsGrantFirst(const Row& row, Instant now);
  void TakeRestart(Row& row, const EndpointEntry& owner);
  void AdvanceExpiring(Row& row, const EndpointFleet& fleet, Instant now);
  // Whether an endpoint that the list lacks has surely ended: its address is
  // another's now.
  bool IsReplaced(const Row& row, const EndpointFleet& fleet) const;
  void TakeRows(const OwnershipRecord& record, Duration earlier, Instant now);
  void StopLeading(const StoreView& store);
  // The grants that another daemon may renew: not those of keys whose next owner a
  // write without an answer may have named already.
  OwnershipRecord RecordToHandOver() const;
  void StandIn(const StoreView& store, Instant now);
  void Follow();
  void SendGrantFor(Row& row, Instant now);
  void BeginRelease(Row& row, std::optional<InstanceId> target, const std::string& reason,
                    Instant now);
  void Free(Row& row);
  void AssignFree(const EndpointFleet& fleet, Instant now);
  void PlanMoves(const EndpointFleet& fleet, const StoreView& store, Instant now);
  void StartMove(const KeyMove& move, Instant now);
  void MergeRows();
  void BeginWrite(OwnershipRecord record);
  OwnershipRecord CurrentRecord() const;
  // The endpoints that keys may be given to.
  std::vector<KeyTarget> Targets(const EndpointFleet& fleet, Instant now) const;
  // Owners that left an order unanswered lately and have answered none since.
  std::set<InstanceId> SilentOwners(Instant now) const;
  std::optional<InstanceId> LeastLoaded(const std::vector<KeyTarget>& targets,
                                        const std::map<InstanceId, double>& rates) const;
  Row* RowOfOrder(std::uint64_t order);
  NetworkAddress AddressOf(const InstanceId& endpoint) const;

  const KeyLeaderSettings settings_;
  std::unique_ptr<KeyPlacement> placement_;
  Phase phase_ = Phase::kFollowing;
  // What the store holds, as far as is known.
  OwnershipRecord record_;
  Revision revision_;
  bool record_known_ = false;
  // The write on its way.
  std::optional<OwnershipRecord> writing_;
  bool write_in_doubt_ = false;
  std::uint64_t next_change_ = 1;
  std::uint64_t next_order_ = 1;
  Instant claimed_at_;
  bool earlier_leader_silent_ = true;
  std::optional<Instant> leaderless_since_;
  bool stepping_down_ = false;
  std::vector<Row> rows_;
  std::map<InstanceId, NetworkAddress> addresses_;
  KeyDemand demand_;
  Instant next_placement_;
  // What the leader handed over that this daemon stands in for. It may lack ranges, so
  // it is never taken for what the store holds.
  OwnershipRecord handed_over_;
  // When the store was last heard by that leader.
  Instant stand_in_confirmed_at_;
  Instant standing_in_since_;
  std::uint32_t write_failures_ = 0;
  // Keys freed in the meantime go into the same write.
  Instant next_write_;
  // When the write is sent again whose result is not known.
  std::optional<Instant> write_again_at_;
  std::size_t listed_ = 0;
  Instant list_changed_at_;
  std::vector<KeyLeaderAction> actions_;
};

}  // namespace sycamorestall

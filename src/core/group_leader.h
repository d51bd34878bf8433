#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/boot_clock.h"
#include "core/group_actions.h"
#include "core/group_tables.h"
#include "core/instance_list.h"
#include "core/placement.h"

namespace sycamorestall {

// Configures the leader of one group.
struct GroupSettings {
  GroupId group;
  std::vector<ShardId> shards;
  // Whether the endpoints refuse orders and requests of an older term.
  bool endpoints_check_token = true;
  // The lifetime of a renewed grant, and the margin for differences between clocks.
  std::chrono::milliseconds time_to_live{1000};
  std::chrono::milliseconds clock_margin{100};
  std::chrono::milliseconds renew_interval{250};
  std::chrono::milliseconds order_timeout{300};
  std::chrono::milliseconds store_retry_delay{200};
  std::chrono::milliseconds step_down_retry_interval{200};
  // How often the placement policy plans moves, and how long an endpoint that joins
  // under this leader takes to warm up to a full share of the load.
  std::chrono::milliseconds placement_interval{500};
  std::chrono::milliseconds warm_up{10000};
};

// Where to send a request for a shard.
struct ShardRoute {
  InstanceId endpoint;
  Epoch epoch;
  Term term;
  // The incarnation of the endpoint that holds the grant.
  Incarnation incarnation;

  friend bool operator==(const ShardRoute&, const ShardRoute&) = default;
};

// The role of this daemon for a group: not involved, reading the record before a claim,
// writing the claim, or leading.
enum class LeaderPhase { kIdle, kReading, kClaiming, kLeading };

// Leads one group of endpoints: claims a new term in the store, renews the owners'
// grants and moves shards, so that no shard ever has two owners. It does no I/O: each
// call passes the current time and an event, and queues actions for the caller to carry
// out. docs/design/ownership.md explains why its rules are safe.
class GroupLeader {
 public:
  GroupLeader(GroupSettings settings, ProcessId self, std::unique_ptr<PlacementPolicy> placement);

  // Starts to claim the leadership. Does nothing if it already leads or claims.
  void Claim(Instant now);
  // Gives up the leadership, to `next` if known. After this call the caller must send no
  // order that was queued before it.
  void Resign(Instant now, std::optional<ProcessId> next);
  // Resigns if the term is higher than the one led or claimed.
  void ObserveTerm(Instant now, Term term, const ProcessId& leader);

  // The store answered a read; empty if the group has no record yet.
  void HandleReadResult(Instant now, const std::optional<StoredRecord>& stored);
  // A read failed; it is repeated after store_retry_delay.
  void HandleReadFailure(Instant now);
  // A write ended. The revision counts only if the write was applied.
  void HandleWriteResult(Instant now, WriteOutcome outcome, Revision revision);
  // An endpoint answered the order with this sequence number.
  void HandleOrderReply(Instant now, const InstanceId& endpoint, std::uint64_t sequence,
                        const EndpointReply& reply);
  // The order with this sequence number got no answer.
  void HandleOrderFailure(Instant now, const InstanceId& endpoint, std::uint64_t sequence);
  // An earlier leader confirmed that it sends no more orders, or its process has ended.
  void HandleStepDown(Instant now, const ProcessId& earlier);
  // Applies a list of instances; lists older than the last one are ignored.
  void UpdateInstances(Instant now, const InstanceList& list);

  // Starts to move a shard. Ignored unless the shard is being served and the target can
  // take it.
  void MoveShard(Instant now, ShardId shard, const InstanceId& target);
  // A request could not reach the endpoint. Sends it an order at once and routes no
  // requests there until an order is answered.
  void SuspectEndpoint(Instant now, const InstanceId& endpoint);
  // Counts a request towards the demand of a shard.
  void CountRequest(ShardId shard);
  // Does what is due at this time: retries, renewals, timeouts and moves.
  void Tick(Instant now);

  // Returns the actions queued since the last call, and clears the queue.
  std::vector<GroupAction> TakeActions();

  // Returns where requests for a shard may be sent now; empty if nowhere.
  std::optional<ShardRoute> FindRoute(ShardId shard, Instant now) const;

  // Whether the lease is certainly still valid by the clock of the endpoint.
  bool HasValidLease(const InstanceId& endpoint, Instant now) const;

  LeaderPhase phase() const { return phase_; }
  Term term() const { return record_.term; }
  const GroupSettings& settings() const { return settings_; }
  const EndpointTable& endpoints() const { return endpoints_; }
  const ShardTable& shards() const { return shards_; }
  const GroupRecord& record() const { return record_; }
  // The time from which only this leader can have dispatched requests for the shard;
  // empty while an earlier leader may still do so.
  std::optional<Instant> ExclusiveSince(ShardId shard) const;
  // The largest load of an endpoint divided by the mean, by this leader's counts. 1 is
  // perfectly balanced.
  double Imbalance(Instant now) const;
  // How many shards have no route.
  std::size_t UnservedCount(Instant now) const;
  // How many owners this leader has recorded, first ones included.
  std::uint64_t moves() const { return moves_; }

 private:
  // An endpoint, and which incarnation of it had answered before a write began.
  struct AnsweredEndpoint {
    InstanceId endpoint;
    Incarnation incarnation;
  };
  // A write to the store that is under way, or whose outcome is unknown.
  struct PendingWrite {
    GroupRecord record;
    Revision expected;
    bool is_claim = false;
    bool outcome_unknown = false;
    // The shards whose new owners it records.
    std::vector<ShardId> shards;
    // The endpoints that it confirms; see EndpointRow::confirmed.
    std::vector<AnsweredEndpoint> endpoints;
  };

  void Log(std::string text);
  std::string NewChangeId();
  void WriteClaim(Instant now, const std::optional<StoredRecord>& stored);
  void SendWrite();
  void FinishWrite(Instant now, Revision revision);
  // Finds out from the stored record what became of a write of unknown outcome.
  void ResolveWrite(Instant now, const StoredRecord& stored);
  void BecomeLeader(Instant now);
  void ClearState();

  void ReadRecordIfDue(Instant now);
  void AskStepDownsIfDue(Instant now);
  // Fails orders that got no answer in time, and sends those that are due.
  void ExpireAndSendOrders(Instant now);
  void AdvanceShards(Instant now);
  void PlanMovesIfDue(Instant now);
  void WriteRecordIfNeeded(Instant now);

  void SendNextOrder(Instant now, const InstanceId& id, EndpointRow& row);
  void ApplyOrderReply(Instant now, const InstanceId& endpoint, EndpointRow& row,
                       const EndpointReply& reply);
  void AddGrantChanges(const InstanceId& id, const EndpointRow& row, EndpointOrder& order) const;
  void AdvanceShard(Instant now, ShardId id, ShardRow& shard);
  void AdvanceOwnedShard(Instant now, ShardId id, ShardRow& shard, const EndpointRow& owner);
  void SetPhase(Instant now, ShardRow& shard, ShardPhase phase);
  std::optional<InstanceId> LeastLoadedEndpoint() const;
  bool MayAssignNewShards(Instant now) const;
  double Weight(const ShardRow& shard) const;
  // Whether every shard is served, and no endpoint is failing, leaving, draining or
  // holding anything else.
  bool IsStable() const;
  std::vector<PlacementTarget> PlacementTargets(Instant now) const;
  std::vector<PlacedShard> PlacedShards() const;

  // Whether all earlier leaders are known to send no more orders.
  // Notes that earlier leaders have sent their last orders by now.
  void ExpectEarlierOrders(Instant now);
  bool EarlierLeadersCleared() const { return record_.earlier_leaders.empty(); }
  // Whether orders may be sent. Endpoints that do not check the term could obey an earlier
  // leader as well, so all of those have to step down first.
  bool MaySendOrders() const;
  // Whether every grant that the endpoint may have held has expired.
  bool AllGrantsExpired(const EndpointRow& row, Instant now) const;
  // Whether the endpoint has given the shard up and no order can give it back.
  bool IsRevocationComplete(ShardId id, const EndpointRow& row, Instant now) const;

  const GroupSettings settings_;
  const ProcessId self_;
  LeaderPhase phase_ = LeaderPhase::kIdle;
  GroupRecord record_;
  Revision revision_;
  std::optional<PendingWrite> write_;
  bool write_in_flight_ = false;
  bool read_in_flight_ = false;
  Instant next_store_call_;
  Instant next_step_down_request_;
  // When the last earlier leader was cleared, or else when this one claimed or began to
  // lead.
  Instant last_cleared_at_;
  // Until then orders of earlier leaders may still arrive, as their stamps have not expired.
  Instant earlier_orders_until_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t next_change_number_ = 1;
  std::uint64_t list_revision_ = 0;
  std::uint64_t moves_ = 0;
  // While true, orders only renew grants, and shards need no work.
  bool stable_ = false;
  std::unique_ptr<PlacementPolicy> placement_;
  Instant leading_since_;
  Instant next_placement_;
  double mean_demand_ = 0;
  // Weights of the shards of each endpoint, those on their way to it included.
  std::map<InstanceId, double> endpoint_loads_;
  EndpointTable endpoints_;
  ShardTable shards_;
  std::vector<GroupAction> actions_;
};

}  // namespace sycamorestall

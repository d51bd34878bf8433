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

// The times and rules that one group is led by.
struct GroupSettings {
  GroupId group;
  // The shards that belong to this group.
  std::vector<ShardId> shards;
  // Whether its endpoints refuse orders of an older term.
  bool endpoints_check_token = true;
  std::chrono::milliseconds time_to_live{1000};
  std::chrono::milliseconds clock_margin{100};
  std::chrono::milliseconds renew_interval{250};
  std::chrono::milliseconds order_timeout{300};
  std::chrono::milliseconds store_retry{200};
  std::chrono::milliseconds step_down_retry{200};
  // How often shards are looked at for moves, and over what time an endpoint
  // that is new to the leader warms up to a full share.
  std::chrono::milliseconds placement_interval{500};
  std::chrono::milliseconds warm_up{10000};
};

// Where to send a request for a shard.
struct ShardRoute {
  InstanceId endpoint;
  Epoch epoch;
  Term term;
  // The endpoint's incarnation that holds the grant.
  Incarnation incarnation;

  friend bool operator==(const ShardRoute&, const ShardRoute&) = default;
};

// What this daemon is to a group.
enum class LeaderPhase { kIdle, kReading, kClaiming, kLeading };

// Leads one group of endpoints: takes the term over, keeps the owners' grants
// alive and moves shards so that none ever has two owners. It does no I/O: each
// call says what time it is and what was heard, and leaves actions to be carried
// out. docs/design/ownership.md argues why its rules are safe.
class GroupLeader {
 public:
  GroupLeader(GroupSettings settings, ProcessId self, std::unique_ptr<PlacementPolicy> placement);

  // Starts taking the group over; does nothing while it leads or tries to.
  void Claim(Instant now);
  // Gives the group up; the caller must carry out no older order afterwards.
  void Resign(Instant now, std::optional<ProcessId> next);
  // Resigns if the given term is higher than the one led or claimed.
  void ObserveTerm(Instant now, Term term, const ProcessId& leader);

  // The store answered a read; an empty optional says that there is no record.
  void HandleReadResult(Instant now, const std::optional<StoredRecord>& stored);
  // The store did not answer a read.
  void HandleReadFailure(Instant now);
  // The store answered a write, or its reply was lost.
  void HandleWriteResult(Instant now, WriteOutcome outcome, Revision revision);
  // An endpoint answered the order with this number.
  void HandleOrderReply(Instant now, const InstanceId& endpoint, std::uint64_t sequence,
                        const EndpointReply& reply);
  // An order got no answer.
  void HandleOrderFailure(Instant now, const InstanceId& endpoint, std::uint64_t sequence);
  // An earlier leader said that it sends no more orders, or its process is gone.
  void HandleStepDown(Instant now, const ProcessId& earlier);
  // A newer list of instances; older ones are passed over.
  void UpdateInstances(Instant now, const InstanceList& list);

  // Asks for a shard to be moved; ignored unless it is being served.
  void MoveShard(Instant now, ShardId shard, const InstanceId& target);
  // A request could not reach the endpoint: nothing goes there until an order,
  // sent at once, has been answered.
  void SuspectEndpoint(Instant now, const InstanceId& endpoint);
  // Counts a request for a shard.
  void CountRequest(ShardId shard);
  // Runs what time alone brings about.
  void Tick(Instant now);

  // Takes the actions gathered since the last call.
  std::vector<GroupAction> TakeActions();

  // Where requests of a shard may go now; empty when nowhere.
  std::optional<ShardRoute> FindRoute(ShardId shard, Instant now) const;

  // Whether the endpoint surely counts its lease as live.
  bool HasValidLease(const InstanceId& endpoint, Instant now) const;

  LeaderPhase phase() const { return phase_; }
  Term term() const { return record_.term; }
  const GroupSettings& settings() const { return settings_; }
  const EndpointTable& endpoints() const { return endpoints_; }
  const ShardTable& shards() const { return shards_; }
  const GroupRecord& record() const { return record_; }
  // The moment from which only this leader can have dispatched requests of the
  // shard; empty while that is not known.
  std::optional<Instant> ExclusiveSince(ShardId shard) const;
  // The largest load over the mean, by this leader's counts; 1 is perfect.
  double Imbalance(Instant now) const;
  // How many shards have no endpoint that serves them.
  std::size_t UnservedCount(Instant now) const;
  // How many shards changed owner under this leader.
  std::uint64_t moves() const { return moves_; }

 private:
  // An incarnation that had answered when a write began.
  struct AnsweredEndpoint {
    InstanceId endpoint;
    Incarnation incarnation;
  };
  struct PendingWrite {
    GroupRecord record;
    Revision expected;
    bool is_claim = false;
    bool outcome_unknown = false;
    std::vector<ShardId> shards;
    std::vector<AnsweredEndpoint> endpoints;
  };

  void Log(std::string text);
  std::string NewChangeId();
  void WriteClaim(Instant now, const std::optional<StoredRecord>& stored);
  void SendWrite();
  void FinishWrite(Instant now, Revision revision);
  void ResolveWrite(Instant now, const StoredRecord& stored);
  void BecomeLeader(Instant now);
  void ClearState();

  void ReadRecordIfDue(Instant now);
  void AskStepDownsIfDue(Instant now);
  void UpdateOrders(Instant now);
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
  // Whether every shard is served and no endpoint holds anything else.
  bool IsStable() const;
  std::vector<PlacementTarget> PlacementTargets(Instant now) const;
  std::vector<PlacedShard> PlacedShards() const;

  bool EarlierLeadersCleared() const { return record_.earlier_leaders.empty(); }
  // Whether orders may be sent at all.
  bool MaySendOrders() const;
  bool AllGrantsExpired(const EndpointRow& row, Instant now) const;
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
  Instant last_cleared_at_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t next_change_number_ = 1;
  std::uint64_t list_revision_ = 0;
  std::uint64_t moves_ = 0;
  // While quiet, renewals are all there is to do, and shards are not looked at.
  bool stable_ = false;
  std::unique_ptr<PlacementPolicy> placement_;
  Instant leading_since_;
  Instant next_placement_;
  double mean_demand_ = 0;
  std::map<InstanceId, double> endpoint_loads_;
  EndpointTable endpoints_;
  ShardTable shards_;
  std::vector<GroupAction> actions_;
};

}  // namespace sycamorestall

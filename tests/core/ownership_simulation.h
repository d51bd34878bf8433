#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/group_leader.h"
#include "fakes/grant_table.h"

namespace sycamorestall::testing {

// The faults and events that a run can inject.
enum class FaultKind {
  kPauseLeader,
  kRestartLeader,
  kFreezeEndpoint,
  kRestartEndpoint,
  kRemoveEndpoint,
  kPartitionLeaderFromStore,
  kPartitionLeaderFromEndpoint,
  kPartitionLeaderFromPeers,
  kStoreOutage,
  kStoreSlow,
  kLoseStoreReplies,
  kLoseMessages,
  kDelayMessages,
  kClaim,
  // Moves shard target % 6 to endpoint target / 6 % 4.
  kMove,
  // Delays the next order that grants a shard to the endpoint.
  kDelayGrant,
  kHandOver,
};
inline constexpr int kFaultKindCount = static_cast<int>(FaultKind::kHandOver) + 1;

// One fault: when it starts, which leader and target it affects (the target is an endpoint,
// except for kMove), and how long it lasts.
struct Fault {
  FaultKind kind = FaultKind::kClaim;
  int at_ms = 0;
  int leader = 0;
  int target = 0;
  int duration_ms = 0;
};

// The result of a run. The violation is the first one found, or empty.
struct OwnershipReport {
  std::string violation;
  std::size_t served_at_end = 0;
  std::uint64_t grants_seen = 0;
  std::uint64_t moves = 0;
};

// Simulates one group with several candidate leaders, endpoints and a store. Messages are
// delayed, lost, duplicated and reordered at random. Checks after every step that no
// shard has two live grants, and that each live grant is the one recorded in the store.
class OwnershipSimulation {
 public:
  OwnershipSimulation(std::uint64_t seed, bool endpoints_check_token);

  // Injects the faults, and then goes on without faults until every shard should be served
  // again.
  OwnershipReport Run(const std::vector<Fault>& faults);

 private:
  static constexpr int kLeaders = 3;
  static constexpr int kEndpoints = 4;
  static constexpr int kShards = 6;

  struct LeaderNode {
    std::unique_ptr<GroupLeader> leader;
    ProcessId process;
    std::int64_t paused_until = 0;
    std::int64_t store_partition_until = 0;
    std::int64_t peer_partition_until = 0;
    double clock_rate = 1;
    std::map<int, std::int64_t> endpoint_partition_until;
    bool running = true;
  };
  struct EndpointNode {
    std::unique_ptr<fakes::GrantTable> grants;
    std::int64_t frozen_until = 0;
    std::int64_t down_until = 0;
    bool removed = false;
    double clock_rate = 1;
    std::int64_t delay_grant_ns = 0;
  };
  // A request that an endpoint executed.
  struct ExecutedRequest {
    ShardId shard;
    Term term;
    std::int64_t dispatched_ns = 0;
  };
  // The time from which a leader held that only it can have dispatched requests.
  struct ExclusiveClaim {
    ShardId shard;
    Term term;
    std::int64_t since_ns = 0;
  };

  void Step();
  void InjectFault(const Fault& fault);
  void Schedule(std::int64_t when, std::function<void()> function);
  void RunDueEvents();
  std::int64_t RandomDelay();
  bool IsMessageLost();
  Instant LeaderClock(const LeaderNode& node) const;
  std::int64_t EndpointClock(const EndpointNode& node) const;
  std::int64_t SimulationTime(const LeaderNode& node, Instant instant) const;

  void StartLeader(int index);
  void ExecuteActions(int index);
  void CallLeader(int index, const std::function<void(GroupLeader&, Instant)>& call);
  void ReadStore(int index);
  void WriteStore(int index, const WriteRecord& write);
  void SendToEndpoint(int index, const SendOrder& send);
  void AskStepDown(int index, const sycamorestall::AskStepDown& ask);
  void DeliverOrder(int index, int endpoint, const EndpointOrder& order);
  void DispatchRequests();
  void SendInstanceLists();
  void CheckGrants();
  void CheckExclusiveClaims();
  void ReportViolation(const std::string& text);

  std::mt19937_64 random_;
  bool checks_token_;
  // No more faults are injected and no shards moved at random.
  bool faults_over_ = false;
  std::int64_t now_ns_ = 1'000'000'000;
  std::multimap<std::int64_t, std::function<void()>> events_;
  std::vector<LeaderNode> leaders_;
  std::vector<EndpointNode> endpoints_;
  std::optional<StoredRecord> store_;
  std::uint64_t next_revision_ = 1;
  std::uint64_t next_incarnation_ = 1;
  std::uint64_t list_revision_ = 1;
  std::int64_t store_outage_until_ = 0;
  std::int64_t store_slow_until_ = 0;
  std::int64_t lose_store_replies_until_ = 0;
  std::int64_t lose_messages_until_ = 0;
  std::int64_t delay_messages_until_ = 0;
  std::vector<ExecutedRequest> executed_;
  std::vector<ExclusiveClaim> exclusive_claims_;
  OwnershipReport report_;
};

}  // namespace sycamorestall::testing

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

// What goes wrong in a random run.
enum class FaultKind {
  kPauseLeader,
  kRestartLeader,
  kFreezeEndpoint,
  kRestartEndpoint,
  kRemoveEndpoint,
  kCutLeaderFromStore,
  kCutLeaderFromEndpoint,
  kCutLeaders,
  kStoreOutage,
  kStoreSlow,
  kLoseStoreReplies,
  kLoseMessages,
  kDelayMessages,
  kClaim,
  // Moves shard second mod 6 to endpoint second / 6.
  kMove,
  // The next order that grants something to the endpoint arrives late.
  kDelayGrant,
  kHandOver,
};
inline constexpr int kFaultKinds = static_cast<int>(FaultKind::kHandOver) + 1;

// One fault: when it starts, whom it strikes, and how long it lasts.
struct Fault {
  FaultKind kind = FaultKind::kClaim;
  int at_ms = 0;
  int first = 0;
  int second = 0;
  int duration_ms = 0;
};

// What was found at the end of a run; an empty violation means that all held.
struct SimulationReport {
  std::string violation;
  std::size_t served_at_end = 0;
  std::uint64_t grants_seen = 0;
  std::uint64_t moves = 0;
};

// One group with several would-be leaders, endpoints and a store, in simulated
// time. Messages are delayed, lost, doubled and reordered at random; after every
// step it is checked that no shard has two live grants and that a live grant is
// the one recorded in the store.
class OwnershipSimulation {
 public:
  OwnershipSimulation(std::uint64_t seed, bool endpoints_check_token);

  // Runs through the faults, asking_now without any until everything should be
  // served again.
  SimulationReport Run(const std::vector<Fault>& faults);

 private:
  static constexpr int kLeaders = 3;
  static constexpr int kEndpoints = 4;
  static constexpr int kShards = 6;

  struct LeaderNode {
    std::unique_ptr<GroupLeader> leader;
    ProcessId process;
    std::int64_t paused_until = 0;
    std::int64_t store_cut_until = 0;
    std::int64_t peers_cut_until = 0;
    double clock_rate = 1;
    std::map<int, std::int64_t> endpoint_cut_until;
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
  // A request that a leader sent to an endpoint and that ran there.
  struct ExecutedRequest {
    ShardId shard;
    Term term;
    std::int64_t dispatched_ns = 0;
  };
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
  void RunActions(int index);
  void CallLeader(int index, const std::function<void(GroupLeader&, Instant)>& call);
  void Read(int index);
  void Write(int index, const WriteRecord& write);
  void Send(int index, const SendOrder& send);
  void AskStepDown(int index, const sycamorestall::AskStepDown& ask);
  void DeliverOrder(int index, int endpoint, const EndpointOrder& order);
  void DispatchRequests();
  void SendInstanceLists();
  void CheckGrants();
  void CheckExclusiveClaims();
  void RecordViolation(const std::string& text);

  std::mt19937_64 random_;
  bool checks_token_;
  // No more faults or moves: everything has to settle.
  bool faults_over_ = false;
  std::int64_t now_ns_ = 1'000'000'000;
  std::multimap<std::int64_t, std::function<void()>> events_;
  std::vector<LeaderNode> leaders_;
  std::vector<EndpointNode> endpoints_;
  std::optional<StoredRecord> store_;
  std::uint64_t next_revision_ = 1;
  std::uint64_t next_incarnation_ = 1;
  std::uint64_t list_revision_ = 1;
  std::int64_t outage_until_ = 0;
  std::int64_t slow_until_ = 0;
  std::int64_t lose_replies_until_ = 0;
  std::int64_t lose_messages_until_ = 0;
  std::int64_t delay_messages_until_ = 0;
  std::vector<ExecutedRequest> executed_;
  std::vector<ExclusiveClaim> exclusive_claims_;
  SimulationReport report_;
};

}  // namespace sycamorestall::testing

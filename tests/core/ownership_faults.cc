#include <memory>

#include "core/ownership_simulation.h"

namespace sycamorestall::testing {

namespace {

constexpr std::int64_t kNsPerMs = 1'000'000;

InstanceId EndpointName(int index) { return InstanceId{"e" + std::to_string(index)}; }

}  // namespace

void OwnershipSimulation::InjectFault(const Fault& fault) {
  const std::int64_t until = now_ns_ + fault.duration_ms * kNsPerMs;
  const int leader = fault.leader % kLeaders;
  const int endpoint = fault.target % kEndpoints;
  switch (fault.kind) {
    case FaultKind::kPauseLeader:
      leaders_[leader].paused_until = until;
      break;
    case FaultKind::kRestartLeader:
      StartLeader(leader);
      break;
    case FaultKind::kFreezeEndpoint:
      endpoints_[endpoint].frozen_until = until;
      break;
    case FaultKind::kRestartEndpoint:
      endpoints_[endpoint].down_until = until;
      endpoints_[endpoint].grants =
          std::make_unique<fakes::GrantTable>(Incarnation{next_incarnation_++}, checks_token_);
      break;
    case FaultKind::kRemoveEndpoint:
      // Endpoint 0 is never removed, so that all shards can be served in the end.
      endpoints_[endpoint].removed = endpoints_[endpoint].removed || endpoint != 0;
      if (endpoint != 0) {
        endpoints_[endpoint].grants =
            std::make_unique<fakes::GrantTable>(Incarnation{next_incarnation_++}, checks_token_);
      }
      break;
    case FaultKind::kPartitionLeaderFromStore:
      leaders_[leader].store_partition_until = until;
      break;
    case FaultKind::kPartitionLeaderFromEndpoint:
      leaders_[leader].endpoint_partition_until[endpoint] = until;
      break;
    case FaultKind::kPartitionLeaderFromPeers:
      leaders_[leader].peer_partition_until = until;
      break;
    case FaultKind::kStoreOutage:
      store_outage_until_ = until;
      break;
    case FaultKind::kStoreSlow:
      store_slow_until_ = until;
      break;
    case FaultKind::kLoseStoreReplies:
      lose_store_replies_until_ = until;
      break;
    case FaultKind::kLoseMessages:
      lose_messages_until_ = until;
      break;
    case FaultKind::kDelayMessages:
      delay_messages_until_ = until;
      break;
    case FaultKind::kClaim:
      CallLeader(leader, [](GroupLeader& node, Instant now) { node.Claim(now); });
      break;
    case FaultKind::kMove:
      CallLeader(leader, [&fault](GroupLeader& node, Instant now) {
        const ShardId shard{static_cast<std::uint32_t>(fault.target % kShards)};
        node.MoveShard(now, shard, EndpointName(fault.target / kShards % kEndpoints));
      });
      break;
    case FaultKind::kDelayGrant:
      endpoints_[endpoint].delay_grant_ns = fault.duration_ms * kNsPerMs;
      break;
    case FaultKind::kHandOver:
      CallLeader(leader, [](GroupLeader& node, Instant now) { node.Resign(now, std::nullopt); });
      break;
  }
}

}  // namespace sycamorestall::testing

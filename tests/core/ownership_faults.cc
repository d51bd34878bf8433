#include <memory>

#include "core/ownership_world.h"

namespace sycamorestall::testing {

namespace {

constexpr std::int64_t kMs = 1'000'000;

InstanceId EndpointName(int index) { return InstanceId{"e" + std::to_string(index)}; }

}  // namespace

void OwnershipWorld::Strike(const Fault& fault) {
  const std::int64_t until = now_ns_ + fault.lasts_ms * kMs;
  const int leader = fault.first % kLeaders;
  const int endpoint = fault.second % kEndpoints;
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
      endpoints_[endpoint].dead_until = until;
      endpoints_[endpoint].grants =
          std::make_unique<fakes::GrantTable>(Incarnation{next_incarnation_++}, checks_token_);
      break;
    case FaultKind::kKillEndpoint:
      // One endpoint stays, so that all can be served in the end.
      endpoints_[endpoint].gone = endpoints_[endpoint].gone || endpoint != 0;
      if (endpoint != 0) {
        endpoints_[endpoint].grants =
            std::make_unique<fakes::GrantTable>(Incarnation{next_incarnation_++}, checks_token_);
      }
      break;
    case FaultKind::kCutLeaderFromStore:
      leaders_[leader].store_cut_until = until;
      break;
    case FaultKind::kCutLeaderFromEndpoint:
      leaders_[leader].endpoint_cut_until[endpoint] = until;
      break;
    case FaultKind::kCutLeaders:
      leaders_[leader].peers_cut_until = until;
      break;
    case FaultKind::kStoreOutage:
      outage_until_ = until;
      break;
    case FaultKind::kStoreSlow:
      slow_until_ = until;
      break;
    case FaultKind::kLoseStoreReplies:
      lose_replies_until_ = until;
      break;
    case FaultKind::kLoseMessages:
      lose_messages_until_ = until;
      break;
    case FaultKind::kDelayMessages:
      delay_messages_until_ = until;
      break;
    case FaultKind::kClaim:
      ToLeader(leader, [](GroupLeader& node, Instant now) { node.Claim(now); });
      break;
    case FaultKind::kMove:
      ToLeader(leader, [&fault](GroupLeader& node, Instant now) {
        const ShardId shard{static_cast<std::uint32_t>(fault.second % kShards)};
        node.Move(now, shard, EndpointName(fault.second / kShards % kEndpoints));
      });
      break;
    case FaultKind::kHoldGrant:
      endpoints_[endpoint].hold_grant_ns = fault.lasts_ms * kMs;
      break;
    case FaultKind::kHandOver:
      ToLeader(leader, [](GroupLeader& node, Instant now) { node.Resign(now, std::nullopt); });
      break;
  }
}

}  // namespace sycamorestall::testing

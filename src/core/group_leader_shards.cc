#include <algorithm>
#include <utility>

#include "core/group_leader.h"
#include "core/invariant.h"

namespace sycamorestall {

namespace {

// An endpoint counts as unreachable after this many orders in a row without an answer.
constexpr std::uint32_t kFailuresUntilUnreachable = 2;
// While changes at an endpoint are under way, orders are sent this many times as often as
// plain renewals.
constexpr int kFastOrderFactor = 10;
// The part of a full share of the load that a new endpoint carries at first.
constexpr double kInitialShare = 0.2;
// A shard's demand is multiplied by this after each placement interval.
constexpr double kDemandDecay = 0.95;

bool IsDelisted(const EndpointRow& row) { return row.was_listed && !row.listed; }

bool CanTakeShards(const EndpointRow& row) {
  return row.listed && !row.leaving && row.fenced && row.failures == 0 && row.stamp.has_value();
}

}  // namespace

bool GroupLeader::MaySendOrders() const {
  return settings_.endpoints_check_token || EarlierLeadersCleared();
}

void GroupLeader::ExpireAndSendOrders(Instant now) {
  if (!MaySendOrders()) {
    return;
  }
  for (auto& [id, row] : endpoints_) {
    if (row.order && now >= row.order_sent + settings_.order_timeout) {
      HandleOrderFailure(now, id, row.order->sequence);
    }
    if (!row.order && !IsDelisted(row) && now >= row.next_order) {
      SendNextOrder(now, id, row);
    }
  }
}

void GroupLeader::SendNextOrder(Instant now, const InstanceId& id, EndpointRow& row) {
  EndpointOrder order;
  order.group = settings_.group;
  order.leader = self_;
  order.term = record_.term;
  order.sequence = next_sequence_++;
  order.time_to_live = settings_.time_to_live;
  if (row.confirmed && row.stamp) {
    order.stamp = row.stamp;
    if (!stable_) {
      AddGrantChanges(id, row, order);
    }
    const Instant latest = row.stamp_received + settings_.time_to_live + settings_.clock_margin;
    row.latest_grant_expiry = std::max(row.latest_grant_expiry, latest);
  }
  row.order = order;
  row.order_sent = now;
  actions_.emplace_back(SendOrder{id, std::move(order)});
}

void GroupLeader::AddGrantChanges(const InstanceId& id, const EndpointRow& row,
                                  EndpointOrder& order) const {
  for (const auto& [shard_id, shard] : shards_) {
    const bool owned = shard.owner && shard.owner->endpoint == id;
    const auto held = row.held.find(shard_id);
    const bool is_held = held != row.held.end();
    const bool should_hold =
        owned && (shard.phase == ShardPhase::kConfirming || shard.phase == ShardPhase::kServing);
    if (should_hold && (!is_held || held->second != shard.owner->epoch)) {
      order.grants.push_back(ShardGrant{shard_id, shard.owner->epoch});
    }
    if (!should_hold && is_held) {
      order.revocations.push_back(shard_id);
    }
  }
}

void GroupLeader::HandleOrderReply(Instant now, const InstanceId& endpoint, std::uint64_t sequence,
                                   const EndpointReply& reply) {
  const auto found = endpoints_.find(endpoint);
  const bool awaited = phase_ == LeaderPhase::kLeading && found != endpoints_.end() &&
                       found->second.order && found->second.order->sequence == sequence;
  if (!awaited) {
    return;
  }
  EndpointRow& row = found->second;
  if (reply.outcome == OrderOutcome::kStaleTerm && reply.term > record_.term) {
    Log("endpoint " + endpoint.value() + " has accepted a later term");
    Resign(now, std::nullopt);
    return;
  }
  ApplyOrderReply(now, endpoint, row, reply);
  if (!stable_) {
    AdvanceShards(now);
    WriteRecordIfNeeded(now);
  }
}

void GroupLeader::ApplyOrderReply(Instant now, const InstanceId& endpoint, EndpointRow& row,
                                  const EndpointReply& reply) {
  const Duration lease = settings_.time_to_live;
  const bool accepted = reply.outcome == OrderOutcome::kAccepted;
  const bool extends_lease = accepted && row.order->stamp.has_value();
  const bool restarted = row.stamp && row.stamp->incarnation != reply.stamp.incarnation;
  if (restarted) {
    Log("endpoint " + endpoint.value() + " restarted");
    row.confirmed = false;
    row.lease_valid_until = Instant{};
  }
  if (extends_lease) {
    row.lease_valid_until = row.stamp_order_sent + lease - settings_.clock_margin;
  }
  if (accepted && !row.fenced) {
    row.fenced = true;
    row.fenced_at = now;
    row.latest_grant_expiry =
        std::max(row.latest_grant_expiry, now + lease + settings_.clock_margin);
  }
  const bool changes_grants = !row.order->grants.empty() || !row.order->revocations.empty();
  row.stamp = reply.stamp;
  row.stamp_received = now;
  row.stamp_order_sent = row.order_sent;
  row.order.reset();
  row.failures = 0;
  row.suspected = false;
  row.leaving = row.leaving || reply.leaving;
  row.draining_shards = {reply.draining_shards.begin(), reply.draining_shards.end()};
  std::map<ShardId, Epoch> held;
  for (const ShardGrant& grant : reply.held) {
    held.emplace_hint(held.end(), grant.shard, grant.epoch);
  }
  stable_ = stable_ && extends_lease && !restarted && !row.leaving && held == row.held;
  row.held = std::move(held);
  const bool fast = !extends_lease || changes_grants || !row.draining_shards.empty();
  row.next_order =
      now + (fast ? settings_.renew_interval / kFastOrderFactor : settings_.renew_interval);
}

void GroupLeader::HandleOrderFailure(Instant now, const InstanceId& endpoint,
                                     std::uint64_t sequence) {
  const auto found = endpoints_.find(endpoint);
  const bool awaited =
      found != endpoints_.end() && found->second.order && found->second.order->sequence == sequence;
  if (!awaited) {
    return;
  }
  EndpointRow& row = found->second;
  if (row.order->stamp) {
    row.lost_order_until = std::max(
        row.lost_order_until, row.stamp_received + settings_.time_to_live + settings_.clock_margin);
  }
  row.order.reset();
  stable_ = false;
  row.failures += 1;
  if (row.failures == kFailuresUntilUnreachable) {
    Log("endpoint " + endpoint.value() + " does not answer");
  }
  row.next_order = now + settings_.renew_interval / 2;
}

bool GroupLeader::AllGrantsExpired(const EndpointRow& row, Instant now) const {
  if (IsDelisted(row)) {
    return true;
  }
  if (now <= row.latest_grant_expiry) {
    return false;
  }
  if (row.fenced) {
    return true;
  }
  const Instant earlier_grants_end =
      last_cleared_at_ + settings_.time_to_live + settings_.clock_margin;
  return EarlierLeadersCleared() && now > earlier_grants_end;
}

bool GroupLeader::IsRevocationComplete(ShardId id, const EndpointRow& row, Instant now) const {
  const bool given_up = row.fenced && row.failures == 0 && !row.held.contains(id) &&
                        !row.draining_shards.contains(id) && !row.order;
  const Instant lost_order_until = std::max(row.lost_order_until, earlier_orders_until_);
  return given_up && (settings_.endpoints_check_token || now > lost_order_until);
}

void GroupLeader::SetPhase(Instant now, ShardRow& shard, ShardPhase phase) {
  shard.phase = phase;
  shard.since = now;
  stable_ = false;
}

void GroupLeader::AdvanceShards(Instant now) {
  if (phase_ != LeaderPhase::kLeading) {
    return;
  }
  double total_demand = 0;
  for (const auto& [id, shard] : shards_) {
    total_demand += shard.demand;
  }
  mean_demand_ = shards_.empty() ? 0 : total_demand / static_cast<double>(shards_.size());
  endpoint_loads_.clear();
  for (const auto& [id, shard] : shards_) {
    if (shard.target) {
      endpoint_loads_[*shard.target] += Weight(shard);
    } else if (shard.owner) {
      endpoint_loads_[shard.owner->endpoint] += Weight(shard);
    }
  }
  for (auto& [id, shard] : shards_) {
    AdvanceShard(now, id, shard);
  }
  stable_ = IsStable();
}

bool GroupLeader::IsStable() const {
  const bool all_served = std::all_of(shards_.begin(), shards_.end(), [](const auto& entry) {
    return entry.second.phase == ShardPhase::kServing;
  });
  std::size_t held_count = 0;
  for (const auto& [id, row] : endpoints_) {
    if (row.failures > 0 || row.leaving || !row.draining_shards.empty()) {
      return false;
    }
    held_count += row.held.size();
  }
  return all_served && held_count == shards_.size();
}

void GroupLeader::AdvanceShard(Instant now, ShardId id, ShardRow& shard) {
  if (shard.phase == ShardPhase::kRecording) {
    return;
  }
  if (shard.phase == ShardPhase::kUnassigned && MayAssignNewShards(now)) {
    SetPhase(now, shard, ShardPhase::kReleased);
  }
  if (shard.owner && shard.phase != ShardPhase::kReleased) {
    AdvanceOwnedShard(now, id, shard, endpoints_.at(shard.owner->endpoint));
  }
  if (shard.phase != ShardPhase::kReleased) {
    return;
  }
  const bool target_usable = shard.target && endpoints_.contains(*shard.target) &&
                             CanTakeShards(endpoints_.at(*shard.target));
  if (!target_usable) {
    shard.target = LeastLoadedEndpoint();
    if (shard.target) {
      endpoint_loads_[*shard.target] += Weight(shard);
    }
  }
}

bool GroupLeader::MayAssignNewShards(Instant now) const {
  // Waits until the endpoints have had time to answer, so that the first one to answer
  // does not get all shards.
  const bool waited_enough = now >= leading_since_ + settings_.order_timeout;
  const bool all_answered =
      std::all_of(endpoints_.begin(), endpoints_.end(),
                  [](const auto& entry) { return !entry.second.listed || entry.second.fenced; });
  return !endpoints_.empty() && (waited_enough || all_answered);
}

double GroupLeader::Weight(const ShardRow& shard) const {
  return ShardWeight(shard.demand, mean_demand_);
}

void GroupLeader::AdvanceOwnedShard(Instant now, ShardId id, ShardRow& shard,
                                    const EndpointRow& owner) {
  const auto held = owner.held.find(id);
  const bool holds = held != owner.held.end() && held->second == shard.owner->epoch;
  if (owner.fenced && !shard.exclusive_since) {
    shard.exclusive_since = owner.fenced_at;
  }
  const bool unreachable = IsDelisted(owner) || owner.failures >= kFailuresUntilUnreachable;
  if (unreachable && AllGrantsExpired(owner, now)) {
    shard.exclusive_since = shard.exclusive_since.value_or(now);
    SetPhase(now, shard, ShardPhase::kReleased);
    return;
  }
  if (shard.phase == ShardPhase::kConfirming && holds && owner.confirmed) {
    SetPhase(now, shard, ShardPhase::kServing);
  } else if (shard.phase == ShardPhase::kServing && !holds) {
    SetPhase(now, shard, ShardPhase::kConfirming);
  }
  if (shard.phase == ShardPhase::kServing && owner.leaving) {
    const std::optional<InstanceId> target = LeastLoadedEndpoint();
    if (target) {
      MoveShard(now, id, *target);
    }
  }
  if (shard.phase == ShardPhase::kRevoking && IsRevocationComplete(id, owner, now)) {
    SetPhase(now, shard, ShardPhase::kReleased);
  }
}

std::optional<InstanceId> GroupLeader::LeastLoadedEndpoint() const {
  std::optional<InstanceId> best;
  double best_load = 0;
  for (const auto& [id, row] : endpoints_) {
    if (!CanTakeShards(row)) {
      continue;
    }
    const auto found = endpoint_loads_.find(id);
    const double load = found == endpoint_loads_.end() ? 0 : found->second;
    if (!best || load < best_load) {
      best = id;
      best_load = load;
    }
  }
  return best;
}

void GroupLeader::MoveShard(Instant now, ShardId shard, const InstanceId& target) {
  const auto found = shards_.find(shard);
  const bool movable = found != shards_.end() && found->second.phase == ShardPhase::kServing &&
                       found->second.owner->endpoint != target && endpoints_.contains(target) &&
                       CanTakeShards(endpoints_.at(target));
  if (!movable) {
    return;
  }
  ShardRow& row = found->second;
  Log("moving shard " + std::to_string(shard.value) + " from " + row.owner->endpoint.value() +
      " to " + target.value());
  row.target = target;
  endpoint_loads_[target] += Weight(row);
  SetPhase(now, row, ShardPhase::kRevoking);
  endpoints_.at(row.owner->endpoint).next_order = now;
}

void GroupLeader::WriteRecordIfNeeded(Instant now) {
  if (phase_ != LeaderPhase::kLeading || write_ || !MaySendOrders()) {
    return;
  }
  PendingWrite write;
  write.record = record_;
  write.expected = revision_;
  for (const auto& [id, row] : endpoints_) {
    if (row.fenced && row.stamp && !row.confirmed) {
      write.endpoints.push_back({id, row.stamp->incarnation});
    }
  }
  for (auto& [id, shard] : shards_) {
    if (shard.phase != ShardPhase::kReleased || !shard.target) {
      continue;
    }
    const Epoch epoch{shard.owner ? shard.owner->epoch.value + 1 : 1};
    write.record.shards[id] = Assignment{*shard.target, epoch};
    write.shards.push_back(id);
    SetPhase(now, shard, ShardPhase::kRecording);
  }
  if (write.endpoints.empty() && write.shards.empty()) {
    return;
  }
  write.record.change_id = NewChangeId();
  write_ = std::move(write);
  SendWrite();
}

void GroupLeader::CountRequest(ShardId shard) {
  const auto found = shards_.find(shard);
  if (found != shards_.end()) {
    found->second.demand += 1;
  }
}

std::optional<ShardRoute> GroupLeader::FindRoute(ShardId shard, Instant now) const {
  const auto found = shards_.find(shard);
  if (found == shards_.end() || found->second.phase != ShardPhase::kServing) {
    return std::nullopt;
  }
  const Assignment& owner = *found->second.owner;
  const EndpointRow& row = endpoints_.at(owner.endpoint);
  if (row.suspected || now >= row.lease_valid_until) {
    return std::nullopt;
  }
  return ShardRoute{owner.endpoint, owner.epoch, record_.term, row.stamp->incarnation};
}

bool GroupLeader::HasValidLease(const InstanceId& endpoint, Instant now) const {
  const auto found = endpoints_.find(endpoint);
  return found != endpoints_.end() && now < found->second.lease_valid_until;
}

std::optional<Instant> GroupLeader::ExclusiveSince(ShardId shard) const {
  const auto found = shards_.find(shard);
  return found == shards_.end() ? std::nullopt : found->second.exclusive_since;
}

void GroupLeader::SuspectEndpoint(Instant now, const InstanceId& endpoint) {
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end() || found->second.suspected) {
    return;
  }
  found->second.suspected = true;
  found->second.next_order = now;
  Log("endpoint " + endpoint.value() + " was not reached by a request");
}

std::vector<PlacementTarget> GroupLeader::PlacementTargets(Instant now) const {
  std::vector<PlacementTarget> targets;
  for (const auto& [id, row] : endpoints_) {
    if (!CanTakeShards(row)) {
      continue;
    }
    const double seconds_since_joined = std::chrono::duration<double>(now - row.fenced_at).count();
    const double warm_up = std::chrono::duration<double>(settings_.warm_up).count();
    // Endpoints that were there when this leader took over count as warm.
    const bool is_new = row.fenced_at > leading_since_ + settings_.time_to_live;
    const double share =
        is_new ? std::clamp(seconds_since_joined / warm_up, kInitialShare, 1.0) : 1.0;
    targets.push_back({id, share});
  }
  return targets;
}

std::vector<PlacedShard> GroupLeader::PlacedShards() const {
  std::vector<PlacedShard> placed;
  for (const auto& [id, shard] : shards_) {
    if (shard.phase == ShardPhase::kServing) {
      placed.push_back({id, shard.owner->endpoint, shard.demand});
    }
  }
  return placed;
}

double GroupLeader::Imbalance(Instant now) const {
  return sycamorestall::Imbalance(PlacementTargets(now), PlacedShards());
}

void GroupLeader::PlanMovesIfDue(Instant now) {
  if (now < next_placement_) {
    return;
  }
  next_placement_ = now + settings_.placement_interval;
  for (const PlannedMove& move : placement_->Plan(now, PlacementTargets(now), PlacedShards())) {
    MoveShard(now, move.shard, move.target);
  }
  for (auto& [id, shard] : shards_) {
    shard.demand *= kDemandDecay;
  }
}

std::size_t GroupLeader::UnservedCount(Instant now) const {
  std::size_t count = 0;
  for (const auto& [id, shard] : shards_) {
    count += FindRoute(id, now) ? 0 : 1;
  }
  return count;
}

}  // namespace sycamorestall

#include "fakes/grant_table.h"

#include <algorithm>

namespace sycamorestall::fakes {

EndpointReply GrantTable::MakeReply(std::int64_t now_ns, OrderOutcome outcome) const {
  EndpointReply reply;
  reply.outcome = outcome;
  reply.term = term_;
  reply.stamp = {incarnation_, now_ns};
  reply.leaving = leaving_;
  reply.held = HeldGrants(now_ns);
  for (const auto& [shard, count] : running_requests_) {
    const auto held = periods_.find(shard);
    const bool is_held = held != periods_.end() && held->second.until_ns > now_ns;
    if (count > 0 && !is_held) {
      reply.draining_shards.push_back(shard);
    }
  }
  return reply;
}

std::vector<ShardGrant> GrantTable::HeldGrants(std::int64_t now_ns) const {
  std::vector<ShardGrant> held;
  for (const auto& [shard, period] : periods_) {
    if (period.until_ns > now_ns) {
      held.push_back({shard, period.epoch});
    }
  }
  return held;
}

EndpointReply GrantTable::ApplyOrder(std::int64_t now_ns, const EndpointOrder& order) {
  if (checks_token_) {
    if (order.term < term_) {
      return MakeReply(now_ns, OrderOutcome::kStaleTerm);
    }
    if (order.term == term_ && order.sequence <= sequence_) {
      return MakeReply(now_ns, OrderOutcome::kStaleOrder);
    }
    term_ = order.term;
    sequence_ = order.sequence;
  }
  if (!order.stamp) {
    return MakeReply(now_ns, OrderOutcome::kAccepted);
  }
  const std::int64_t until =
      order.stamp->clock_ns + std::chrono::nanoseconds{order.time_to_live}.count();
  if (order.stamp->incarnation != incarnation_ || until <= now_ns) {
    return MakeReply(now_ns, OrderOutcome::kStaleStamp);
  }
  for (const ShardId shard : order.revocations) {
    const auto held = periods_.find(shard);
    if (held != periods_.end()) {
      held->second.until_ns = std::min(held->second.until_ns, now_ns);
      ended_periods_.push_back(held->second);
      periods_.erase(held);
    }
  }
  for (auto& [shard, period] : periods_) {
    if (period.until_ns > now_ns) {
      period.until_ns = std::max(period.until_ns, until);
    }
  }
  for (const ShardGrant& grant : order.grants) {
    const auto held = periods_.find(grant.shard);
    if (held != periods_.end()) {
      held->second.until_ns = std::min(held->second.until_ns, now_ns);
      ended_periods_.push_back(held->second);
    }
    periods_[grant.shard] = {grant.shard, grant.epoch, now_ns, until};
  }
  return MakeReply(now_ns, OrderOutcome::kAccepted);
}

bool GrantTable::MayRun(std::int64_t now_ns, ShardId shard, Epoch epoch, Term term) const {
  const auto held = periods_.find(shard);
  const bool owned =
      held != periods_.end() && held->second.epoch == epoch && held->second.until_ns > now_ns;
  return owned && (!checks_token_ || term == term_);
}

void GrantTable::EndRequest(ShardId shard) {
  const auto found = running_requests_.find(shard);
  if (--found->second == 0) {
    running_requests_.erase(found);
  }
}

std::vector<OwnershipPeriod> GrantTable::CurrentPeriods() const {
  std::vector<OwnershipPeriod> current;
  for (const auto& [shard, period] : periods_) {
    current.push_back(period);
  }
  return current;
}

std::vector<OwnershipPeriod> GrantTable::OwnershipHistory(std::int64_t now_ns) const {
  std::vector<OwnershipPeriod> history = ended_periods_;
  for (const auto& [shard, period] : periods_) {
    history.push_back(period);
    history.back().until_ns = std::min(period.until_ns, now_ns);
  }
  return history;
}

}  // namespace sycamorestall::fakes

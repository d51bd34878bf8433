#include "fakes/grant_table.h"

#include <algorithm>

namespace sycamorestall::fakes {

EndpointReply GrantTable::Report(std::int64_t now_ns, OrderOutcome verdict) const {
  EndpointReply reply;
  reply.outcome = verdict;
  reply.term = term_;
  reply.stamp = {incarnation_, now_ns};
  reply.leaving = leaving_;
  reply.held = Held(now_ns);
  for (const auto& [shard, count] : running_) {
    const auto held = held_.find(shard);
    const bool is_held = held != held_.end() && held->second.until_ns > now_ns;
    if (count > 0 && !is_held) {
      reply.draining.push_back(shard);
    }
  }
  return reply;
}

std::vector<ShardGrant> GrantTable::Held(std::int64_t now_ns) const {
  std::vector<ShardGrant> held;
  for (const auto& [shard, ownership] : held_) {
    if (ownership.until_ns > now_ns) {
      held.push_back({shard, ownership.epoch});
    }
  }
  return held;
}

EndpointReply GrantTable::Take(std::int64_t now_ns, const EndpointOrder& order) {
  if (checks_token_) {
    if (order.term < term_) {
      return Report(now_ns, OrderOutcome::kStaleTerm);
    }
    if (order.term == term_ && order.sequence <= sequence_) {
      return Report(now_ns, OrderOutcome::kStaleOrder);
    }
    term_ = order.term;
    sequence_ = order.sequence;
  }
  if (!order.stamp) {
    return Report(now_ns, OrderOutcome::kAccepted);
  }
  const std::int64_t until =
      order.stamp->clock_ns + std::chrono::nanoseconds{order.time_to_live}.count();
  if (order.stamp->incarnation != incarnation_ || until <= now_ns) {
    return Report(now_ns, OrderOutcome::kStaleStamp);
  }
  for (const ShardId shard : order.revocations) {
    const auto held = held_.find(shard);
    if (held != held_.end()) {
      held->second.until_ns = std::min(held->second.until_ns, now_ns);
      past_.push_back(held->second);
      held_.erase(held);
    }
  }
  for (auto& [shard, ownership] : held_) {
    if (ownership.until_ns > now_ns) {
      ownership.until_ns = std::max(ownership.until_ns, until);
    }
  }
  for (const ShardGrant& grant : order.grants) {
    const auto held = held_.find(grant.shard);
    if (held != held_.end()) {
      held->second.until_ns = std::min(held->second.until_ns, now_ns);
      past_.push_back(held->second);
    }
    held_[grant.shard] = {grant.shard, grant.epoch, now_ns, until};
  }
  return Report(now_ns, OrderOutcome::kAccepted);
}

bool GrantTable::MayRun(std::int64_t now_ns, ShardId shard, Epoch epoch, Term term) const {
  const auto held = held_.find(shard);
  const bool owned =
      held != held_.end() && held->second.epoch == epoch && held->second.until_ns > now_ns;
  return owned && (!checks_token_ || term == term_);
}

void GrantTable::End(ShardId shard) {
  const auto found = running_.find(shard);
  if (--found->second == 0) {
    running_.erase(found);
  }
}

std::vector<Ownership> GrantTable::Current() const {
  std::vector<Ownership> current;
  for (const auto& [shard, ownership] : held_) {
    current.push_back(ownership);
  }
  return current;
}

std::vector<Ownership> GrantTable::History(std::int64_t now_ns) const {
  std::vector<Ownership> history = past_;
  for (const auto& [shard, ownership] : held_) {
    history.push_back(ownership);
    history.back().until_ns = std::min(ownership.until_ns, now_ns);
  }
  return history;
}

}  // namespace sycamorestall::fakes

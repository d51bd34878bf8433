#include "core/idempotency_table.h"

#include <utility>

#include "core/invariant.h"

namespace sycamorestall {

IdempotencyTable::Verdict IdempotencyTable::Judge(const CommandId& id, WallMilliseconds now) const {
  const WallMilliseconds created = id.key.created();
  if (created > now + settings_.clock_margin) {
    return Verdict::kTooNew;
  }
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    return found->second ? Verdict::kAnswered : Verdict::kOpen;
  }
  if (created < now - settings_.age_limit) {
    return Verdict::kTooOld;
  }
  return entries_.size() >= settings_.capacity ? Verdict::kFull : Verdict::kNew;
}

bool IdempotencyTable::PerhapsRunBefore(const CommandId& id, WallMilliseconds sole_since) const {
  // An earlier leader refused keys further ahead of its clock than the margin,
  // so it never dispatched a key beyond sole_since plus the margin.
  return id.key.created() <= sole_since + settings_.clock_margin;
}

void IdempotencyTable::Open(const CommandId& id) {
  const bool added = entries_.emplace(id, std::nullopt).second;
  RequireInvariant(added, "a command is opened once");
}

void IdempotencyTable::Close(const CommandId& id, Answer answer) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    found->second = std::move(answer);
  }
}

void IdempotencyTable::Forget(const CommandId& id) { entries_.erase(id); }

void IdempotencyTable::Expire(WallMilliseconds now) {
  // A little longer than the age limit, so that no key is both forgotten and
  // still taken for fresh.
  const WallMilliseconds oldest = now - settings_.age_limit - settings_.clock_margin;
  std::erase_if(entries_, [oldest](const auto& entry) {
    return entry.second.has_value() && entry.first.key.created() < oldest;
  });
}

const Answer* IdempotencyTable::Find(const CommandId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() || !found->second ? nullptr : &*found->second;
}

}  // namespace sycamorestall

#include "core/idempotency_table.h"

#include <utility>

#include "core/invariant.h"

namespace sycamorestall {

IdempotencyTable::CommandStatus IdempotencyTable::Classify(const CommandId& id,
                                                           WallMilliseconds now) const {
  const WallMilliseconds created = id.key.created();
  if (created > now + settings_.clock_margin) {
    return CommandStatus::kTooNew;
  }
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    return found->second ? CommandStatus::kAnswered : CommandStatus::kInProgress;
  }
  if (created < now - settings_.age_limit) {
    return CommandStatus::kTooOld;
  }
  return entries_.size() >= settings_.capacity ? CommandStatus::kFull : CommandStatus::kNew;
}

bool IdempotencyTable::MayHaveRunUnderEarlierLeader(const CommandId& id,
                                                    WallMilliseconds exclusive_since) const {
  // An earlier leader refused keys further ahead of its clock than the margin, so it
  // never dispatched a key created after exclusive_since plus the margin.
  return id.key.created() <= exclusive_since + settings_.clock_margin;
}

void IdempotencyTable::Insert(const CommandId& id) {
  const bool added = entries_.emplace(id, std::nullopt).second;
  RequireInvariant(added, "a command is inserted once");
}

void IdempotencyTable::SetAnswer(const CommandId& id, Answer answer) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    found->second = std::move(answer);
  }
}

void IdempotencyTable::Erase(const CommandId& id) { entries_.erase(id); }

void IdempotencyTable::EraseExpired(WallMilliseconds now) {
  // Keeps commands for the clock margin beyond the age limit, so that no key is
  // erased while it could still be classified as new.
  const WallMilliseconds oldest = now - settings_.age_limit - settings_.clock_margin;
  std::erase_if(entries_, [oldest](const auto& entry) {
    return entry.second.has_value() && entry.first.key.created() < oldest;
  });
}

const Answer* IdempotencyTable::FindAnswer(const CommandId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() || !found->second ? nullptr : &*found->second;
}

}  // namespace sycamorestall

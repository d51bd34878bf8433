#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

#include "core/boot_clock.h"
#include "core/identifiers.h"
#include "core/outcome.h"
#include "core/uuid_v7.h"

namespace sycamorestall {

// Identifies one piece of non-idempotent work.
struct CommandId {
  ServiceName service;
  CustomerName customer;
  UuidV7 key;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const CommandId&, const CommandId&) = default;
};

// How long commands are remembered, and how many.
struct IdempotencySettings {
  // Keys older than this are refused, so nothing older needs remembering.
  std::chrono::milliseconds age_limit{std::chrono::minutes{10}};
  // How far the calendar clocks of daemons and callers may differ.
  std::chrono::milliseconds clock_margin{500};
  std::size_t capacity = 1'000'000;
};

// Remembers the commands that a leader has dispatched, so that a command runs at
// most once however often it is sent.
class IdempotencyTable {
 public:
  // What to do with a command that has just come in.
  enum class Verdict {
    // Not remembered here; whether an earlier leader may have dispatched it is
    // judged by PerhapsRunBefore.
    kNew,
    // Dispatched or queued before and still open.
    kOpen,
    // Answered before; Find gives the answer.
    kAnswered,
    // Created too long ago to be remembered.
    kTooOld,
    // Created further in the future than clocks may differ.
    kTooNew,
    // As many commands are remembered as there is room for.
    kFull,
  };

  explicit IdempotencyTable(IdempotencySettings settings) : settings_(settings) {}

  // Judges a command that has just come in.
  Verdict Judge(const CommandId& id, WallMilliseconds now) const;
  // Whether an earlier leader may have dispatched a command, given the moment
  // from which this one alone commands the shard's owner.
  bool PerhapsRunBefore(const CommandId& id, WallMilliseconds sole_since) const;

  // Remembers a command before it is dispatched.
  void Open(const CommandId& id);
  // Keeps the answer for resends.
  void Close(const CommandId& id, Answer answer);
  // Forgets a command that has provably not been run, so it may be sent again.
  void Forget(const CommandId& id);
  // Drops what is older than the age limit.
  void Expire(WallMilliseconds now);

  // The answer given before, or null.
  const Answer* Find(const CommandId& id) const;

  std::size_t size() const { return entries_.size(); }

 private:
  IdempotencySettings settings_;
  std::map<CommandId, std::optional<Answer>> entries_;
};

}  // namespace sycamorestall

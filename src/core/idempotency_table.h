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

// Identifies a command: a request that must run at most once.
struct CommandId {
  ServiceName service;
  CustomerName customer;
  UuidV7 key;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const CommandId&, const CommandId&) = default;
};

// How long commands are remembered, how many, and the clock error to allow for.
struct IdempotencySettings {
  // Older keys are refused, so older commands need not be remembered.
  std::chrono::milliseconds age_limit{std::chrono::minutes{10}};
  // Maximum difference between the wall clocks of daemons and callers.
  std::chrono::milliseconds clock_margin{500};
  std::size_t capacity = 1'000'000;
};

// Remembers the commands that a leader has accepted, so that a command runs at most
// once however often it is sent.
class IdempotencyTable {
 public:
  // Status of a received command, which decides how it is handled.
  enum class CommandStatus {
    // Not remembered here. MayHaveRunUnderEarlierLeader tells whether an earlier leader
    // may have dispatched it.
    kNew,
    // Queued or dispatched before and not answered yet.
    kInProgress,
    // Answered before; FindAnswer returns the answer.
    kAnswered,
    // Not remembered and created before the age limit.
    kTooOld,
    // Created further in the future than the clock margin.
    kTooNew,
    // The table is full.
    kFull,
  };

  explicit IdempotencyTable(IdempotencySettings settings) : settings_(settings) {}

  // Returns the status of a received command; now is the current wall clock time.
  CommandStatus Classify(const CommandId& id, WallMilliseconds now) const;
  // Whether an earlier leader may have dispatched the command. exclusive_since is the
  // time from which only this leader can have dispatched requests to the shard's owner.
  bool MayHaveRunUnderEarlierLeader(const CommandId& id, WallMilliseconds exclusive_since) const;

  // Adds a command before it is dispatched. It must not be in the table.
  void Insert(const CommandId& id);
  // Stores the answer for repeated requests; does nothing if the command is unknown.
  void SetAnswer(const CommandId& id, Answer answer);
  // Removes a command that certainly has not run, so that it may be sent again.
  void Erase(const CommandId& id);
  // Removes answered commands older than the age limit and the clock margin.
  void EraseExpired(WallMilliseconds now);

  // Returns the stored answer, or null if there is none.
  const Answer* FindAnswer(const CommandId& id) const;

  std::size_t size() const { return entries_.size(); }

 private:
  IdempotencySettings settings_;
  std::map<CommandId, std::optional<Answer>> entries_;
};

}  // namespace sycamorestall

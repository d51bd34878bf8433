#pragma once

#include <string>
#include <system_error>

#include "core/boot_clock.h"
#include "store/store.h"

namespace sycamorestall {

// How a part of the store's state reached this daemon.
enum class StoreStateSource { kRead, kWatch, kRelay, kOperatorWatch };
// Returns the source's name in log lines.
const char* ToString(StoreStateSource source);

// Where a part of the store's state came from.
struct StoreStateOrigin {
  StoreStateSource source = StoreStateSource::kRead;
  // Own calls: time since the call was sent. Relayed updates: time since the store answered the
  // sender, as the sender reports it.
  Duration age{};
  StoreTransfer transfer;
  // Whether these are the first contents of a new era: the store has come back with a copy, which
  // may be older than what was known.
  bool restored = false;

  friend bool operator==(const StoreStateOrigin&, const StoreStateOrigin&) = default;
};

// What became of a relayed update.
enum class UpdateResult {
  kApplied,
  // Its events were known.
  kKnown,
  // Updates before it are missing.
  kGap,
  // An event could not be decompressed.
  kUndecodable,
  // It is of another era, or came before the contents were loaded.
  kIgnored,
};
// Returns the result's name in metrics.
const char* ToString(UpdateResult result);

// What a daemon that relies on relayed updates goes by, for the log.
struct UpdateState {
  // Whether updates replace the daemon's own calls.
  bool relied_on = false;
  // Time since the latest update.
  Duration silence{};
  // Time since the store answer behind what is known.
  Duration answer_age{};
  // Whether updates are known to be missing.
  bool gap = false;

  friend bool operator==(const UpdateState&, const UpdateState&) = default;
};
// Formats the state as fields of a log line.
std::string ToString(const UpdateState& state);

// A finished read or watch, for the log.
struct StoreCallRecord {
  StoreStateSource call = StoreStateSource::kRead;
  // Why the call was made: the daemon watches the store, or what its updates lacked.
  const char* reason = "";
  Duration time{};
  StoreTransfer transfer;
  // The revision known when the call was sent, and that of the answer.
  Revision from;
  Revision to;
  std::error_code error;
};

// Receives the store's contents and changes.
class StoreObserver {
 public:
  virtual ~StoreObserver() = default;

  // Applies events. Events of one key come in order; intermediate ones may be missing.
  virtual void ApplyChanges(const Store::Changes& changes, const StoreStateOrigin& origin) = 0;
  // A read or watch has finished.
  virtual void HandleStoreCall(const StoreCallRecord& call) = 0;
  // The store became reachable, or unreachable for the given reason.
  virtual void HandleReachability(bool reachable, const std::string& reason) = 0;
};

}  // namespace sycamorestall

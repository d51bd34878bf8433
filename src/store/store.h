#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "core/boot_clock.h"
#include "core/identifiers.h"

namespace sycamorestall {

// Why a call to the store gave no result.
enum class StoreError {
  // No answer: the call may have been carried out, or may be later.
  kNoAnswer = 1,
  // The store says that it did nothing.
  kRefused,
  // The changes asked for are no longer known; everything has to be read anew.
  kHistoryGone,
  // The lease has ended.
  kLeaseGone,
  // A condition of the change did not hold.
  kConflict,
  // The answer was not understood.
  kBadAnswer,
};

// The category of the errors above.
const std::error_category& StoreErrorCategory();
// Makes an error code of a store error.
std::error_code make_error_code(StoreError error);

// A lease: keys written under it vanish when it ends.
using LeaseId = Number<struct LeaseTag, std::uint64_t>;

// A key with its value.
struct StoreItem {
  std::string key;
  std::string value;
  // The change that wrote it; 0 says that the key is absent.
  Revision revision;

  friend bool operator==(const StoreItem&, const StoreItem&) = default;
};

// One change of a key.
struct StoreEvent {
  StoreItem item;
  bool removed = false;

  friend bool operator==(const StoreEvent&, const StoreEvent&) = default;
};

// A key that must be at a revision for a change to be made.
struct StoreCondition {
  std::string key;
  Revision revision;

  friend bool operator==(const StoreCondition&, const StoreCondition&) = default;
};

// A key to be written, under a lease if one is named.
struct StorePut {
  std::string key;
  std::string value;
  LeaseId lease;

  friend bool operator==(const StorePut&, const StorePut&) = default;
};

// A change that is made as a whole or not at all.
struct StoreChange {
  std::vector<StoreCondition> conditions;
  std::vector<StorePut> puts;
  std::vector<std::string> deletes;

  friend bool operator==(const StoreChange&, const StoreChange&) = default;
};

// How often a kind of call was made, and how often it got no answer.
struct StoreCallCount {
  std::string call;
  std::uint64_t made = 0;
  std::uint64_t unanswered = 0;

  friend bool operator==(const StoreCallCount&, const StoreCallCount&) = default;
};

// The platform's store. Callbacks come on the loop's thread, never from within
// the call.
class Store {
 public:
  virtual ~Store() = default;

  // All items, as of the revision.
  struct Contents {
    std::vector<StoreItem> items;
    Revision revision;
  };
  // What changed, up to the revision.
  struct Changes {
    std::vector<StoreEvent> events;
    Revision revision;
  };
  using ContentsCallback = std::function<void(std::error_code, Contents)>;
  using ChangesCallback = std::function<void(std::error_code, Changes)>;
  using CommitCallback = std::function<void(std::error_code, Revision)>;
  using LeaseCallback = std::function<void(std::error_code, LeaseId)>;

  // Reads everything.
  virtual void ReadAll(ContentsCallback callback) = 0;
  // Waits for changes after a revision, at most for the given time.
  virtual void Watch(Revision after, std::chrono::milliseconds wait, ChangesCallback callback) = 0;
  // Makes a change.
  virtual void Commit(const StoreChange& change, CommitCallback callback) = 0;
  // Takes out a lease.
  virtual void OpenLease(std::chrono::milliseconds time_to_live, LeaseCallback callback) = 0;
  // Renews a lease.
  virtual void RenewLease(LeaseId lease, LeaseCallback callback) = 0;
  // Ends a lease and with it its keys.
  virtual void EndLease(LeaseId lease) = 0;

  // The calls made so far.
  virtual std::vector<StoreCallCount> CallCounts() const = 0;
};

}  // namespace sycamorestall

// Lets store errors turn into error codes by themselves.
template <>
struct std::is_error_code_enum<sycamorestall::StoreError> : std::true_type {};

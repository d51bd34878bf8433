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

// Why a store call failed.
enum class StoreError {
  // No answer: the call may have been executed, or may still be.
  kNoAnswer = 1,
  // The call was not executed.
  kRefused,
  // The store no longer has the requested changes; reload all contents.
  kHistoryGone,
  // The lease has ended.
  kLeaseGone,
  // A condition of the transaction did not hold.
  kConflict,
  // The answer could not be parsed.
  kBadAnswer,
  // The answer was larger than the call accepts.
  kTooLarge,
  // No answer came, although the store answered a call that was sent later: it may have been
  // executed, or may still be.
  kGivenUp,
};

// Returns the error category of StoreError.
const std::error_category& StoreErrorCategory();
// Converts a store error to an error code.
std::error_code make_error_code(StoreError error);

// Identifies a lease of an era; the store deletes the keys written under it when it ends. The
// value 0 means no lease. In a new era the value may be given to another lease.
struct LeaseId {
  std::uint64_t value = 0;
  StoreEra era{};

  friend bool operator==(const LeaseId&, const LeaseId&) = default;
};

// A key with its value.
struct StoreItem {
  std::string key;
  std::string value;
  // The store revision that last wrote the key; 0 if the key does not exist.
  Revision revision;

  friend bool operator==(const StoreItem&, const StoreItem&) = default;
};

// A write or deletion of one key.
struct StoreEvent {
  StoreItem item;
  bool removed = false;

  friend bool operator==(const StoreEvent&, const StoreEvent&) = default;
};

// Requires that a key is at the given revision; revision 0 requires that it does not exist.
struct StoreCondition {
  std::string key;
  Revision revision;

  friend bool operator==(const StoreCondition&, const StoreCondition&) = default;
};

// A key to write, bound to a lease unless the lease is 0.
struct StorePut {
  std::string key;
  std::string value;
  LeaseId lease;

  friend bool operator==(const StorePut&, const StorePut&) = default;
};

// Conditions and writes that the store applies atomically or not at all.
struct StoreTransaction {
  std::vector<StoreCondition> conditions;
  std::vector<StorePut> puts;
  std::vector<std::string> deletes;

  friend bool operator==(const StoreTransaction&, const StoreTransaction&) = default;
};

// Size of an answer of the store, and how long its bytes took to arrive.
struct StoreTransfer {
  std::size_t bytes = 0;
  // Time from the first to the last byte.
  Duration time{};

  friend bool operator==(const StoreTransfer&, const StoreTransfer&) = default;
};

// Number of calls of one kind, and of those that got no answer.
struct StoreCallCount {
  std::string call;
  std::uint64_t made = 0;
  std::uint64_t unanswered = 0;

  friend bool operator==(const StoreCallCount&, const StoreCallCount&) = default;
};

// Asynchronous client of the platform's key-value store. Callbacks run on the event loop's
// thread, never from within the call itself.
class Store {
 public:
  virtual ~Store() = default;

  // All items, each at least as recent as the revision.
  struct Contents {
    std::vector<StoreItem> items;
    Revision revision;
    StoreTransfer transfer = {};
  };
  // Events up to and including the revision.
  struct Changes {
    std::vector<StoreEvent> events;
    Revision revision;
    StoreTransfer transfer = {};
  };
  using ContentsCallback = std::function<void(std::error_code, Contents)>;
  using ChangesCallback = std::function<void(std::error_code, Changes)>;
  using CommitCallback = std::function<void(std::error_code, Revision)>;
  using LeaseCallback = std::function<void(std::error_code, LeaseId)>;
  using ProbeCallback = std::function<void(std::error_code)>;

  // The latest era in which the store has answered a call; 0 if it has told none.
  virtual StoreEra era() const = 0;
  // Reads all items.
  virtual void ReadAll(ContentsCallback callback) = 0;
  // Long-polls for changes after a revision; yields no events if none came within the wait.
  // Fails with kHistoryGone if the store no longer has those changes or is in another era, and with
  // kTooLarge if the answer has more bytes than given.
  virtual void Watch(Revision after, std::chrono::milliseconds wait, std::size_t max_bytes,
                     ChangesCallback callback) = 0;
  // Long-polls for changes of the items whose keys begin with the prefix, besides other calls.
  virtual void WatchPrefix(const std::string& prefix, Revision after,
                           std::chrono::milliseconds wait, ChangesCallback callback) = 0;
  // Abandons running reads and watches of all items; their callbacks do not run.
  virtual void AbandonReads() = 0;
  // When the answer was due that has been missing for longest, of all calls of which no byte of the
  // answer has arrived; empty if none is missing.
  virtual std::optional<Instant> OldestMissingAnswer(Instant now) const = 0;
  // Sends a small call over a new connection to learn whether the store answers.
  virtual void Probe(ProbeCallback callback) = 0;
  // Gives up the calls sent by then of whose answers no byte has arrived; they fail with kGivenUp.
  virtual void GiveUpUnanswered(Instant sent_by) = 0;
  // Applies a transaction; the callback gets its revision. Fails with kConflict if a condition
  // does not hold. One with conditions or leases of an earlier era fails with kRefused, or, if the
  // store executed it before the new era was known here, with kNoAnswer.
  virtual void Commit(const StoreTransaction& transaction, CommitCallback callback) = 0;
  // Creates a lease that ends unless it is renewed within its time to live.
  virtual void OpenLease(std::chrono::milliseconds time_to_live, LeaseCallback callback) = 0;
  // Renews a lease. Fails with kLeaseGone if it has ended.
  virtual void RenewLease(LeaseId lease, LeaseCallback callback) = 0;
  // Ends a lease, which deletes its keys. The result is not reported.
  virtual void EndLease(LeaseId lease) = 0;

  // Returns the number of calls so far, by kind.
  virtual std::vector<StoreCallCount> CallCounts() const = 0;
};

}  // namespace sycamorestall

// Makes StoreError implicitly convertible to std::error_code.
template <>
struct std::is_error_code_enum<sycamorestall::StoreError> : std::true_type {};

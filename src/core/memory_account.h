#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "core/boot_clock.h"

namespace sycamorestall {

// Returns how many bytes callers and endpoints may make a process hold that may use so many bytes,
// or 256 MiB if that is 0. The rest is for the process itself.
std::size_t MaxHeldBytes(std::size_t max_memory_bytes);

// What a holder of memory would give up.
enum class HeldFor {
  // Requests of which nothing has run; they are refused.
  kIncompleteRequest,
  // Answers whose caller does not read them; its connection is closed.
  kUnreadAnswer,
  // Requests that run, and whose caller would not learn their outcome.
  kRunningRequest,
};

// The memory of a holder and its latest progress.
struct HeldMemory {
  std::size_t bytes = 0;
  // When its peer last sent or took a sizable part.
  Instant progressed_at;
  HeldFor held_for = HeldFor::kIncompleteRequest;
};

// A connection whose peer makes the process hold memory.
class MemoryHolder {
 public:
  virtual ~MemoryHolder() = default;

  virtual HeldMemory Held() const = 0;
  // Gives the memory up, at least most of it.
  virtual void ReleaseMemory() = 0;
};

// How often memory was taken back from holders.
struct MemoryReleases {
  std::uint64_t refused = 0;
  std::uint64_t closed = 0;

  friend bool operator==(const MemoryReleases&, const MemoryReleases&) = default;
};

// Accounts for the memory that callers and endpoints make the process hold. Not thread safe.
class MemoryAccount {
 public:
  explicit MemoryAccount(std::size_t max_bytes) : max_bytes_(max_bytes) {}
  // Sets a callback that runs each time that much of the memory has become free, for returning it
  // to the system.
  void OnFreed(std::function<void()> callback) { on_freed_ = std::move(callback); }

  // Registers a holder, which must be removed before it ends.
  void AddHolder(MemoryHolder& holder) { holders_.push_back(&holder); }
  void RemoveHolder(MemoryHolder& holder);
  // Takes memory back until the limit is kept: first requests that have not run, of the holder that
  // holds most and has been without progress for longest, then unread answers, then running
  // requests. Holders of little memory are left alone. Returns whether the limit is kept.
  bool Relieve(Instant now);
  // Whether the limit is exceeded.
  bool IsExceeded() const { return held_ > max_bytes_; }
  // Whether the limit is exceeded by more than what is taken back soon.
  bool IsExhausted() const { return held_ > max_bytes_ + max_bytes_ / 8; }
  // Whether so little is left that nothing should be read that can wait.
  bool IsScarce() const { return held_ > max_bytes_ / 2; }

  std::size_t held() const { return held_; }
  // The most bytes that were held so far.
  std::size_t peak() const { return peak_; }
  std::size_t max_bytes() const { return max_bytes_; }
  const MemoryReleases& releases() const { return releases_; }

 private:
  friend class MemoryReservation;

  void Change(std::size_t before, std::size_t after);
  // The holder to take memory from next; null if none holds much.
  MemoryHolder* ChooseHolder(Instant now) const;

  const std::size_t max_bytes_;
  std::size_t held_ = 0;
  std::size_t peak_ = 0;
  // The most bytes held since much became free.
  std::size_t recent_peak_ = 0;
  std::function<void()> on_freed_;
  std::vector<MemoryHolder*> holders_;
  MemoryReleases releases_;
};

// Bytes that are held until the reservation ends. Without an account it counts nothing.
class MemoryReservation {
 public:
  explicit MemoryReservation(std::shared_ptr<MemoryAccount> account = nullptr)
      : account_(std::move(account)) {}
  ~MemoryReservation() { Resize(0); }
  MemoryReservation(MemoryReservation&& other) noexcept;
  MemoryReservation& operator=(MemoryReservation&& other) noexcept;
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;

  void Resize(std::size_t bytes);
  std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<MemoryAccount> account_;
  std::size_t bytes_ = 0;
};

// Measures the progress of a peer: it counts only in sizable parts, so that single bytes now and
// then don't pass for it.
class TransferProgress {
 public:
  // Notes that nothing was expected of the peer before.
  void Restart(Instant now) {
    progressed_at_ = now;
    bytes_ = 0;
  }
  void Record(std::size_t bytes, Instant now);
  Instant progressed_at() const { return progressed_at_; }

 private:
  Instant progressed_at_;
  std::size_t bytes_ = 0;
};

}  // namespace sycamorestall

#include "core/memory_account.h"

#include <algorithm>
#include <utility>

namespace sycamorestall {

namespace {

constexpr std::size_t kMebibyte = std::size_t{1024} * 1024;
// The code, the tables of endpoints and keys, and the buffers of the log.
constexpr std::size_t kProcessBytes = 40 * kMebibyte;
// Three bodies of 64 MB fit into this beside the process.
constexpr std::size_t kDefaultMemoryBytes = 256 * kMebibyte;
// A holder of less is an ordinary one; the number of connections bounds the sum.
constexpr std::size_t kMinReleasedBytes = std::size_t{16} * 1024;
// A part of this size counts as progress.
constexpr std::size_t kProgressBytes = std::size_t{16} * 1024;
// Added to the time without progress, so that size decides among those that make progress.
constexpr std::chrono::milliseconds kProgressOffset{500};

// The callback for freed memory runs when one of so many parts has become free.
constexpr std::size_t kFreedParts = 16;

double Weight(const HeldMemory& held, Instant now) {
  const Duration stalled = std::max<Duration>(now - held.progressed_at, Duration{});
  const std::chrono::duration<double> time = stalled + kProgressOffset;
  return static_cast<double>(held.bytes) * time.count();
}

}  // namespace

std::size_t MaxHeldBytes(std::size_t max_memory_bytes) {
  const std::size_t available = max_memory_bytes != 0 ? max_memory_bytes : kDefaultMemoryBytes;
  return available > 2 * kProcessBytes ? available - kProcessBytes : available / 2;
}

void MemoryAccount::RemoveHolder(MemoryHolder& holder) { std::erase(holders_, &holder); }

void MemoryAccount::Change(std::size_t before, std::size_t after) {
  held_ = held_ - before + after;
  peak_ = std::max(peak_, held_);
  recent_peak_ = std::max(recent_peak_, held_);
  if (recent_peak_ - held_ > max_bytes_ / kFreedParts) {
    recent_peak_ = held_;
    if (on_freed_) {
      on_freed_();
    }
  }
}

MemoryHolder* MemoryAccount::ChooseHolder(Instant now) const {
  MemoryHolder* chosen = nullptr;
  HeldMemory most;
  for (MemoryHolder* holder : holders_) {
    const HeldMemory held = holder->Held();
    if (held.bytes < kMinReleasedBytes) {
      continue;
    }
    const bool sooner = chosen == nullptr || held.held_for < most.held_for ||
                        (held.held_for == most.held_for && Weight(held, now) > Weight(most, now));
    if (sooner) {
      chosen = holder;
      most = held;
    }
  }
  return chosen;
}

bool MemoryAccount::Relieve(Instant now) {
  while (IsExceeded()) {
    MemoryHolder* holder = ChooseHolder(now);
    if (holder == nullptr) {
      return false;
    }
    const bool refused = holder->Held().held_for == HeldFor::kIncompleteRequest;
    ++(refused ? releases_.refused : releases_.closed);
    holder->ReleaseMemory();
  }
  return true;
}

MemoryReservation::MemoryReservation(MemoryReservation&& other) noexcept
    : account_(std::move(other.account_)), bytes_(std::exchange(other.bytes_, 0)) {}

MemoryReservation& MemoryReservation::operator=(MemoryReservation&& other) noexcept {
  if (this != &other) {
    Resize(0);
    account_ = std::move(other.account_);
    bytes_ = std::exchange(other.bytes_, 0);
  }
  return *this;
}

void MemoryReservation::Resize(std::size_t bytes) {
  if (account_) {
    account_->Change(bytes_, bytes);
    bytes_ = bytes;
  }
}

void TransferProgress::Record(std::size_t bytes, Instant now) {
  bytes_ += bytes;
  if (bytes_ >= kProgressBytes) {
    Restart(now);
  }
}

}  // namespace sycamorestall

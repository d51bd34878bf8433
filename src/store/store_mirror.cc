#include "store/store_mirror.h"

#include <algorithm>

#include "clock/system_clock.h"

namespace sycamorestall {

namespace {

// Changes are gathered for so long between two calls.
constexpr std::chrono::milliseconds kRest{700};
// A watch is answered after this time even if nothing changed, so that a silent
// connection is found soon.
constexpr std::chrono::milliseconds kWatchWait{1500};
constexpr std::chrono::milliseconds kFirstRetry{100};
constexpr std::uint32_t kMaxDoublings = 3;

}  // namespace

void StoreMirror::Tick(Instant now) {
  if (calling_ || now < next_call_) {
    return;
  }
  calling_ = true;
  called_at_ = now;
  if (read_needed_) {
    store_.ReadAll([this](std::error_code error, const Store::Contents& contents) {
      TakeRead(error, contents);
    });
    return;
  }
  store_.Watch(revision_, kWatchWait, [this](std::error_code error, const Store::Changes& changes) {
    TakeWatch(error, changes);
  });
}

void StoreMirror::TakeRead(std::error_code error, const Store::Contents& contents) {
  calling_ = false;
  if (error) {
    Fail(error);
    return;
  }
  read_needed_ = false;
  Succeed(BootNow(), contents.revision, std::chrono::milliseconds{0});
  observer_.TakeContents(contents);
}

void StoreMirror::TakeWatch(std::error_code error, const Store::Changes& changes) {
  calling_ = false;
  if (error == StoreError::kHistoryGone) {
    read_needed_ = true;
    next_call_ = BootNow();
    return;
  }
  if (error) {
    Fail(error);
    return;
  }
  Succeed(BootNow(), std::max(revision_, changes.revision),
          changes.events.empty() ? std::chrono::milliseconds{0} : kRest);
  if (!changes.events.empty()) {
    observer_.TakeChanges(changes);
  }
}

void StoreMirror::Succeed(Instant now, Revision revision, std::chrono::milliseconds rest) {
  revision_ = revision;
  confirmed_at_ = called_at_;
  next_call_ = now + rest;
  failures_ = 0;
  if (!reachable_) {
    reachable_ = true;
    reachable_since_ = now;
    observer_.TakeStoreState(true, "");
  }
}

void StoreMirror::Fail(std::error_code error) {
  const Instant now = BootNow();
  next_call_ = now + kFirstRetry * (1U << std::min(failures_, kMaxDoublings));
  ++failures_;
  if (reachable_) {
    reachable_ = false;
    lost_since_ = now;
    observer_.TakeStoreState(false, error.message());
  }
}

}  // namespace sycamorestall

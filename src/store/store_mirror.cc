#include "store/store_mirror.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamorestall {

namespace {

// Changes are gathered for so long between two calls.
constexpr std::chrono::milliseconds kRest{700};
// A watch is answered after this time even if nothing changed, so that a silent
// connection is found soon.
constexpr std::chrono::milliseconds kWatchWait{800};
constexpr std::chrono::milliseconds kFirstRetry{100};
constexpr std::uint32_t kMaxDoublings = 3;
// Who has heard nothing for longer reads everything: that is less than all that
// happened meanwhile.
constexpr std::chrono::milliseconds kLongGap{4000};
// News that are later, or that tell of an older answer of the store, are not relied
// on. A configuration has to be in force 2 s after it was written.
constexpr std::chrono::milliseconds kNewsSilence{900};
constexpr std::chrono::milliseconds kNewsAge{1650};

}  // namespace

bool StoreMirror::IsToldEnough(Instant now) const {
  return !watching_ && now - news_at_ < kNewsSilence && now - informed_at_ < kNewsAge &&
         missed_until_ <= revision_;
}

void StoreMirror::Tick(Instant now) {
  if (calling_ || now < next_call_ || (!read_needed_ && IsToldEnough(now))) {
    return;
  }
  calling_ = true;
  called_at_ = now;
  if (read_needed_ || now - informed_at_ > kLongGap) {
    read_needed_ = true;
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
  revision_ = contents.revision;
  Succeed(clock_(), std::chrono::milliseconds{0});
  observer_.TakeContents(contents);
}

void StoreMirror::TakeWatch(std::error_code error, const Store::Changes& changes) {
  calling_ = false;
  if (error == StoreError::kHistoryGone) {
    read_needed_ = true;
    next_call_ = clock_();
    return;
  }
  if (error) {
    Fail(error);
    return;
  }
  Succeed(clock_(), changes.events.empty() ? std::chrono::milliseconds{0} : kRest);
  PassOn(changes.events, changes.revision);
}

void StoreMirror::PassOn(const std::vector<StoreEvent>& events, Revision revision) {
  // What came from two sides, or late, was taken already.
  Store::Changes changes;
  std::copy_if(events.begin(), events.end(), std::back_inserter(changes.events),
               [this](const StoreEvent& each) { return each.item.revision > revision_; });
  revision_ = std::max(revision_, revision);
  changes.revision = revision_;
  observer_.TakeChanges(changes);
}

void StoreMirror::TakeNews(const StoreNews& news, Instant now) {
  if (read_needed_) {
    return;
  }
  news_at_ = now;
  if (news.base > revision_) {
    missed_until_ = std::max(missed_until_, news.revision);
    return;
  }
  informed_at_ = std::max(informed_at_, now - std::chrono::milliseconds{news.answered_ms_ago});
  if (news.revision <= revision_) {
    return;
  }
  std::vector<StoreEvent> events;
  for (const NewsEvent& each : news.events) {
    auto event = UnpackEvent(each);
    if (!event) {
      // Not to be read: the store is asked for it.
      missed_until_ = std::max(missed_until_, news.revision);
      return;
    }
    events.push_back(std::move(*event));
  }
  PassOn(events, news.revision);
}

void StoreMirror::TakeOtherCall(std::error_code error) {
  const Instant now = clock_();
  if (read_needed_ || !IsToldEnough(now)) {
    // Its own calls tell more.
    return;
  }
  const bool failed = error == StoreError::kNoAnswer || error == StoreError::kRefused;
  if (failed) {
    SetLost(now, error);
  } else {
    SetReachable(now);
  }
}

void StoreMirror::Succeed(Instant now, std::chrono::milliseconds rest) {
  confirmed_at_ = called_at_;
  informed_at_ = now;
  next_call_ = now + rest;
  failures_ = 0;
  SetReachable(now);
}

void StoreMirror::Fail(std::error_code error) {
  const Instant now = clock_();
  next_call_ = now + kFirstRetry * (1U << std::min(failures_, kMaxDoublings));
  ++failures_;
  SetLost(now, error);
}

void StoreMirror::SetReachable(Instant now) {
  if (!reachable_) {
    reachable_ = true;
    reachable_since_ = now;
    observer_.TakeStoreState(true, "");
  }
}

void StoreMirror::SetLost(Instant now, std::error_code error) {
  if (reachable_) {
    reachable_ = false;
    lost_since_ = now;
    observer_.TakeStoreState(false, error.message());
  }
}

}  // namespace sycamorestall

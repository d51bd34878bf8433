#include "store/operator_watch.h"

#include <algorithm>

namespace sycamorestall {

namespace {

// The longest that the store lets a watch wait.
constexpr std::chrono::milliseconds kWait{30'000};
// Between an answer and the next watch.
constexpr std::chrono::milliseconds kPause{100};
constexpr std::chrono::milliseconds kRetryDelay{1000};

}  // namespace

void OperatorWatch::Tick(bool active, Instant now) {
  if (!active || pending_ || !watcher_.loaded() || now < next_call_at_) {
    return;
  }
  pending_ = true;
  sent_at_ = now;
  watched_until_ = std::max(watched_until_, watcher_.revision());
  store_.WatchPrefix(watcher_.operator_revisions().prefix(), watched_until_, kWait,
                     [this](std::error_code error, const Store::Changes& changes) {
                       HandleResult(error, changes);
                     });
}

void OperatorWatch::HandleResult(std::error_code error, const Store::Changes& changes) {
  const Instant now = clock_();
  pending_ = false;
  observer_.HandleStoreCall({StoreStateSource::kOperatorWatch, "operator's items", now - sent_at_,
                             changes.transfer, watched_until_, changes.revision, error});
  if (error == StoreError::kGivenUp) {
    next_call_at_ = now;
    return;
  }
  if (error) {
    // If the history is gone, the next watch begins where the StoreWatcher has come to.
    next_call_at_ = now + kRetryDelay;
    watched_until_ = {};
    return;
  }
  next_call_at_ = now + kPause;
  watched_until_ = changes.revision;
  watcher_.ApplyOperatorChanges(
      changes, {StoreStateSource::kOperatorWatch, now - sent_at_, changes.transfer, false});
}

}  // namespace sycamorestall

#pragma once

#include "store/store_watcher.h"

namespace sycamorestall {

// Watches the operator's items alone, besides the calls of the StoreWatcher, so that a change of
// theirs does not depend on one daemon, on one call, or on the delay that batches other changes.
// Such a watch costs one call for each change, or for each half minute.
class OperatorWatch {
 public:
  OperatorWatch(Store& store, StoreWatcher& watcher, StoreObserver& observer,
                StoreWatcher::Clock clock)
      : store_(store), watcher_(watcher), observer_(observer), clock_(clock) {}

  // Begins a watch if none is running and `active` says that this daemon should have one.
  void Tick(bool active, Instant now);

 private:
  void HandleResult(std::error_code error, const Store::Changes& changes);

  Store& store_;
  StoreWatcher& watcher_;
  StoreObserver& observer_;
  const StoreWatcher::Clock clock_;
  bool pending_ = false;
  Instant sent_at_;
  Instant next_call_at_;
  // All changes up to this revision were seen here.
  Revision watched_until_;
};

}  // namespace sycamorestall

#pragma once

#include "store/store.h"

namespace sycamorestall {

// Hears what the store holds.
class StoreObserver {
 public:
  virtual ~StoreObserver() = default;

  // The store was read as a whole; what is not in it does not exist.
  virtual void TakeContents(const Store::Contents& contents) = 0;
  // Some keys changed, oldest change first.
  virtual void TakeChanges(const Store::Changes& changes) = 0;
  // The store answers no longer, or does again.
  virtual void TakeStoreState(bool reachable, const std::string& reason) = 0;
};

// Follows the store: one read of everything, then one watch of everything. After
// each change it rests, so that changes are taken in bursts and not one by one.
class StoreMirror {
 public:
  StoreMirror(Store& store, StoreObserver& observer) : store_(store), observer_(observer) {}

  // Begins the next call if it is due.
  void Tick(Instant now);

  // When the latest call was sent that was answered with the store's state: at
  // that moment nothing was written that is not known here.
  Instant confirmed_at() const { return confirmed_at_; }
  // Whether the store's contents are known and its last call was answered.
  bool reachable() const { return reachable_; }
  // Since when it has been reachable without a break.
  Instant reachable_since() const { return reachable_since_; }
  // Whether it has not been reachable for the given time or longer.
  bool IsLostFor(Duration time, Instant now) const {
    return !reachable_ && now - lost_since_ >= time;
  }
  // Whether the contents were read at least once.
  bool loaded() const { return revision_.value != 0; }
  Revision revision() const { return revision_; }

 private:
  void TakeRead(std::error_code error, const Store::Contents& contents);
  void TakeWatch(std::error_code error, const Store::Changes& changes);
  void Succeed(Instant now, Revision revision, std::chrono::milliseconds rest);
  void Fail(std::error_code error);

  Store& store_;
  StoreObserver& observer_;
  bool calling_ = false;
  bool read_needed_ = true;
  bool reachable_ = false;
  Revision revision_;
  Instant called_at_;
  Instant next_call_;
  Instant confirmed_at_;
  Instant reachable_since_;
  Instant lost_since_;
  std::uint32_t failures_ = 0;
};

}  // namespace sycamorestall

#pragma once

#include "store/store.h"
#include "store/store_news.h"

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
//
// Calls are paid for, so only one daemon of a domain has to watch. The others live
// by the news that it passes on, and watch for themselves whenever those are late,
// old or have a gap.
class StoreMirror {
 public:
  using Clock = Instant (*)();

  StoreMirror(Store& store, StoreObserver& observer, Clock clock)
      : store_(store), observer_(observer), clock_(clock) {}

  // Begins the next call if it is due.
  void Tick(Instant now);
  // Whether this daemon watches for itself also when it hears news.
  void SetWatching(bool watching) { watching_ = watching; }
  bool watching() const { return watching_; }
  // Another daemon passes on what it heard from the store.
  void TakeNews(const StoreNews& news, Instant now);
  // A call ended that another part of the daemon had made.
  void TakeOtherCall(std::error_code error);

  // When the latest call of this daemon's own was sent that was answered with the
  // store's state: at that moment nothing was written that is not known here.
  Instant confirmed_at() const { return confirmed_at_; }
  // When the store last answered whoever told this daemon of it.
  Instant informed_at() const { return informed_at_; }
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
  bool IsToldEnough(Instant now) const;
  void TakeRead(std::error_code error, const Store::Contents& contents);
  void TakeWatch(std::error_code error, const Store::Changes& changes);
  void PassOn(const std::vector<StoreEvent>& events, Revision revision);
  void Succeed(Instant now, std::chrono::milliseconds rest);
  void Fail(std::error_code error);
  void SetReachable(Instant now);
  void SetLost(Instant now, std::error_code error);

  Store& store_;
  StoreObserver& observer_;
  const Clock clock_;
  bool watching_ = true;
  bool calling_ = false;
  bool read_needed_ = true;
  bool reachable_ = false;
  Revision revision_;
  Instant called_at_;
  Instant next_call_;
  Instant confirmed_at_;
  Instant informed_at_;
  Instant reachable_since_;
  Instant lost_since_;
  std::uint32_t failures_ = 0;
  // When news came last, and up to where they went if some before them were missed.
  Instant news_at_;
  Revision missed_until_;
};

}  // namespace sycamorestall

#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "core/boot_clock.h"
#include "store/store_update.h"

namespace sycamorestall {

// The recent changes of the store that matter to other daemons. Each daemon keeps them, as each may
// have to watch the store for its domain.
class StoreUpdateLog {
 public:
  // Starts the log: events up to the revision are not in it. Until then nothing is added.
  void Begin(Revision revision, Instant now);
  bool has_begun() const { return begun_at_.has_value(); }
  // Whether the log has all changes since the given time.
  bool ReachesBackTo(Instant time) const { return begun_at_ && *begun_at_ <= time; }
  // Adds an event that changed something in this daemon, unless the log begins after it.
  void Add(const StoreEvent& event, Instant now);
  // Discards events that were added too long ago.
  void DiscardOld(Instant now);

  // The latest revision among the events added before the given time.
  Revision RevisionBefore(Instant time) const;
  // Returns the updates that bring a receiver from one revision to another; always at least one.
  // `values` has the versions of large values at the receiver's revision.
  // Only the latest event of each key is in them. A base later than the receiver's revision tells
  // it that earlier events are missing: they were discarded, or are too large for a datagram.
  std::vector<StoreUpdate> UpdatesAfter(Revision after, Revision revision,
                                        const ValueHistory& values) const;

 private:
  struct Entry {
    StoreEvent event;
    Instant added_at;
  };

  std::vector<StoreEvent> LatestEventsAfter(Revision after) const;

  std::optional<Instant> begun_at_;
  // All events after this revision are in the log.
  Revision complete_after_;
  std::deque<Entry> entries_;
};

}  // namespace sycamorestall

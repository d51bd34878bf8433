#pragma once

#include <vector>

#include "core/identifiers.h"

namespace sycamorestall {

// A daemon that can watch the store on behalf of its failure domain.
struct StoreWatchCandidate {
  InstanceId id;
  // Whether it knows the changes of the last seconds, so that it can make up for updates that
  // others missed.
  bool knows_recent_changes = false;
  // Its capacity relative to other daemons.
  double weight = 1;

  friend bool operator==(const StoreWatchCandidate&, const StoreWatchCandidate&) = default;
};

// What a daemon does of the watching of the store for its domain.
enum class StoreWatchRole {
  // Watches all items.
  kWatcher,
  // Watches the operator's items, so that their changes do not depend on the watcher alone.
  kStandby,
  // Relies on the updates of the watcher.
  kFollower,
};

// Chooses the role of a daemon. The watcher is, of those that know the recent changes, or of all if
// none does, the one with the highest weight, as watching costs bandwidth and processor time; the
// standby is the next one. `others` are the other daemons of the domain that were heard recently
// and reach the store. Two daemons may have the same role if they hear different ones.
StoreWatchRole ChooseStoreWatchRole(const StoreWatchCandidate& self,
                                    const std::vector<StoreWatchCandidate>& others);

}  // namespace sycamorestall

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

// Whether a daemon is the one that watches the store for its domain: of those that know the
// recent changes, or of all if none does, the one with the highest weight, as watching
// costs bandwidth and processor time. others are the
// other daemons of the domain that were heard recently and reach the store. Two daemons
// may both watch if they hear different ones.
bool IsStoreWatcher(const StoreWatchCandidate& self,
                    const std::vector<StoreWatchCandidate>& others);

}  // namespace sycamorestall

#pragma once

#include <vector>

#include "core/identifiers.h"

namespace sycamorestall {

// A daemon that could watch the store for its failure domain.
struct WatchCandidate {
  InstanceId id;
  // How much it can do, against other daemons.
  double weight = 1;

  friend bool operator==(const WatchCandidate&, const WatchCandidate&) = default;
};

// Whether a daemon is the one that watches for its domain: the strongest, as
// watching costs bytes and processor time. The others are those of the domain that
// are heard and reach the store; daemons that hear different ones may both watch.
bool WatchesForDomain(const WatchCandidate& self, const std::vector<WatchCandidate>& others);

}  // namespace sycamorestall

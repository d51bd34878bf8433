#pragma once

#include <vector>

#include "core/key_demand.h"
#include "core/ownership_record.h"

namespace sycamorestall {

// An endpoint that keys can be assigned to.
struct KeyPlacementTarget {
  InstanceId id;
  // Its capacity relative to other endpoints of the service.
  double capacity = 1;
  // The requests per second that it can run; 0 while unknown.
  double max_rate = 0;
  // Whether it may get keys, rather than only give its own away.
  bool accepts_keys = true;
};

// A range that is to get a new owner.
struct KeyMove {
  KeyRange range;
  InstanceId target;

  friend bool operator==(const KeyMove&, const KeyMove&) = default;
};

// Decides which keys move to balance the load of endpoints. Handles demand that changes
// and that is concentrated on a few adjacent keys.
class KeyPlacement {
 public:
  virtual ~KeyPlacement() = default;

  // Returns the moves that are worth making now. Moves do not overlap, and each lies
  // within one of the given ranges.
  virtual std::vector<KeyMove> Plan(const std::vector<OwnedRange>& ranges, const KeyDemand& demand,
                                    const std::vector<KeyPlacementTarget>& targets) const = 0;
};

// Moves small, busy pieces of ranges from endpoints above the mean load to those below
// it. As busy keys are few, few keys change owners. A key that is too busy to be moved
// stays, and its neighbors move instead.
class DensePiecePlacement : public KeyPlacement {
 public:
  std::vector<KeyMove> Plan(const std::vector<OwnedRange>& ranges, const KeyDemand& demand,
                            const std::vector<KeyPlacementTarget>& targets) const override;
};

// Splits all keys into ranges in proportion to the capacity of the targets, in their
// order.
std::vector<KeyMove> SplitKeysByCapacity(const std::vector<KeyPlacementTarget>& targets);

}  // namespace sycamorestall

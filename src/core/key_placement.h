#pragma once

#include <vector>

#include "core/key_demand.h"
#include "core/ownership_record.h"

namespace sycamorestall {

// An endpoint that keys can be placed on.
struct PlacementTarget {
  InstanceId id;
  // How much it can do, against others of its service.
  double capacity = 1;
};

// Keys that are to change their owner.
struct KeyMove {
  KeyRange range;
  InstanceId target;

  friend bool operator==(const KeyMove&, const KeyMove&) = default;
};

// Decides which keys move to even out the load of endpoints. Answers demand that
// is concentrated on a few adjacent keys and that changes.
class KeyPlacement {
 public:
  virtual ~KeyPlacement() = default;

  // The moves that are worth making now. Moves do not overlap, and each lies in
  // one of the given ranges.
  virtual std::vector<KeyMove> Plan(const std::vector<OwnedRange>& ranges, const KeyDemand& demand,
                                    const std::vector<PlacementTarget>& targets) const = 0;
};

// Moves the densest small pieces from endpoints above the mean to those below.
// Few keys change hands, as busy keys are few. A key that is too busy to be moved
// stays where it is, and what lies beside it moves off.
class DensePiecePlacement : public KeyPlacement {
 public:
  std::vector<KeyMove> Plan(const std::vector<OwnedRange>& ranges, const KeyDemand& demand,
                            const std::vector<PlacementTarget>& targets) const override;
};

// Cuts all keys into ranges in proportion to capacity, in the order given.
std::vector<KeyMove> SplitKeysByCapacity(const std::vector<PlacementTarget>& targets);

}  // namespace sycamorestall

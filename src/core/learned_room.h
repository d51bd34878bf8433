#pragma once

#include <limits>

#include "core/boot_clock.h"

namespace sycamorestall {

// How many requests an endpoint takes at a time per slot, learned from those that it refused. An
// endpoint may queue fewer requests than the latency target would allow.
class LearnedRoom {
 public:
  // Notes that the endpoint refused a request that was expected to be the given number per slot.
  void RecordRefusal(double requests_per_slot, Instant now);
  // At least 1, as the slots themselves are known; infinite if nothing was refused recently.
  double RequestsPerSlot(Instant now) const;

 private:
  double limit_ = std::numeric_limits<double>::infinity();
  Instant recorded_at_;
};

}  // namespace sycamorestall

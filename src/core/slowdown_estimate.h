#pragma once

#include "core/boot_clock.h"

namespace sycamorestall {

// How many times slower an endpoint is at present than it is on average. A single slow answer shows
// it at once, while the average over many answers follows changes only slowly, as a daemon gets few
// answers from each of many endpoints. Without new evidence the estimate returns to 1.
class SlowdownEstimate {
 public:
  // Adds that a request took so many times the average service time.
  void Add(double factor, Instant now);
  // At least 1.
  double At(Instant now) const;

 private:
  double excess_ = 0;
  Instant added_at_;
};

}  // namespace sycamorestall

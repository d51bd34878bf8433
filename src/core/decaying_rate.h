#pragma once

#include <cmath>

#include "core/boot_clock.h"

namespace sycamorestall {

// Events per second, as an exponentially decaying average over about a second.
class DecayingRate {
 public:
  void Count(Instant now) {
    rate_ = PerSecond(now) + 1 / kDecaySeconds;
    counted_at_ = now;
  }

  double PerSecond(Instant now) const {
    const double elapsed = std::chrono::duration<double>(now - counted_at_).count();
    return rate_ * std::exp(-elapsed / kDecaySeconds);
  }

 private:
  static constexpr double kDecaySeconds = 1.0;

  double rate_ = 0;
  Instant counted_at_;
};

}  // namespace sycamorestall

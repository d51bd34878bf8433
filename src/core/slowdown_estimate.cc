#include "core/slowdown_estimate.h"

#include <algorithm>
#include <cmath>

namespace sycamorestall {

namespace {

// The share that one observation has in the estimate. Some requests take long by themselves.
constexpr double kWeight = 0.5;
constexpr double kMaxExcess = 9;
// Requests that take up to so many times the average are usual.
constexpr double kUsualFactor = 2;
// An estimate without new evidence loses two thirds in this time. An endpoint that gets no requests
// as it seems slow would never show that it is fast again.
constexpr double kDecaySeconds = 0.7;

}  // namespace

void SlowdownEstimate::Add(double factor, Instant now) {
  const double known = At(now) - 1;
  const double observed = factor <= kUsualFactor ? 0 : std::min(factor - 1, kMaxExcess);
  excess_ = known + kWeight * (observed - known);
  added_at_ = now;
}

double SlowdownEstimate::At(Instant now) const {
  const double elapsed_s = std::chrono::duration<double>(now - added_at_).count();
  return 1 + excess_ * std::exp(-std::max(0.0, elapsed_s) / kDecaySeconds);
}

}  // namespace sycamorestall

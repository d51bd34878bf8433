#include "core/learned_room.h"

#include <algorithm>

namespace sycamorestall {

namespace {

// The limit rises again, as requests may have been refused for a passing reason, and as more of
// other daemons may have been there than was known.
constexpr double kRisePerSecond = 0.25;
constexpr double kForgottenAbove = 5;

}  // namespace

void LearnedRoom::RecordRefusal(double requests_per_slot, Instant now) {
  // A refusal below that shows requests of other daemons, not how many the endpoint takes.
  if (requests_per_slot > 1) {
    limit_ = std::min(RequestsPerSlot(now), requests_per_slot);
    recorded_at_ = now;
  }
}

double LearnedRoom::RequestsPerSlot(Instant now) const {
  const double elapsed_s = std::chrono::duration<double>(now - recorded_at_).count();
  const double limit = std::max(1.0, limit_ + kRisePerSecond * std::max(0.0, elapsed_s));
  return limit > kForgottenAbove ? std::numeric_limits<double>::infinity() : limit;
}

}  // namespace sycamorestall

#pragma once

#include <chrono>

namespace sycamorestall {

// The clock for leases: monotonic, and it goes on counting while the machine is
// suspended. The core never reads it; the current time is passed to each call.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

using Instant = BootClock::time_point;
using Duration = BootClock::duration;

// Wall clock time, in milliseconds since 1970 in UTC. Used only for the age of
// idempotency keys, never for leases.
using WallMilliseconds = std::chrono::milliseconds;

}  // namespace sycamorestall

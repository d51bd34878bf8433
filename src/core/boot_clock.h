#pragma once

#include <chrono>

namespace sycamorestall {

// The clock that leases are counted on: it only moves forward and goes on
// counting while the machine is suspended. The core never reads it; each call
// into the core says what time it is.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

using Instant = BootClock::time_point;
using Duration = BootClock::duration;

// A moment of the calendar, milliseconds since 1970 in UTC. Used only to judge
// the age of idempotency keys, never for leases.
using WallMilliseconds = std::chrono::milliseconds;

}  // namespace sycamorestall

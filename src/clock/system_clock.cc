#include "clock/system_clock.h"

#include <ctime>

namespace sycamorestall {

Instant BootNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant{std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec}};
}

WallMilliseconds WallNow() {
  return std::chrono::duration_cast<WallMilliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace sycamorestall

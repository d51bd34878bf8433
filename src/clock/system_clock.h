#pragma once

#include "core/boot_clock.h"

namespace sycamorestall {

// Time since the machine booted, including time spent suspended; never goes back.
Instant BootNow();

// Wall-clock time: Unix time in milliseconds, which can jump when the clock is set.
WallMilliseconds WallNow();

}  // namespace sycamorestall

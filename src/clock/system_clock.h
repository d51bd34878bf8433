#pragma once

#include "core/boot_clock.h"

namespace sycamorestall {

// The time since the machine started, suspensions included.
Instant BootNow();

// The calendar time, in milliseconds since 1970, UTC.
WallMilliseconds WallNow();

}  // namespace sycamorestall

#pragma once

#include <cstdint>

namespace sycamorestall::fakes {

// Returns a loopback port that is free and that this process has not returned before. It is below
// the ephemeral range, so that no outgoing connection takes it while a daemon is down.
std::uint16_t PickFreePort();

}  // namespace sycamorestall::fakes

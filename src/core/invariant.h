#pragma once

namespace sycamorestall {

// Aborts the process with a message if the invariant does not hold: a stopped daemon
// is safer than one that goes on serving from invalid state.
void RequireInvariant(bool holds, const char* invariant);

}  // namespace sycamorestall

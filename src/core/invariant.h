#pragma once

namespace sycamorestall {

// Stops the process with a message when something that must always hold does
// not: a stopped daemon is safer than one that serves on a wrong belief.
void RequireInvariant(bool holds, const char* what);

}  // namespace sycamorestall

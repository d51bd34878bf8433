#include "core/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace sycamorestall {

void RequireInvariant(bool holds, const char* invariant) {
  if (holds) {
    return;
  }
  std::fprintf(stderr, "invariant violated: %s\n", invariant);
  std::abort();
}

}  // namespace sycamorestall

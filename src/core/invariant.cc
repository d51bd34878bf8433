#include "core/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace sycamorestall {

void RequireInvariant(bool holds, const char* what) {
  if (holds) {
    return;
  }
  std::fprintf(stderr, "invariant violated: %s\n", what);
  std::abort();
}

}  // namespace sycamorestall

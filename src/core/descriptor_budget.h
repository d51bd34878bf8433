#pragma once

#include <cstddef>

namespace sycamorestall {

// Returns how many connections of callers a process may hold open if it may use so many
// descriptors; 0 stands for no limit. The rest is for files and for connections to endpoints, the
// store and the listeners, so that callers who come back again and again cannot use them up.
constexpr std::size_t MaxCallerConnections(std::size_t max_descriptors) {
  constexpr std::size_t kFileDescriptors = 256;
  constexpr std::size_t kCallerQuarters = 3;
  if (max_descriptors == 0) {
    return 0;
  }
  const std::size_t sockets = max_descriptors > 2 * kFileDescriptors
                                  ? max_descriptors - kFileDescriptors
                                  : max_descriptors / 2;
  return sockets * kCallerQuarters / 4 + 1;
}

}  // namespace sycamorestall

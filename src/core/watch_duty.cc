#include "core/watch_duty.h"

#include <algorithm>
#include <tuple>

namespace sycamorestall {

bool WatchesForDomain(const WatchCandidate& self, const std::vector<WatchCandidate>& others) {
  return std::none_of(others.begin(), others.end(), [&](const WatchCandidate& each) {
    return std::tuple{-each.weight, each.id} < std::tuple{-self.weight, self.id};
  });
}

}  // namespace sycamorestall

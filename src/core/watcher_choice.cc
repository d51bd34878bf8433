#include "core/watcher_choice.h"

#include <algorithm>
#include <tuple>

namespace sycamorestall {

bool IsStoreWatcher(const StoreWatchCandidate& self,
                    const std::vector<StoreWatchCandidate>& others) {
  return std::none_of(others.begin(), others.end(), [&](const StoreWatchCandidate& each) {
    return std::tuple{!each.knows_recent_changes, -each.weight, each.id} <
           std::tuple{!self.knows_recent_changes, -self.weight, self.id};
  });
}

}  // namespace sycamorestall

#include "core/watcher_choice.h"

#include <algorithm>
#include <tuple>

namespace sycamorestall {

StoreWatchRole ChooseStoreWatchRole(const StoreWatchCandidate& self,
                                    const std::vector<StoreWatchCandidate>& others) {
  const auto before =
      std::count_if(others.begin(), others.end(), [&](const StoreWatchCandidate& each) {
        return std::tuple{!each.knows_recent_changes, -each.weight, each.id} <
               std::tuple{!self.knows_recent_changes, -self.weight, self.id};
      });
  if (before == 0) {
    return StoreWatchRole::kWatcher;
  }
  return before == 1 ? StoreWatchRole::kStandby : StoreWatchRole::kFollower;
}

}  // namespace sycamorestall

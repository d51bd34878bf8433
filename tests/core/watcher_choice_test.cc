#include "core/watcher_choice.h"

#include <doctest/doctest.h>

#include <string>

using namespace sycamorestall;  // NOLINT

TEST_CASE("a daemon that has just started does not watch while another can repair gaps") {
  struct Row {
    std::string name;
    StoreWatchCandidate self;
    std::vector<StoreWatchCandidate> others;
    StoreWatchRole role;
  };
  const StoreWatchCandidate strong{InstanceId{"a"}, true, 20};
  const StoreWatchCandidate weak{InstanceId{"b"}, true, 1};
  const StoreWatchCandidate strong_fresh{InstanceId{"a"}, false, 20};
  const StoreWatchCandidate weak_fresh{InstanceId{"b"}, false, 1};
  const StoreWatchCandidate middle{InstanceId{"c"}, true, 10};
  using enum StoreWatchRole;
  const Row rows[] = {
      {"alone", strong_fresh, {}, kWatcher},
      {"strongest", strong, {weak}, kWatcher},
      {"weaker", weak, {strong}, kStandby},
      {"second of three", middle, {weak, strong}, kStandby},
      {"weakest of three", weak, {middle, strong}, kFollower},
      {"strongest, just started", strong_fresh, {weak}, kStandby},
      {"weaker than one just started", weak, {strong_fresh}, kWatcher},
      {"all just started", strong_fresh, {weak_fresh}, kWatcher},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK(ChooseStoreWatchRole(row.self, row.others) == row.role);
  }
}

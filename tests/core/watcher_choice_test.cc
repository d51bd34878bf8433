#include "core/watcher_choice.h"

#include <doctest/doctest.h>

#include <string>

using namespace sycamorestall;  // NOLINT

TEST_CASE("a daemon that has just started does not watch while another can repair gaps") {
  struct Row {
    std::string name;
    StoreWatchCandidate self;
    std::vector<StoreWatchCandidate> others;
    bool watches;
  };
  const StoreWatchCandidate strong{InstanceId{"a"}, true, 20};
  const StoreWatchCandidate weak{InstanceId{"b"}, true, 1};
  const StoreWatchCandidate strong_fresh{InstanceId{"a"}, false, 20};
  const StoreWatchCandidate weak_fresh{InstanceId{"b"}, false, 1};
  const Row rows[] = {
      {"alone", strong_fresh, {}, true},
      {"strongest", strong, {weak}, true},
      {"weaker", weak, {strong}, false},
      {"strongest, just started", strong_fresh, {weak}, false},
      {"weaker than one just started", weak, {strong_fresh}, true},
      {"all just started", strong_fresh, {weak_fresh}, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK(IsStoreWatcher(row.self, row.others) == row.watches);
  }
}

#include "core/endpoint_history.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace sycamorestall;  // NOLINT

namespace {

EndpointEntry MakeEntry(std::uint64_t incarnation, bool draining) {
  EndpointEntry entry;
  entry.id = InstanceId{"a"};
  entry.incarnation = {incarnation};
  entry.draining = draining;
  return entry;
}

}  // namespace

TEST_CASE("an older copy of the store does not bring back endpoints that left") {
  struct Row {
    std::string name;
    std::vector<EndpointEntry> known;
    bool removed;
    EndpointEntry entry;
    bool outdated_if_restored;
    bool outdated;
  };
  const Row rows[] = {
      {"not known", {}, false, MakeEntry(5, false), false, false},
      {"known as ready", {MakeEntry(5, false)}, false, MakeEntry(5, false), false, false},
      {"draining", {MakeEntry(5, true)}, false, MakeEntry(5, false), true, true},
      {"draining, and still so", {MakeEntry(5, true)}, false, MakeEntry(5, true), false, false},
      {"removed", {MakeEntry(5, false)}, true, MakeEntry(5, false), true, false},
      {"started again", {MakeEntry(5, true)}, true, MakeEntry(6, false), false, false},
      {"copy from before a restart",
       {MakeEntry(5, false), MakeEntry(6, false)},
       false,
       MakeEntry(5, false),
       true,
       false},
      {"without incarnation", {MakeEntry(0, true)}, false, MakeEntry(0, false), false, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const Instant now = Instant{} + std::chrono::hours{1};
    EndpointHistory history;
    for (const EndpointEntry& each : row.known) {
      history.RecordEntry(each);
    }
    if (row.removed) {
      history.RecordRemoval(InstanceId{"a"}, now);
    }
    CHECK(history.IsOutdated(row.entry, true) == row.outdated_if_restored);
    CHECK(history.IsOutdated(row.entry, false) == row.outdated);
  }
}

TEST_CASE("an endpoint removed long ago is forgotten") {
  const Instant now = Instant{} + std::chrono::hours{1};
  EndpointHistory history;
  history.RecordEntry(MakeEntry(5, false));
  history.RecordRemoval(InstanceId{"a"}, now);
  history.RecordRemoval(InstanceId{"b"}, now + std::chrono::minutes{11});
  CHECK_FALSE(history.IsOutdated(MakeEntry(5, false), true));
}

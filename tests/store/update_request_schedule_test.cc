#include "store/update_request_schedule.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace sycamorestall;  // NOLINT
using std::chrono::milliseconds;

namespace {

struct Row {
  std::string name;
  bool gap = false;
  // The peer that told of a missing change at the beginning; empty if none is missing.
  std::string changed_peer;
  std::string informed_peer;
  // The peers asked in 500 ms, and when.
  std::vector<std::pair<int, std::string>> expected;
};

}  // namespace

TEST_CASE("lost updates are asked for soon and again, from whoever has them") {
  const Row rows[] = {
      {"nothing is missing", false, "", "", {}},
      {"a gap", true, "", "", {{0, "sender"}, {200, "sender"}, {400, "sender"}}},
      {"a change that a peer knows",
       false,
       "peer",
       "",
       {{60, "peer"}, {260, "peer"}, {460, "peer"}}},
      {"both", true, "peer", "", {{0, "sender"}, {200, "peer"}, {400, "sender"}}},
      {"neither store nor updates", false, "", "near", {{0, "near"}, {400, "near"}}},
      {"a change, and neither store nor updates",
       false,
       "peer",
       "near",
       {{0, "near"}, {200, "peer"}, {400, "peer"}}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const Instant begin = Instant{} + std::chrono::hours{1};
    MissingUpdates missing;
    missing.gap = row.gap;
    if (!row.changed_peer.empty()) {
      missing.change = OperatorRevisions::Missing{{9}, InstanceId{row.changed_peer}, begin};
    }
    if (!row.informed_peer.empty()) {
      missing.informed_peer = InstanceId{row.informed_peer};
    }
    UpdateRequestSchedule schedule;
    schedule.RecordGap(InstanceId{"sender"});
    std::vector<std::pair<int, std::string>> asked;
    for (int at = 0; at < 500; at += 20) {
      if (const auto peer = schedule.Next(missing, begin + milliseconds{at})) {
        asked.emplace_back(at, peer->value());
      }
    }
    CHECK(asked == row.expected);
  }
}

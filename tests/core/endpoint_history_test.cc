#include "core/endpoint_history.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace sycamorestall;  // NOLINT

namespace {

EndpointEntry MakeEntry(std::uint64_t incarnation, bool draining, std::uint64_t heartbeat = 9) {
  EndpointEntry entry;
  entry.id = InstanceId{"a"};
  entry.incarnation = {incarnation};
  entry.draining = draining;
  entry.heartbeat = heartbeat;
  return entry;
}

// What is known of an endpoint, and how an entry is judged then.
struct Row {
  std::string name;
  std::vector<EndpointEntry> known;
  bool removed;
  EndpointEntry entry;
  EntryAge age_if_restored;
  EntryAge age;
};

void CheckRow(const Row& row) {
  CAPTURE(row.name);
  const Instant now = Instant{} + std::chrono::hours{1};
  EndpointHistory history;
  for (const EndpointEntry& each : row.known) {
    history.RecordEntry(each);
  }
  if (row.removed) {
    history.RecordRemoval(InstanceId{"a"}, RemovalCause::kRemoved, now);
  }
  CHECK(std::string{ToString(history.Judge(row.entry, true, now))} ==
        ToString(row.age_if_restored));
  CHECK(std::string{ToString(history.Judge(row.entry, false, now))} == ToString(row.age));
}

constexpr EntryAge kCurrent = EntryAge::kCurrent;
constexpr EntryAge kOutdated = EntryAge::kOutdated;
constexpr EntryAge kUnconfirmedReturn = EntryAge::kUnconfirmedReturn;
constexpr EntryAge kUnconfirmedStart = EntryAge::kUnconfirmedStart;

}  // namespace

TEST_CASE("an older copy of the store does not bring back endpoints that left") {
  const Row rows[] = {
      {"not known", {}, false, MakeEntry(5, false), kCurrent, kCurrent},
      {"known as ready", {MakeEntry(5, false)}, false, MakeEntry(5, false), kCurrent, kCurrent},
      {"draining", {MakeEntry(5, true)}, false, MakeEntry(5, false), kOutdated, kOutdated},
      {"draining, and still so",
       {MakeEntry(5, true)},
       false,
       MakeEntry(5, true),
       kCurrent,
       kCurrent},
      {"removed", {MakeEntry(5, false)}, true, MakeEntry(5, false), kOutdated, kOutdated},
      {"started again", {MakeEntry(5, true)}, true, MakeEntry(6, false), kCurrent, kCurrent},
      {"without incarnation",
       {MakeEntry(0, true)},
       false,
       MakeEntry(0, false),
       kCurrent,
       kUnconfirmedStart},
  };
  for (const Row& row : rows) {
    CheckRow(row);
  }
}

// Guards against requests to a draining endpoint after a late write of its earlier incarnation.
TEST_CASE("an entry of an earlier incarnation is not taken for a new start at once") {
  const std::vector<EndpointEntry> restarted{MakeEntry(5, false, 20), MakeEntry(6, false, 1)};
  const Row rows[] = {
      {"heard of before", restarted, false, MakeEntry(5, false, 20), kOutdated, kOutdated},
      {"not heard of", restarted, false, MakeEntry(5, false, 21), kOutdated, kUnconfirmedStart},
      {"the restart drains",
       {MakeEntry(5, false, 20), MakeEntry(6, true, 3)},
       false,
       MakeEntry(5, false, 21),
       kOutdated,
       kUnconfirmedStart},
      {"after its removal", restarted, true, MakeEntry(5, false, 21), kOutdated,
       kUnconfirmedReturn},
      {"earlier incarnation unknown",
       {MakeEntry(6, false, 1)},
       false,
       MakeEntry(5, false, 21),
       kOutdated,
       kUnconfirmedStart},
      {"started with a clock that is behind",
       {MakeEntry(6, false, 40)},
       false,
       MakeEntry(5, false, 1),
       kOutdated,
       kUnconfirmedStart},
      {"overtaken, and heard of again",
       {MakeEntry(6, false, 40), MakeEntry(5, false, 1)},
       false,
       MakeEntry(6, false, 41),
       kUnconfirmedStart,
       kUnconfirmedStart},
      {"no incarnation any more",
       {MakeEntry(6, false, 40)},
       false,
       MakeEntry(0, false, 1),
       kOutdated,
       kUnconfirmedStart},
      {"no incarnation, started again",
       {MakeEntry(0, true, 40)},
       false,
       MakeEntry(0, false, 1),
       kCurrent,
       kCurrent},
      {"no incarnation, written late",
       {MakeEntry(0, false, 40)},
       false,
       MakeEntry(0, false, 38),
       kCurrent,
       kUnconfirmedStart},
  };
  for (const Row& row : rows) {
    CheckRow(row);
  }
}

// Guards against requests to an endpoint that has left after a late write of an earlier heartbeat.
TEST_CASE("an entry that comes after the removal of its endpoint is told from a late one") {
  struct RemovalRow {
    std::string name;
    EndpointEntry known;
    RemovalCause cause;
    EndpointEntry entry;
    int later_ms;
    EntryAge age;
  };
  constexpr auto kRemoved = RemovalCause::kRemoved;
  constexpr auto kLost = RemovalCause::kLost;
  const RemovalRow rows[] = {
      {"earlier", MakeEntry(5, false, 20), kRemoved, MakeEntry(5, false, 15), 2750, kOutdated},
      {"the same", MakeEntry(5, false, 20), kRemoved, MakeEntry(5, false, 20), 2750, kOutdated},
      {"later", MakeEntry(5, false, 20), kRemoved, MakeEntry(5, false, 21), 2750,
       kUnconfirmedReturn},
      {"later, after all late writes", MakeEntry(5, false, 20), kRemoved, MakeEntry(5, false, 33),
       11'000, kCurrent},
      {"earlier, after all late writes", MakeEntry(5, false, 20), kRemoved, MakeEntry(5, false, 15),
       11'000, kOutdated},
      {"back after the store had lost it", MakeEntry(5, false, 20), kLost, MakeEntry(5, false, 23),
       500, kCurrent},
      {"earlier, after the store had lost it", MakeEntry(5, false, 20), kLost,
       MakeEntry(5, false, 19), 500, kOutdated},
      {"a new start", MakeEntry(5, false, 20), kRemoved, MakeEntry(6, false, 1), 500, kCurrent},
      {"a start with a clock that is behind", MakeEntry(5, false, 20), kRemoved,
       MakeEntry(4, false, 1), 500, kUnconfirmedReturn},
      {"the same after all late writes", MakeEntry(5, false, 20), kRemoved, MakeEntry(4, false, 1),
       11'000, kCurrent},
      {"no incarnation, started again", MakeEntry(0, false, 20), kRemoved, MakeEntry(0, false, 1),
       500, kCurrent},
      {"no incarnation, later", MakeEntry(0, false, 20), kRemoved, MakeEntry(0, false, 21), 500,
       kUnconfirmedReturn},
  };
  for (const RemovalRow& row : rows) {
    CAPTURE(row.name);
    const Instant now = Instant{} + std::chrono::hours{1};
    EndpointHistory history;
    history.FinishLoading();
    history.RecordEntry(row.known);
    history.RecordRemoval(InstanceId{"a"}, row.cause, now);
    const EntryAge age =
        history.Judge(row.entry, false, now + std::chrono::milliseconds{row.later_ms});
    CHECK(std::string{ToString(age)} == ToString(row.age));
  }
}

TEST_CASE("an unknown endpoint that has run for long is confirmed first") {
  struct UnknownRow {
    std::string name;
    bool is_loaded;
    std::uint64_t heartbeat;
    EntryAge age;
  };
  const UnknownRow rows[] = {{"listed at the daemon's start", false, 40, kCurrent},
                             {"has just started", true, 1, kCurrent},
                             {"some heartbeats were lost", true, 3, kCurrent},
                             {"runs for long", true, 40, kUnconfirmedReturn}};
  for (const UnknownRow& row : rows) {
    CAPTURE(row.name);
    EndpointHistory history;
    if (row.is_loaded) {
      history.FinishLoading();
    }
    const EntryAge age =
        history.Judge(MakeEntry(5, false, row.heartbeat), false, Instant{} + std::chrono::hours{1});
    CHECK(std::string{ToString(age)} == ToString(row.age));
  }
}

TEST_CASE("an endpoint removed long ago is forgotten") {
  const Instant now = Instant{} + std::chrono::hours{1};
  EndpointHistory history;
  history.RecordEntry(MakeEntry(5, false));
  history.RecordRemoval(InstanceId{"a"}, RemovalCause::kRemoved, now);
  history.RecordRemoval(InstanceId{"b"}, RemovalCause::kRemoved, now + std::chrono::minutes{11});
  CHECK(history.Judge(MakeEntry(5, false), true, now + std::chrono::minutes{11}) ==
        EntryAge::kCurrent);
}

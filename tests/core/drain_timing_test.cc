#include "core/drain_timing.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "core/endpoint_fleet.h"

using namespace sycamorestall;  // NOLINT
using std::chrono::milliseconds;

namespace {

const Instant kStart = Instant{} + std::chrono::hours{1};
const InstanceId kEndpoint{"a"};

EndpointEntry MakeEntry(bool draining) {
  EndpointEntry entry;
  entry.id = kEndpoint;
  entry.service = ServiceName{"soil"};
  entry.incarnation = {1};
  entry.draining = draining;
  return entry;
}

}  // namespace

// Guards against requests for the keys of a draining endpoint that are sent too late because its
// daemon learned late that it drains (review/15).
TEST_CASE("a daemon that learns late of a drain sends no request later than the limit") {
  enum class Source { kEntry, kAnswer, kReport };
  struct Row {
    std::string name;
    Source source;
    // When the list was last known to be complete, and when the daemon learns of the drain, after
    // the endpoint began to drain.
    int known_until_ms;
    int learned_ms;
  };
  const Row rows[] = {
      {"by a watch that was waiting", Source::kEntry, -10, 5},
      {"after the pause between two watches", Source::kEntry, -20, 680},
      {"by a relayed update", Source::kEntry, -400, 700},
      {"after its source of updates was lost", Source::kEntry, -20, 1500},
      {"after the longest time without an answer", Source::kEntry, 0, 1750},
      {"after a silence of the store", Source::kEntry, -3000, 2500},
      {"by an answer of the endpoint", Source::kAnswer, -700, 900},
      {"by a report of another daemon", Source::kReport, -700, 900},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EndpointFleet fleet;
    fleet.Put(MakeEntry(false), kStart - std::chrono::seconds{60});
    fleet.SetListKnownUntil(kStart + milliseconds{row.known_until_ms});
    const Instant learned_at = kStart + milliseconds{row.learned_ms};
    switch (row.source) {
      case Source::kEntry:
        fleet.Put(MakeEntry(true), learned_at);
        break;
      case Source::kAnswer:
        fleet.HandleNotice(kEndpoint, {.draining = true}, learned_at, learned_at);
        break;
      case Source::kReport:
        fleet.HandleDrainReport(kEndpoint, {1}, learned_at);
        break;
    }
    const EndpointState& endpoint = *fleet.Find(kEndpoint);
    const Instant last_send = kStart + kDrainLimit - kMaxSendTime;
    CHECK_FALSE(endpoint.AcceptsOwnedKeys(std::max(learned_at, last_send)));
    const bool has_time_left = row.learned_ms - row.known_until_ms < kMaxSendDelay.count();
    CHECK(endpoint.AcceptsOwnedKeys(learned_at) == has_time_left);
  }
}

// Guards against requests for owned keys that a daemon still sends long after it has learned of the
// drain: on links with a backlog they arrive after the limit.
TEST_CASE("a daemon that learns soon of a drain sends requests for a grace period only") {
  struct Row {
    std::string name;
    // When the list was last known to be complete, when the daemon learns of the drain, and when
    // the grace period ends, after the endpoint began to drain.
    int known_until_ms;
    int learned_ms;
    int end_ms;
  };
  const Row rows[] = {{"at once", -5, 5, 1005},
                      {"after a while", -20, 400, 1400},
                      {"late", -20, 1000, 1730},
                      {"from a list that was complete long before", -900, 5, 850}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EndpointFleet fleet;
    fleet.Put(MakeEntry(false), kStart - std::chrono::seconds{60});
    fleet.SetListKnownUntil(kStart + milliseconds{row.known_until_ms});
    fleet.Put(MakeEntry(true), kStart + milliseconds{row.learned_ms});
    const EndpointState& endpoint = *fleet.Find(kEndpoint);
    CHECK(endpoint.AcceptsOwnedKeys(kStart + milliseconds{row.end_ms - 1}));
    CHECK_FALSE(endpoint.AcceptsOwnedKeys(kStart + milliseconds{row.end_ms}));
  }
}

TEST_CASE("the parts of the time until an endpoint gets no requests add up to its limit") {
  // An endpoint without keys gets requests until the daemon has learned of the change.
  CHECK(kMaxListAge + kMaxStoreCallTime + kMaxSendTime <= kDrainLimit);
  CHECK(kMaxSendDelay + kMaxSendTime <= kDrainLimit);
  CHECK(kMaxListAge > milliseconds{0});
}

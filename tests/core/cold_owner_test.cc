// What the leader does with the keys of owners that are cold.

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <variant>

#include "core/key_simulation.h"

using namespace sycamorestall;           // NOLINT
using namespace sycamorestall::testing;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceName kService{"soil"};
const InstanceId kSelf{"d0"};
constexpr double kColdRate = 4;
constexpr double kServiceTimeSeconds = 0.41;
constexpr KeyNumber kHotKey = 100;
constexpr KeyNumber kBusyKeys = 15;
constexpr double kBusyKeyRate = 2;

// The leader of four endpoints that carry out its orders at once. One key is hot for a while, and
// the first keys are busy.
struct ColdOwnerSetup {
  explicit ColdOwnerSetup(std::size_t daemons) {
    for (std::size_t i = 0; i < daemons; ++i) {
      view.daemons[InstanceId{"d" + std::to_string(i)}] = 1;
    }
    fleet.SetColdTerms(kService, {seconds{8}, kColdRate});
    for (const char* id : {"a", "b", "c", "d"}) {
      Put(id, 1, {});
      const auto elapsed =
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(kServiceTimeSeconds));
      fleet.EndRequest(InstanceId{id}, AttemptResult::kServed, elapsed, 1, now);
    }
    fleet.FinishLoading();
    view.reachable = true;
    view.reachable_since = now;
  }

  void Put(const std::string& id, std::uint64_t incarnation, Duration warm_up_left) {
    EndpointEntry entry;
    entry.id = InstanceId{id};
    entry.service = kService;
    entry.address = {"10.0.0." + id, 80};
    entry.slots = 6;
    entry.incarnation = {incarnation};
    entry.warm_up_left = warm_up_left;
    fleet.Put(entry, now);
  }

  void RunFor(Duration time, std::uint32_t hot_requests_each_100_ms) {
    for (const Instant end = now + time; now < end; now += milliseconds{20}) {
      view.confirmed_at = now;
      if (now >= next_demand_at) {
        next_demand_at = now + milliseconds{100};
        leader.AddDemand({{kHotKey, hot_requests_each_100_ms}});
        leader.AddDemand({{next_key, 1}, {next_key + 1, 1}, {next_key + 2, 1}});
        next_key = (next_key + 3) % kBusyKeys;
      }
      leader.Tick(fleet, view, now);
      for (const KeyLeaderAction& action : leader.TakeActions()) {
        if (const auto* write = std::get_if<WriteOwnership>(&action)) {
          ++revision.value;
          leader.HandleWriteResult(write->record.change_id, RecordWriteOutcome::kWritten, revision,
                                   now);
        } else if (const auto* grant = std::get_if<SendGrant>(&action)) {
          leader.HandleOrderReply(grant->order, {OrderReply::Outcome::kDone, {}}, now);
        } else if (const auto* release = std::get_if<SendRelease>(&action)) {
          leader.HandleOrderReply(release->order, {OrderReply::Outcome::kDone, {}}, now);
        }
      }
    }
  }

  InstanceId OwnerOf(KeyNumber key) const {
    for (const ServedRange& each : leader.ServedRanges()) {
      if (each.range.Contains(key)) {
        return each.owner;
      }
    }
    return {};
  }
  // Requests per second for the keys of an endpoint, without the hot key.
  double RateOf(const InstanceId& endpoint) const {
    double rate = 0;
    for (KeyNumber key = 0; key < kBusyKeys; ++key) {
      rate += OwnerOf(key) == endpoint ? kBusyKeyRate : 0;
    }
    return rate;
  }
  std::size_t KeysOf(const InstanceId& endpoint) const {
    std::size_t keys = 0;
    for (const ServedRange& each : leader.ServedRanges()) {
      keys += each.owner == endpoint ? each.range.size() : 0;
    }
    return keys;
  }

  static KeyLeaderSettings Settings() {
    KeyLeaderSettings settings;
    settings.service = kService;
    settings.self = kSelf;
    return settings;
  }

  Instant now = Instant{} + std::chrono::hours{1};
  Instant next_demand_at;
  KeyNumber next_key = 0;
  EndpointFleet fleet;
  StoreView view;
  Revision revision;
  KeyLeader leader{Settings(), std::make_unique<DensePiecePlacement>()};
};

}  // namespace

// Guards against an owner that keeps more keys than it bears when cold, and against a cold endpoint
// that gets keys while others can take them.
TEST_CASE("a cold owner gives away the keys that it cannot bear, the hottest first") {
  struct Row {
    std::string name;
    std::uint64_t incarnation;
    Duration warm_up_left;
  };
  const Row rows[] = {{"becomes cold", 1, seconds{8}}, {"restarts", 2, {}}};
  for (const Row& row : rows) {
    for (const std::size_t daemons : {5, 34, 93, 300}) {
      CAPTURE(row.name);
      CAPTURE(daemons);
      ColdOwnerSetup setup{daemons};
      for (int i = 0; i < 60 && !setup.leader.leading(); ++i) {
        setup.RunFor(seconds{5}, 0);
      }
      REQUIRE(setup.leader.leading());
      setup.RunFor(seconds{10}, 1);
      const InstanceId owner = setup.OwnerOf(kHotKey);
      REQUIRE_FALSE(owner.empty());
      setup.Put(owner.value(), row.incarnation, row.warm_up_left);
      setup.RunFor(milliseconds{1000}, 30);
      CHECK(setup.OwnerOf(kHotKey) != owner);
      const std::size_t keys = setup.KeysOf(owner);
      setup.RunFor(milliseconds{1500}, 30);
      const double bearable = kColdRate * std::min(1.0, kColdRate / static_cast<double>(daemons));
      CHECK(setup.RateOf(owner) <= bearable);
      CHECK(setup.KeysOf(owner) <= keys);
      CHECK(setup.KeysOf(owner) > 0);
      // Warm again, it takes part as before.
      setup.RunFor(seconds{12}, 1);
      CHECK(setup.RateOf(owner) > bearable);
    }
  }
}

// Guards against a service without owners, as all its endpoints are cold at once.
TEST_CASE("cold endpoints own the keys when there are no others") {
  ColdOwnerSetup setup{1};
  for (const char* id : {"a", "b", "c", "d"}) {
    setup.Put(id, 1, seconds{20});
  }
  setup.RunFor(seconds{5}, 0);
  for (const char* id : {"a", "b", "c", "d"}) {
    CHECK(setup.KeysOf(InstanceId{id}) > 0);
  }
}

// Guards against two holders of a key, and keys without one, as keys leave cold owners while grants
// of before their restart are on their way.
TEST_CASE("keys that leave cold owners have one holder, whatever fails") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    const SimulationFaults faults = {.orders_lost = 0.1,
                                     .orders_late = 0.2,
                                     .writes_unanswered = 0.1,
                                     .daemon_kills = 0.1,
                                     .endpoint_restarts = 1,
                                     .endpoint_crashes = 0.1,
                                     .cold_rate = 1};
    const SimulationReport report = KeySimulation{seed, faults}.Run(40, 30);
    CHECK(report.violation == std::string{});
    CHECK(report.longest_gap_ms <= 1000);
    CHECK(report.moves > 0);
  }
}

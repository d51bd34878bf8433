#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/evacuation_batches.h"
#include "core/key_leader.h"

using namespace sycamorestall;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceName kService{"soil"};
const DomainName kNorth{"north"};
const DomainName kSouth{"south"};
const DomainName kWest{"west"};
constexpr int kEndpointsPerDomain = 12;
constexpr KeyNumber kHotKey = 100;

// Moves nothing to balance load, so that all moves are those of evacuations.
class StaticKeyPlacement : public KeyPlacement {
 public:
  std::vector<KeyMove> Plan(const std::vector<OwnedRange>& /*ranges*/, const KeyDemand& /*demand*/,
                            const std::vector<KeyPlacementTarget>& /*targets*/) const override {
    return {};
  }
};

// One leader of the keys of endpoints in three domains. An endpoint answers a release after the
// requests that it runs, 0.5 s, and a grant after 20 ms; a write takes 50 ms.
class Scene {
 public:
  Scene() {
    for (const DomainName& domain : {kNorth, kSouth, kWest}) {
      for (int i = 0; i < kEndpointsPerDomain; ++i) {
        EndpointEntry entry;
        entry.id = InstanceId{domain.value() + std::to_string(i)};
        entry.service = kService;
        entry.domain = domain;
        entry.address = {entry.id.value(), 80};
        entry.slots = 6;
        fleet.Put(entry, now);
        fleet.AddServiceTimes(entry.id, {1, 0.4});
      }
    }
    ReplaceLeader("d0");
  }

  // Another daemon takes the leader's place.
  void ReplaceLeader(const std::string& id) {
    KeyLeaderSettings settings;
    settings.service = kService;
    settings.self = self = InstanceId{id};
    events.clear();
    leader = std::make_unique<KeyLeader>(settings, std::make_unique<StaticKeyPlacement>());
    leader->ApplyRecord(record, revision, now);
  }

  void RunFor(Duration time) {
    for (const Instant end = now + time; now < end; now += milliseconds{20}) {
      auto due = std::exchange(events, {});
      for (auto& [at, run] : due) {
        if (at <= now) {
          run();
        } else {
          events.emplace_back(at, std::move(run));
        }
      }
      StoreView view;
      view.reachable = store_reachable;
      view.confirmed_at = store_reachable ? now : now - seconds{1};
      view.reachable_since = now - seconds{10};
      view.daemons[self] = 1;
      AddDemand();
      leader->Tick(fleet, view, now);
      for (const KeyLeaderAction& action : leader->TakeActions()) {
        Execute(action);
      }
      max_unserved_keys = std::max(max_unserved_keys, kKeyCount - KeysOf({}).size());
    }
  }

  // A request each 5 ms on average, one in ten of them for one key.
  void AddDemand() {
    std::vector<KeyCount> counts;
    for (int i = 0; i < 4; ++i) {
      counts.push_back(
          {random() % 10 == 0 ? kHotKey : static_cast<KeyNumber>(random() % kKeyCount), 1});
    }
    leader->AddDemand(counts);
  }

  void Execute(const KeyLeaderAction& action) {
    if (const auto* write = std::get_if<WriteOwnership>(&action)) {
      if (!store_reachable) {
        Later(milliseconds{50}, [this, id = write->record.change_id] {
          leader->HandleWriteResult(id, RecordWriteOutcome::kNotWritten, {}, now);
        });
        return;
      }
      record = write->record;
      ++revision.value;
      Later(milliseconds{50}, [this, id = record.change_id, written = revision] {
        leader->HandleWriteResult(id, RecordWriteOutcome::kWritten, written, now);
      });
    } else if (const auto* grant = std::get_if<SendGrant>(&action)) {
      ++grants[grant->endpoint];
      Answer(grant->order, grant->endpoint, milliseconds{20});
    } else if (const auto* release = std::get_if<SendRelease>(&action)) {
      releases.emplace_back(now, *release);
      Answer(release->order, release->endpoint, milliseconds{500});
    }
  }

  void Answer(std::uint64_t order, const InstanceId& endpoint, Duration delay) {
    const bool reached = unreachable.empty() || !endpoint.value().starts_with(unreachable);
    Later(reached ? delay : milliseconds{700}, [this, order, reached] {
      if (reached) {
        leader->HandleOrderReply(order, {OrderReply::Outcome::kDone, "state"}, now);
      } else {
        leader->HandleOrderFailure(order, true, now);
      }
    });
  }

  void Later(Duration delay, std::function<void()> run) {
    events.emplace_back(now + delay, std::move(run));
  }

  // The served keys of a domain's endpoints, or all served ones.
  std::set<KeyNumber> KeysOf(const DomainName& domain) const {
    std::set<KeyNumber> keys;
    for (const ServedRange& each : leader->ServedRanges()) {
      if (each.owner.value().starts_with(domain.value())) {
        for (KeyNumber key = each.range.first; key <= each.range.last; ++key) {
          keys.insert(keys.end(), key);
        }
      }
    }
    return keys;
  }

  std::mt19937_64 random{7};
  Instant now = Instant{} + std::chrono::hours{1};
  InstanceId self;
  EndpointFleet fleet;
  OwnershipRecord record;
  Revision revision;
  std::unique_ptr<KeyLeader> leader;
  std::deque<std::pair<Instant, std::function<void()>>> events;
  bool store_reachable = true;
  // Endpoints whose ids begin with this are cut off.
  std::string unreachable;
  std::map<InstanceId, int> grants;
  std::vector<std::pair<Instant, SendRelease>> releases;
  std::size_t max_unserved_keys = 0;
};

}  // namespace

// Guards against pieces that overlap or leave keys out, and a hot key that drags others along.
TEST_CASE("a range is split into adjacent pieces of a limited load") {
  KeyDemand demand;
  demand.Decay(Instant{} + seconds{1});
  demand.Add({{10, 40}, {11, 40}, {20, 400}, {30, 40}});
  const double key_rate = demand.Rate(KeyNumber{10});
  struct Row {
    std::string name;
    KeyRange range;
    double max_load;
    std::vector<KeyRange> pieces;
  };
  const Row rows[] = {{"below the limit", {0, 40}, 1e9, {{0, 40}}},
                      {"without requests", {50, 59}, 0.0055, {{50, 54}, {55, 59}}},
                      {"hot key alone", {0, 40}, key_rate * 2.5, {{0, 19}, {20, 20}, {21, 40}}},
                      {"one key", {20, 20}, key_rate, {{20, 20}}}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK(SplitByLoad(row.range, demand, row.max_load) == row.pieces);
  }
}

// Guards against keys that stay at an evacuated domain beyond 2.5 s, a moment at which most of them
// have no owner, and a single endpoint that gets most of them.
TEST_CASE("the keys of an evacuated domain move in batches to all endpoints with room") {
  Scene scene;
  scene.RunFor(seconds{15});
  const std::size_t evacuated_keys = scene.KeysOf(kNorth).size();
  REQUIRE(evacuated_keys > kKeyCount / 5);
  REQUIRE(scene.KeysOf({}).size() == kKeyCount);
  scene.fleet.SetEvacuated(kNorth, true, scene.now);
  const Instant learned_at = scene.now;
  scene.releases.clear();
  scene.max_unserved_keys = 0;
  scene.RunFor(seconds{4});
  CHECK(scene.KeysOf(kNorth).empty());
  CHECK(scene.KeysOf({}).size() == kKeyCount);
  CHECK(scene.leader->evacuated_keys_left() == 0);
  CHECK(scene.max_unserved_keys < evacuated_keys * 6 / 10);
  for (const auto& [sent_at, release] : scene.releases) {
    if (release.endpoint.value().starts_with(kNorth.value())) {
      CHECK(sent_at - learned_at <= milliseconds{2500});
    }
  }
  // Each other endpoint has about as many requests as the next. The owner of the hot key, which
  // alone has a tenth of them, gets few others.
  std::map<InstanceId, std::size_t> keys;
  InstanceId hot_owner;
  for (const OwnedRange& each : scene.record.ranges) {
    keys[each.owner] += each.range.size();
    hot_owner = each.range.Contains(kHotKey) ? each.owner : hot_owner;
  }
  CHECK(keys[hot_owner] < kKeyCount / keys.size());
  CHECK(keys.size() == 2 * kEndpointsPerDomain);
  for (const auto& [id, count] : keys) {
    CHECK(count * keys.size() < std::size_t{2} * kKeyCount);
  }
  scene.grants.clear();
  scene.RunFor(seconds{5});
  for (const auto& [id, count] : scene.grants) {
    CHECK_FALSE(id.value().starts_with(kNorth.value()));
  }
}

// Guards against keys that stay at evacuated endpoints, or without an owner, when something fails
// or changes during the evacuation.
TEST_CASE("an evacuation goes on or ends well whatever happens during it") {
  struct Row {
    std::string name;
    std::function<void(Scene&)> event;
    // The domains that serve all keys in the end.
    std::set<DomainName> serving;
    // How long after the event that is so.
    seconds within;
  };
  const auto evacuate = [](Scene& scene, const DomainName& domain, bool evacuated) {
    scene.fleet.SetEvacuated(domain, evacuated, scene.now);
  };
  const Row rows[] = {
      {"the leader dies before the first release",
       [](Scene& scene) {
         scene.ReplaceLeader("d1");
         scene.now += seconds{1};
       },
       {kSouth, kWest},
       seconds{5}},
      {"the leader dies in the middle",
       [](Scene& scene) {
         scene.RunFor(seconds{1});
         scene.ReplaceLeader("d1");
       },
       {kSouth, kWest},
       // Another leader waits until grants of the earlier one have run out.
       seconds{20}},
      {"the store is lost just after",
       [](Scene& scene) {
         scene.store_reachable = false;
         scene.RunFor(seconds{5});
         // No key is without an owner meanwhile.
         CHECK(scene.KeysOf({}).size() == kKeyCount);
         scene.store_reachable = true;
       },
       {kSouth, kWest},
       seconds{3}},
      {"another domain is evacuated in the middle",
       [&](Scene& scene) {
         scene.RunFor(seconds{1});
         evacuate(scene, kSouth, true);
       },
       {kWest},
       seconds{4}},
      {"all domains are evacuated, and one returns",
       [&](Scene& scene) {
         evacuate(scene, kSouth, true);
         evacuate(scene, kWest, true);
         scene.RunFor(seconds{5});
         // No endpoint may take the keys.
         CHECK(scene.KeysOf({}).size() == kKeyCount);
         evacuate(scene, kWest, false);
       },
       {kWest},
       seconds{3}},
      {"it is withdrawn at once",
       [&](Scene& scene) { evacuate(scene, kNorth, false); },
       {kNorth, kSouth, kWest},
       seconds{1}},
      {"the domain is partitioned",
       [](Scene& scene) { scene.unreachable = kNorth.value(); },
       {kSouth, kWest},
       // Releases are not answered for 0.7 s, and the last grants run out after that.
       seconds{10}},
      {"it is withdrawn while the domain is partitioned",
       [&](Scene& scene) {
         scene.unreachable = kNorth.value();
         scene.RunFor(seconds{2});
         evacuate(scene, kNorth, false);
         scene.RunFor(seconds{1});
         scene.unreachable.clear();
       },
       {kNorth, kSouth, kWest},
       seconds{10}}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Scene scene;
    scene.RunFor(seconds{10});
    scene.fleet.SetEvacuated(kNorth, true, scene.now);
    row.event(scene);
    scene.RunFor(row.within);
    std::size_t served = 0;
    for (const DomainName& domain : {kNorth, kSouth, kWest}) {
      const std::size_t keys = scene.KeysOf(domain).size();
      CHECK((row.serving.contains(domain) || keys == 0));
      served += keys;
    }
    CHECK(served == kKeyCount);
    CHECK(scene.leader->evacuated_keys_left() == 0);
  }
}

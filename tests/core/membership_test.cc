#include "core/membership.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

#include "core/leadership.h"
#include "core/placement.h"

using namespace sycamorestall;  // NOLINT

namespace {

constexpr std::chrono::milliseconds kTick{10};

// Daemons that gossip in simulated time. They can be stopped, and datagrams can be lost.
class GossipCluster {
 public:
  explicit GossipCluster(int count) {
    InstanceList list{1, {}};
    for (int i = 0; i < count; ++i) {
      const std::string name = "d" + std::to_string(i);
      const Member self{{InstanceId{name}, Incarnation{1}},
                        DomainName{i % 2 == 0 ? "a" : "b"},
                        name,
                        MemberState::kAlive,
                        0};
      members_.emplace(name, Membership{MembershipSettings{}, self, static_cast<std::uint64_t>(i)});
      list.instances.push_back({InstanceId{name}, self.domain, {}, name, InstanceState::kLive});
    }
    for (auto& [name, member] : members_) {
      member.UpdateInstances(now_, list);
    }
  }

  void Run(std::chrono::milliseconds duration, bool lossy = false) {
    const Instant end = now_ + duration;
    while (now_ < end) {
      now_ += kTick;
      for (auto& [name, member] : members_) {
        if (!stopped_.contains(name)) {
          member.Tick(now_);
          Deliver(member, lossy);
        }
      }
    }
  }

  void Stop(const std::string& name) { stopped_[name] = true; }
  void Resume(const std::string& name) { stopped_.erase(name); }
  Membership& at(const std::string& name) { return members_.at(name); }
  bool BelievesAlive(const std::string& observer, const std::string& subject) {
    return at(observer).IsAlive({InstanceId{subject}, Incarnation{1}});
  }

 private:
  void Deliver(Membership& from, bool lossy) {
    for (const OutgoingGossip& each : from.TakeMessages()) {
      const bool lost = lossy && random_() % 10 == 0;
      if (lost || stopped_.contains(each.address)) {
        continue;
      }
      Membership& to = members_.at(each.address);
      to.Receive(now_, each.message);
      Deliver(to, lossy);
    }
  }

  std::map<std::string, Membership> members_;
  std::map<std::string, bool> stopped_;
  std::mt19937 random_{1};
  Instant now_{std::chrono::seconds{1}};
};

}  // namespace

TEST_CASE("a daemon that stops answering is detected as dead in time for a takeover") {
  struct Row {
    std::string name;
    int daemons;
    std::chrono::milliseconds bound;
    // Whether to wait until it is believed to be alive again. Simulating that takes long
    // with many daemons.
    bool resumes;
  };
  // A key has to be served again within 2 s, so the loss of its leader has to be noticed
  // earlier.
  const Row rows[] = {{"three", 3, std::chrono::milliseconds{1200}, true},
                      {"five", 5, std::chrono::milliseconds{1200}, true},
                      {"sixty", 60, std::chrono::milliseconds{1800}, true},
                      {"full-size deployment", 510, std::chrono::milliseconds{1800}, false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    GossipCluster cluster(row.daemons);
    cluster.Run(std::chrono::seconds{row.resumes ? 3 : 1});
    CHECK(cluster.at("d1").AliveMembers().size() == static_cast<std::size_t>(row.daemons));
    cluster.Stop("d0");
    cluster.Run(row.bound);
    for (int i = 1; i < row.daemons; ++i) {
      CHECK(!cluster.BelievesAlive("d" + std::to_string(i), "d0"));
    }
    if (!row.resumes) {
      continue;
    }
    cluster.Resume("d0");
    cluster.Run(std::chrono::seconds{20});
    CHECK(cluster.BelievesAlive("d1", "d0"));
  }
}

TEST_CASE("lost datagrams alone do not make a daemon count as dead for long") {
  GossipCluster cluster(5);
  cluster.Run(std::chrono::seconds{2});
  int runs_with_missing = 0;
  for (int i = 0; i < 60; ++i) {
    cluster.Run(std::chrono::seconds{1}, true);
    runs_with_missing += cluster.at("d0").AliveMembers().size() < 5U ? 1 : 0;
  }
  CHECK(runs_with_missing <= 1);
}

TEST_CASE("daemons of a group's own domain are preferred as its leader, and groups are spread") {
  std::vector<Member> alive;
  for (int i = 0; i < 6; ++i) {
    alive.push_back({{InstanceId{"d" + std::to_string(i)}, Incarnation{1}},
                     DomainName{i < 3 ? "a" : "b"},
                     "",
                     MemberState::kAlive,
                     0});
  }
  std::map<InstanceId, int> led;
  for (int i = 0; i < 300; ++i) {
    const GroupId group{ServiceName{"s" + std::to_string(i)}, DomainName{"a"}};
    const auto best = LeadershipTable::PreferredLeader(group, alive);
    CHECK(best->domain == DomainName{"a"});
    ++led[best->process.instance];
  }
  CHECK(led.size() == 3U);
  for (const auto& [id, count] : led) {
    CHECK(count > 70);
    CHECK(count < 130);
  }
}

TEST_CASE("placement balances loads within its move budget and then stops") {
  BoundedPlacement policy{BoundedPlacementSettings{}};
  std::vector<PlacementTarget> targets;
  std::vector<PlacedShard> shards;
  for (int i = 0; i < 4; ++i) {
    targets.push_back({InstanceId{"e" + std::to_string(i)}, 1});
  }
  for (std::uint32_t i = 0; i < 64; ++i) {
    shards.push_back({ShardId{i}, InstanceId{"e0"}, 10});
  }
  int moves = 0;
  int last_moves = 0;
  for (int second = 0; second < 60; ++second) {
    last_moves = 0;
    for (const PlannedMove& move :
         policy.Plan(Instant{std::chrono::seconds{second}}, targets, shards)) {
      shards[move.shard.value].endpoint = move.target;
      ++last_moves;
    }
    moves += last_moves;
    CHECK(last_moves <= 16);
  }
  CHECK(Imbalance(targets, shards) <= 1.25);
  CHECK(last_moves == 0);
  CHECK(moves <= 48);
}

TEST_CASE("a shard with more load than an endpoint's share stays, and the others move off") {
  BoundedPlacement policy{BoundedPlacementSettings{}};
  const std::vector<PlacementTarget> targets{{InstanceId{"e0"}, 1}, {InstanceId{"e1"}, 1}};
  std::vector<PlacedShard> shards{{ShardId{0}, InstanceId{"e0"}, 100}};
  for (std::uint32_t i = 1; i < 8; ++i) {
    shards.push_back({ShardId{i}, InstanceId{i < 4 ? "e0" : "e1"}, 5});
  }
  for (int second = 0; second < 30; ++second) {
    for (const PlannedMove& move :
         policy.Plan(Instant{std::chrono::seconds{second}}, targets, shards)) {
      CHECK(move.shard != ShardId{0});
      shards[move.shard.value].endpoint = move.target;
    }
  }
  for (std::uint32_t i = 1; i < 8; ++i) {
    CHECK(shards[i].endpoint == InstanceId{"e1"});
  }
}

#include "store/store_update_log.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

#include "store/scripted_store.h"
#include "store/store_watcher.h"

using namespace sycamorestall;  // NOLINT
using std::chrono::milliseconds;
using sycamorestall::testing::ScriptedStore;

namespace {

Instant g_now;

StoreItem MakeItem(const std::string& key, std::uint64_t revision) {
  return {key, key + "@" + std::to_string(revision), {revision}};
}

// A daemon that keeps the store's items and logs all changes.
class Daemon : public StoreObserver {
 public:
  void ApplyChanges(const Store::Changes& changes, const StoreStateOrigin& /*origin*/) override {
    if (!log.has_begun()) {
      log.Begin(changes.revision, g_now);
    }
    for (const StoreEvent& event : changes.events) {
      if (event.removed) {
        items.erase(event.item.key);
      } else {
        items[event.item.key] = event.item.value;
      }
      log.Add(event, g_now);
    }
  }
  void HandleStoreCall(const StoreCallRecord& /*call*/) override {}
  void HandleReachability(bool /*reachable*/, const std::string& /*reason*/) override {}

  std::vector<StoreUpdate> UpdatesFor(const Daemon& receiver) const {
    return log.UpdatesAfter(receiver.watcher.revision(), watcher.revision(), watcher.values());
  }

  ScriptedStore store;
  StoreWatcher watcher{store, *this, [] { return g_now; }, "op/"};
  StoreUpdateLog log;
  std::map<std::string, std::string> items;
};

// A watching daemon and one that relies on its updates. Both have loaded revision 10, at which
// the keys a and b exist.
struct Domain {
  Domain() {
    g_now = Instant{} + std::chrono::hours{1};
    const Store::Contents contents{{MakeItem("a", 3), MakeItem("b", 4)}, {10}};
    for (Daemon* daemon : {&watching, &following}) {
      daemon->watcher.Tick(g_now);
      daemon->store.AnswerRead(contents);
    }
    following.watcher.SetWatching(false);
    watching.watcher.Tick(g_now);
  }

  // The store changes, and the watching daemon hears of it.
  void Change(const std::vector<StoreEvent>& events, std::uint64_t revision) {
    watching.store.AnswerWatch({events, {revision}});
    WaitForWatch();
  }
  void WaitForWatch() {
    g_now += milliseconds{700};
    watching.watcher.Tick(g_now);
  }
  void SendUpdates() {
    for (const StoreUpdate& update : watching.UpdatesFor(following)) {
      following.watcher.ApplyUpdate(update, g_now);
    }
    following.watcher.Tick(g_now);
  }
  // Number of calls that the following daemon made after its first read.
  int FollowerCalls() const {
    return following.store.read_count() + following.store.watch_count() - 1;
  }

  Daemon watching;
  Daemon following;
};

}  // namespace

TEST_CASE("lost updates are made up for by later ones, without a call to the store") {
  Domain domain;
  domain.SendUpdates();
  domain.Change({{MakeItem("a", 11), false}}, 11);
  domain.Change({{MakeItem("c", 12), false}, {{"b", "", {13}}, true}}, 13);
  domain.Change({{MakeItem("a", 15), false}}, 16);
  domain.SendUpdates();
  CHECK(domain.following.items == std::map<std::string, std::string>{{"a", "a@15"}, {"c", "c@12"}});
  CHECK(domain.following.watcher.revision().value == 16);
  CHECK(domain.FollowerCalls() == 0);
}

TEST_CASE("what a read of everything shows to the watching daemon is relayed") {
  struct Row {
    std::string name;
    Store::Contents contents;
    std::map<std::string, std::string> items;
  };
  const Row rows[] = {
      {"changed, added and removed",
       {{MakeItem("a", 17), MakeItem("c", 12)}, {20}},
       {{"a", "a@17"}, {"c", "c@12"}}},
      {"written while the pages were read",
       {{MakeItem("a", 25), MakeItem("b", 4)}, {20}},
       {{"a", "a@25"}, {"b", "b@4"}}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Domain domain;
    domain.SendUpdates();
    domain.watching.store.AnswerWatch({}, StoreError::kHistoryGone);
    domain.watching.watcher.Tick(g_now);
    domain.watching.store.AnswerRead(row.contents);
    CHECK(domain.watching.items == row.items);
    domain.SendUpdates();
    CHECK(domain.following.items == row.items);
    CHECK(domain.following.watcher.revision().value == 20);
    CHECK(domain.FollowerCalls() == 0);
  }
}

TEST_CASE("a daemon follows an update however long it has heard nothing") {
  Domain domain;
  g_now += milliseconds{5000};
  domain.following.watcher.Tick(g_now);
  REQUIRE(domain.following.store.reading());
  domain.Change({{MakeItem("a", 11), false}}, 11);
  domain.SendUpdates();
  CHECK(domain.following.items.at("a") == "a@11");
  // The answer to the read is older than the update.
  domain.following.store.AnswerRead({{MakeItem("a", 3), MakeItem("b", 4)}, {10}});
  CHECK(domain.following.items.at("a") == "a@11");
  CHECK(domain.following.watcher.revision().value == 11);
}

TEST_CASE("a receiver too far behind for the log notices the gap") {
  Domain domain;
  domain.Change({{MakeItem("a", 11), false}}, 11);
  g_now += std::chrono::seconds{20};
  domain.watching.log.DiscardOld(g_now);
  domain.SendUpdates();
  CHECK(domain.following.watcher.revision().value == 10);
  CHECK(domain.FollowerCalls() == 1);
}

TEST_CASE("daemons agree with the store whatever updates are lost and histories dropped") {
  constexpr int kSteps = 300;
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    std::mt19937 random{seed};
    Domain domain;
    std::map<std::string, StoreItem> items{{"a", MakeItem("a", 3)}, {"b", MakeItem("b", 4)}};
    std::uint64_t revision = 10;
    std::vector<StoreEvent> history;
    for (int step = 0; step < kSteps; ++step) {
      const std::string key(1, static_cast<char>('a' + random() % 5));
      ++revision;
      if (random() % 4 == 0 && items.contains(key)) {
        items.erase(key);
        history.push_back({{key, "", {revision}}, true});
      } else {
        items[key] = MakeItem(key, revision);
        history.push_back({items[key], false});
      }
      if (random() % 3 == 0) {
        if (random() % 4 == 0) {
          domain.watching.store.AnswerWatch({}, StoreError::kHistoryGone);
          domain.watching.watcher.Tick(g_now);
          Store::Contents contents{{}, {revision}};
          for (const auto& [name, item] : items) {
            contents.items.push_back(item);
          }
          domain.watching.store.AnswerRead(contents);
          domain.WaitForWatch();
        } else {
          domain.Change(history, revision);
        }
        history.clear();
      }
      if (random() % 2 == 0) {
        domain.SendUpdates();
      }
      domain.watching.log.DiscardOld(g_now);
    }
    domain.Change(history, revision);
    domain.SendUpdates();
    std::map<std::string, std::string> expected;
    for (const auto& [name, item] : items) {
      expected[name] = item.value;
    }
    CHECK(domain.watching.items == expected);
    CHECK(domain.following.items == expected);
  }
}

TEST_CASE("a slow call to the store is abandoned once updates have replaced it") {
  Domain domain;
  g_now += milliseconds{950};
  domain.following.watcher.Tick(g_now);
  REQUIRE(domain.following.store.watching());
  g_now += milliseconds{500};
  domain.SendUpdates();
  CHECK(domain.following.store.watching());
  g_now += milliseconds{600};
  domain.SendUpdates();
  CHECK_FALSE(domain.following.store.watching());
  CHECK(domain.FollowerCalls() == 1);
}

TEST_CASE("a read does not bring back what is older than an update") {
  Domain domain;
  domain.SendUpdates();
  domain.watching.store.AnswerWatch({}, StoreError::kHistoryGone);
  domain.watching.watcher.Tick(g_now);
  // Both keys were written while the pages were read.
  domain.watching.store.AnswerRead({{MakeItem("a", 25), MakeItem("c", 26)}, {20}});
  domain.SendUpdates();
  g_now += milliseconds{5000};
  domain.following.watcher.Tick(g_now);
  REQUIRE(domain.following.store.reading());
  domain.following.store.AnswerRead({{MakeItem("a", 21)}, {22}});
  CHECK(domain.following.items == std::map<std::string, std::string>{{"a", "a@25"}, {"c", "c@26"}});
}

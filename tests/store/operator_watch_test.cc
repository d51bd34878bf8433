#include "store/operator_watch.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "store/scripted_store.h"

using namespace sycamorestall;  // NOLINT
using std::chrono::milliseconds;
using sycamorestall::testing::ScriptedStore;

namespace {

Instant g_now;

// Records the values that are applied, and "-" for each removal.
class RecordingObserver : public StoreObserver {
 public:
  void ApplyChanges(const Store::Changes& changes, const StoreStateOrigin& /*origin*/) override {
    for (const StoreEvent& each : changes.events) {
      values.push_back(each.removed ? "-" : each.item.value);
    }
  }
  void HandleStoreCall(const StoreCallRecord& /*call*/) override {}
  void HandleReachability(bool /*reachable*/, const std::string& /*reason*/) override {}

  std::vector<std::string> values;
};

StoreEvent Put(const std::string& key, const std::string& value, Revision revision) {
  return {{key, value, revision}, false};
}

StoreEvent Removal(const std::string& key, Revision revision) {
  return {{key, "", revision}, true};
}

// A daemon that has loaded revision 10, with a configuration of revision 5, and stands by.
struct StandbyDaemon {
  StandbyDaemon() {
    g_now = Instant{} + std::chrono::hours{1};
    watcher.Tick(g_now);
    store.AnswerRead({{{"op/config", "old", {5}}}, {10}});
    watcher.SetWatching(false);
    watch.Tick(true, g_now);
    observer.values.clear();
  }

  void Advance(milliseconds time) {
    g_now += time;
    watch.Tick(true, g_now);
  }

  ScriptedStore store;
  RecordingObserver observer;
  StoreWatcher watcher{store, observer, [] { return g_now; }, "op/"};
  OperatorWatch watch{store, watcher, observer, [] { return g_now; }};
};

}  // namespace

TEST_CASE("a standby daemon applies the operator's changes ahead of all others") {
  struct Row {
    std::string name;
    std::vector<StoreEvent> events;
    // What comes to the daemon afterwards by updates.
    std::vector<StoreEvent> updates;
    std::vector<std::string> expected;
  };
  const Row rows[] = {
      {"configuration", {Put("op/config", "new", {12})}, {}, {"new"}},
      {"known configuration", {Put("op/config", "old", {5})}, {}, {}},
      {"key of another writer", {Put("servers/a", "a", {12})}, {}, {}},
      {"configuration that an update brings again",
       {Put("op/config", "new", {12})},
       {Put("servers/a", "a", {11}), Put("op/config", "new", {12})},
       {"new", "a"}},
      {"item removed, of which an update brings the earlier state",
       {Put("op/x", "x", {11}), Removal("op/x", {13})},
       {Put("op/x", "x", {11})},
       {"x", "-"}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    StandbyDaemon daemon;
    REQUIRE(daemon.store.watching_prefix());
    daemon.store.AnswerPrefixWatch({row.events, {13}});
    CHECK(daemon.watcher.revision() == Revision{10});
    StoreUpdate update{{10}, {12}, 0, false, {}};
    for (const StoreEvent& each : row.updates) {
      update.events.push_back(CompressEvent(each, nullptr));
    }
    daemon.watcher.ApplyUpdate(update, g_now);
    CHECK(daemon.observer.values == row.expected);
  }
}

TEST_CASE("a watch of the operator's items goes on after whatever ended it") {
  struct Row {
    std::string name;
    std::error_code error;
    Revision answered;
    milliseconds pause;
    Revision expected_after;
  };
  const Row rows[] = {
      {"nothing changed", {}, {20}, milliseconds{100}, {20}},
      {"given up", StoreError::kGivenUp, {}, milliseconds{0}, {10}},
      {"cut", StoreError::kNoAnswer, {}, milliseconds{1000}, {10}},
      {"history dropped", StoreError::kHistoryGone, {}, milliseconds{1000}, {10}},
      {"store came back older", {}, {3, {1}}, milliseconds{100}, {3, {1}}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    StandbyDaemon daemon;
    CHECK(daemon.store.last_prefix_watch_revision() == Revision{10});
    daemon.store.AnswerPrefixWatch({{}, row.answered}, row.error);
    if (row.pause.count() > 0) {
      daemon.Advance(row.pause - milliseconds{20});
      CHECK_FALSE(daemon.store.watching_prefix());
      g_now += milliseconds{20};
    }
    daemon.Advance(milliseconds{0});
    REQUIRE(daemon.store.watching_prefix());
    CHECK(daemon.store.last_prefix_watch_revision() == row.expected_after);
  }
}

TEST_CASE("only a standby daemon that has loaded the contents watches the operator's items") {
  struct Row {
    std::string name;
    bool loaded;
    bool standby;
    bool expected;
  };
  const Row rows[] = {{"not loaded", false, true, false},
                      {"follower", true, false, false},
                      {"standby", true, true, true}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ScriptedStore store;
    RecordingObserver observer;
    StoreWatcher watcher{store, observer, [] { return g_now; }, "op/"};
    OperatorWatch watch{store, watcher, observer, [] { return g_now; }};
    watcher.Tick(g_now);
    if (row.loaded) {
      store.AnswerRead({{}, {10}});
    }
    watch.Tick(row.standby, g_now);
    CHECK(store.watching_prefix() == row.expected);
  }
}

namespace {

// A store that changes at random, and what each of the calls to it would bring.
class ChangingStore {
 public:
  explicit ChangingStore(std::uint32_t seed) : random_(seed) {}

  void Change() {
    const std::vector<std::string> keys{"op/config", "op/evacuate/a", "servers/a", "servers/b"};
    const std::string& key = keys[random_() % keys.size()];
    ++revision_.value;
    if (random_() % 3 == 0 && items_.contains(key)) {
      items_.erase(key);
      history_.push_back(Removal(key, revision_));
    } else {
      items_[key] = {key, key + std::to_string(revision_.value), revision_};
      history_.push_back({items_[key], false});
    }
  }
  // The events after a revision of the keys that begin with the prefix.
  Store::Changes ChangesAfter(Revision after, const std::string& prefix) const {
    Store::Changes changes{{}, revision_};
    std::copy_if(history_.begin(), history_.end(), std::back_inserter(changes.events),
                 [&](const StoreEvent& each) {
                   return each.item.revision > after && each.item.key.starts_with(prefix);
                 });
    return changes;
  }
  Store::Contents Contents() const {
    Store::Contents contents{{}, revision_};
    for (const auto& [key, item] : items_) {
      contents.items.push_back(item);
    }
    return contents;
  }
  std::map<std::string, std::string> Values() const {
    std::map<std::string, std::string> values;
    for (const auto& [key, item] : items_) {
      values[key] = item.value;
    }
    return values;
  }
  // Whether something happens that happens once in `times` times.
  bool OnceIn(unsigned times) { return random_() % times == 0; }

 private:
  std::mt19937 random_;
  Revision revision_{10};
  std::map<std::string, StoreItem> items_;
  std::vector<StoreEvent> history_;
};

// Keeps the values of the store as a daemon does.
class MirroringObserver : public RecordingObserver {
 public:
  void ApplyChanges(const Store::Changes& changes, const StoreStateOrigin& /*origin*/) override {
    for (const StoreEvent& each : changes.events) {
      if (each.removed) {
        mirror.erase(each.item.key);
      } else {
        mirror[each.item.key] = each.item.value;
      }
    }
  }

  std::map<std::string, std::string> mirror;
};

StoreUpdate MakeUpdate(const Store::Changes& changes, Revision base) {
  StoreUpdate update{base, changes.revision, 0, false, {}};
  for (const StoreEvent& each : changes.events) {
    update.events.push_back(CompressEvent(each, nullptr));
  }
  return update;
}

}  // namespace

TEST_CASE("a standby agrees with the store in whatever order watches, updates and reads come") {
  constexpr int kSteps = 300;
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    g_now = Instant{} + std::chrono::hours{1};
    ChangingStore changing{seed};
    ScriptedStore store;
    MirroringObserver observer;
    StoreWatcher watcher{store, observer, [] { return g_now; }, "op/"};
    OperatorWatch watch{store, watcher, observer, [] { return g_now; }};
    watcher.Tick(g_now);
    store.AnswerRead({{}, {10}});
    watcher.SetWatching(false);
    for (int step = 0; step < kSteps; ++step) {
      changing.Change();
      g_now += milliseconds{200};
      watch.Tick(true, g_now);
      if (changing.OnceIn(3) && store.watching_prefix()) {
        store.AnswerPrefixWatch(changing.ChangesAfter(store.last_prefix_watch_revision(), "op/"));
      }
      if (changing.OnceIn(4)) {
        const Revision known = watcher.revision();
        watcher.ApplyUpdate(MakeUpdate(changing.ChangesAfter(known, ""), known), g_now);
      }
      if (changing.OnceIn(5)) {
        watcher.Tick(g_now);
      }
      if (changing.OnceIn(5) && store.reading()) {
        store.AnswerRead(changing.Contents());
      }
      if (changing.OnceIn(5) && store.watching()) {
        store.AnswerWatch(changing.ChangesAfter(store.last_watch_revision(), ""));
      }
    }
    const Revision known = watcher.revision();
    watcher.ApplyUpdate(MakeUpdate(changing.ChangesAfter(known, ""), known), g_now);
    CHECK(observer.mirror == changing.Values());
  }
}

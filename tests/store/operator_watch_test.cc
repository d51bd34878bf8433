#include "store/operator_watch.h"

#include <doctest/doctest.h>

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

#include "store/store_watcher.h"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <utility>
#include <vector>

#include "store/scripted_store.h"

using namespace sycamorestall;  // NOLINT
using std::chrono::milliseconds;
using sycamorestall::testing::ScriptedStore;

namespace {

Instant g_now;

// Records what the watcher reports.
class RecordingObserver : public StoreObserver {
 public:
  void ApplyChanges(const Store::Changes& changes, const StoreStateOrigin& origin) override {
    last_origin = origin;
    for (const StoreEvent& each : changes.events) {
      values.push_back(each.item.value);
    }
  }
  void HandleStoreCall(const StoreCallRecord& call) override { calls.push_back(call); }
  void HandleReachability(bool is_reachable, const std::string& /*reason*/) override {
    reachable = is_reachable;
  }

  std::vector<std::string> values;
  bool reachable = false;
  StoreStateOrigin last_origin;
  std::vector<StoreCallRecord> calls;
};

StoreEvent MakeEvent(std::uint64_t revision, const std::string& value) {
  return {{"key", value, {revision}}, false};
}

// Returns random bytes, which do not compress.
std::string RandomBytes(std::size_t size) {
  std::mt19937 random{1};
  std::string text(size, '\0');
  for (char& each : text) {
    each = static_cast<char>(random());
  }
  return text;
}

// Builds an update as another daemon would send it.
StoreUpdate MakeUpdate(std::uint64_t base, std::uint64_t revision,
                       const std::vector<StoreEvent>& events) {
  StoreUpdate update;
  update.base = {base};
  update.revision = {revision};
  for (const StoreEvent& each : events) {
    update.events.push_back(CompressEvent(each, nullptr));
  }
  return update;
}

// A watcher that has loaded revision 10 and relies on the updates of another daemon.
struct UpdateReceiver {
  UpdateReceiver() {
    g_now = Instant{} + std::chrono::hours{1};
    watcher.Tick(g_now);
    store.AnswerRead({{}, {10}});
    watcher.SetWatching(false);
  }

  // Advances the clock in ticks. Unless `update_interval` is 0, an empty update arrives every
  // interval, based on a store answer that was `answered_ms_ago` old.
  void Advance(milliseconds time, milliseconds update_interval = milliseconds{0},
               std::uint32_t answered_ms_ago = 0) {
    const Instant end = g_now + time;
    Instant next_update = g_now;
    while (g_now < end) {
      if (update_interval.count() > 0 && g_now >= next_update) {
        next_update += update_interval;
        StoreUpdate update = MakeUpdate(watcher.revision().value, watcher.revision().value, {});
        update.answered_ms_ago = answered_ms_ago;
        watcher.ApplyUpdate(update, g_now);
      }
      watcher.Tick(g_now);
      g_now += milliseconds{20};
    }
  }

  ScriptedStore store;
  RecordingObserver observer;
  StoreWatcher watcher{store, observer, [] { return g_now; }, "op/"};
};

}  // namespace

TEST_CASE("a daemon that receives updates does not call the store") {
  UpdateReceiver receiver;
  receiver.watcher.ApplyUpdate(
      MakeUpdate(8, 12, {MakeEvent(10, "known"), MakeEvent(11, "a"), MakeEvent(12, "b")}), g_now);
  receiver.Advance(milliseconds{10000}, milliseconds{400}, 300);
  CHECK(receiver.store.watch_count() == 0);
  CHECK(receiver.observer.values == std::vector<std::string>{"a", "b"});
  CHECK(receiver.watcher.revision().value == 12);
}

TEST_CASE("without recent updates a daemon calls the store soon") {
  struct Row {
    const char* name;
    milliseconds update_interval;
    std::uint32_t answered_ms_ago;
    milliseconds calls_within;
  };
  const Row rows[] = {
      {"no updates", milliseconds{0}, 0, milliseconds{40}},
      {"updates based on an old store answer", milliseconds{400}, 1700, milliseconds{1800}},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    UpdateReceiver receiver;
    receiver.Advance(row.calls_within, row.update_interval, row.answered_ms_ago);
    CHECK(receiver.store.watch_count() + receiver.store.read_count() > 1);
  }
}

TEST_CASE("missing updates are noticed within the time in which a configuration takes effect") {
  UpdateReceiver receiver;
  receiver.Advance(milliseconds{3000}, milliseconds{400}, 600);
  REQUIRE(receiver.store.watch_count() == 0);
  receiver.Advance(milliseconds{1000});
  CHECK(receiver.store.watching());
  CHECK(receiver.store.last_watch_revision().value == 10);
}

TEST_CASE("a gap in the updates is filled by one watch") {
  UpdateReceiver receiver;
  receiver.watcher.ApplyUpdate(MakeUpdate(10, 11, {MakeEvent(11, "a")}), g_now);
  receiver.watcher.ApplyUpdate(MakeUpdate(14, 15, {MakeEvent(15, "e")}), g_now);
  CHECK(receiver.observer.values == std::vector<std::string>{"a"});
  receiver.Advance(milliseconds{40}, milliseconds{400});
  REQUIRE(receiver.store.watching());
  CHECK(receiver.store.last_watch_revision().value == 11);
  receiver.store.AnswerWatch({{MakeEvent(13, "c"), MakeEvent(15, "e")}, {15}});
  CHECK(receiver.observer.values == std::vector<std::string>{"a", "c", "e"});
  receiver.Advance(milliseconds{5000}, milliseconds{400});
  CHECK(receiver.store.watch_count() == 1);
}

TEST_CASE("a late watch answer does not restore old values") {
  UpdateReceiver receiver;
  receiver.Advance(milliseconds{20});
  REQUIRE(receiver.store.watching());
  receiver.watcher.ApplyUpdate(MakeUpdate(10, 12, {MakeEvent(11, "a"), MakeEvent(12, "b")}), g_now);
  receiver.store.AnswerWatch({{MakeEvent(11, "a")}, {11}});
  CHECK(receiver.observer.values == std::vector<std::string>{"a", "b"});
  CHECK(receiver.watcher.revision().value == 12);
}

TEST_CASE("after a long gap all contents are read instead of the changes") {
  UpdateReceiver receiver;
  receiver.watcher.SetWatching(true);
  receiver.Advance(milliseconds{20});
  REQUIRE(receiver.store.watching());
  receiver.store.AnswerWatch({}, StoreError::kRefused);
  CHECK(!receiver.observer.reachable);
  receiver.Advance(milliseconds{200});
  REQUIRE(receiver.store.watching());
  g_now += milliseconds{4000};
  receiver.store.AnswerWatch({}, StoreError::kRefused);
  receiver.Advance(milliseconds{500});
  CHECK(receiver.store.reading());
}

TEST_CASE("without its own watch a daemon derives reachability from other store calls") {
  UpdateReceiver receiver;
  receiver.Advance(milliseconds{400}, milliseconds{400});
  receiver.watcher.RecordCallResult(StoreError::kNoAnswer);
  CHECK(!receiver.watcher.reachable());
  receiver.watcher.RecordCallResult(StoreError::kLeaseGone);
  CHECK(receiver.watcher.reachable());
}

TEST_CASE("large values are compressed, and one that cannot be decompressed is fetched") {
  UpdateReceiver receiver;
  const std::string large(300'000, 'r');
  StoreUpdate update = MakeUpdate(10, 11, {MakeEvent(11, large)});
  CHECK(update.events.front().value.size() < 3000);
  receiver.watcher.ApplyUpdate(update, g_now);
  CHECK(receiver.observer.values == std::vector<std::string>{large});
  update = MakeUpdate(11, 12, {MakeEvent(12, large)});
  update.events.front().value.resize(20);
  receiver.watcher.ApplyUpdate(update, g_now);
  CHECK(receiver.observer.values.size() == 1);
  CHECK(receiver.watcher.revision().value == 11);
  receiver.Advance(milliseconds{40}, milliseconds{400});
  CHECK(receiver.store.watching());
}

TEST_CASE("updates are split between revisions, and a revision that is too large leaves a gap") {
  const std::string large = RandomBytes(6000);
  const std::string huge = RandomBytes(60000);
  struct ExpectedUpdate {
    std::uint64_t base;
    std::uint64_t revision;
    std::size_t events;
  };
  struct Row {
    const char* name;
    std::vector<StoreEvent> events;
    std::vector<ExpectedUpdate> expected_updates;
  };
  const Row rows[] = {
      {"no events", {}, {{5, 9, 0}}},
      {"small revisions in one update", {MakeEvent(6, "a"), MakeEvent(7, "b")}, {{5, 9, 2}}},
      {"one update for each large revision",
       {MakeEvent(6, large), MakeEvent(7, large)},
       {{5, 6, 1}, {6, 9, 1}}},
      {"one revision is not split", {MakeEvent(6, large), MakeEvent(6, large)}, {{5, 9, 2}}},
      {"too large",
       {MakeEvent(6, "a"), MakeEvent(7, huge), MakeEvent(8, "b")},
       {{5, 6, 1}, {7, 9, 1}}},
      {"too large, at the end", {MakeEvent(9, huge)}, {{9, 9, 0}}},
      {"after the revision", {MakeEvent(8, large), MakeEvent(12, large)}, {{5, 8, 1}, {8, 9, 1}}},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    std::vector<RelayedEvent> events;
    for (const StoreEvent& each : row.events) {
      events.push_back(CompressEvent(each, nullptr));
    }
    const std::vector<StoreUpdate> updates = SplitIntoUpdates(events, {5}, {9});
    REQUIRE(updates.size() == row.expected_updates.size());
    for (std::size_t i = 0; i < updates.size(); ++i) {
      CHECK(updates[i].base.value == row.expected_updates[i].base);
      CHECK(updates[i].revision.value == row.expected_updates[i].revision);
      CHECK(updates[i].events.size() == row.expected_updates[i].events);
    }
  }
}

TEST_CASE("changes larger than all contents are not waited for but replaced by a read") {
  UpdateReceiver receiver;
  receiver.watcher.SetWatching(true);
  const std::string large(300'000, 'r');
  receiver.Advance(milliseconds{20});
  receiver.store.AnswerWatch({{MakeEvent(11, large)}, {11}});
  receiver.Advance(milliseconds{800});
  REQUIRE(receiver.store.watching());
  CHECK(receiver.store.last_watch_max_bytes() > large.size());
  CHECK(receiver.store.last_watch_max_bytes() < 2 * large.size());
  receiver.store.AnswerWatch({}, StoreError::kTooLarge);
  receiver.Advance(milliseconds{20});
  CHECK(receiver.store.reading());
  CHECK(receiver.observer.reachable);
}

TEST_CASE("the age of what is known counts from the first byte of the answer that brought it") {
  struct Row {
    std::string name;
    bool read;
    milliseconds transfer;
    milliseconds age;
  };
  const Row rows[] = {
      {"watch", false, milliseconds{3000}, milliseconds{3000}},
      {"read, whose pages are no snapshot", true, milliseconds{1000}, milliseconds{3500}}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    UpdateReceiver receiver;
    receiver.watcher.SetWatching(true);
    g_now += row.read ? milliseconds{5000} : milliseconds{20};
    receiver.watcher.Tick(g_now);
    g_now += milliseconds{3500};
    if (row.read) {
      receiver.store.AnswerRead({{}, {11}, {0, row.transfer}});
    } else {
      receiver.store.AnswerWatch({{}, {11}, {0, row.transfer}});
    }
    CHECK(g_now - receiver.watcher.last_answer_at() == row.age);
    g_now += milliseconds{800};
    receiver.watcher.Tick(g_now);
    CHECK(receiver.store.watching());
  }
}

TEST_CASE("a gap is waited for if it will be sent again, and not for long") {
  struct Row {
    std::string name;
    bool sent_again;
    milliseconds waited;
    bool calls_store;
  };
  const Row rows[] = {{"not sent again", false, milliseconds{40}, true},
                      {"sent again", true, milliseconds{1000}, false},
                      {"sent again, but late", true, milliseconds{1400}, true}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    UpdateReceiver receiver;
    const Instant end = g_now + row.waited;
    while (g_now < end) {
      StoreUpdate update = MakeUpdate(14, 15, {MakeEvent(15, "e")});
      update.base_assumed = row.sent_again;
      receiver.watcher.ApplyUpdate(update, g_now);
      receiver.watcher.Tick(g_now);
      g_now += milliseconds{20};
    }
    CHECK(receiver.store.watching() == row.calls_store);
  }
}

namespace {

StoreEvent MakeEventOfEra(std::uint64_t era, std::uint64_t revision, const std::string& value) {
  return {{"key", value, {revision, {era}}}, false};
}

// A daemon that has loaded a value at revision 10 of the first era and watches the store.
struct WatchingDaemon {
  WatchingDaemon() {
    g_now = Instant{} + std::chrono::hours{1};
    watcher.Tick(g_now);
    store.AnswerRead({{MakeEventOfEra(1, 10, "lost").item}, {10, {1}}});
    watcher.Tick(g_now);
  }

  ScriptedStore store;
  RecordingObserver observer;
  StoreWatcher watcher{store, observer, [] { return g_now; }, "op/"};
};

}  // namespace

TEST_CASE("the contents of a store that came back older are taken however the daemon learns it") {
  using LearnEra = void (*)(WatchingDaemon&);
  struct Row {
    std::string name;
    LearnEra learn_era;
  };
  const Row rows[] = {
      {"by its watch",
       [](WatchingDaemon& daemon) { daemon.store.AnswerWatch({}, StoreError::kHistoryGone); }},
      {"by the answer to another call",
       [](WatchingDaemon& daemon) {
         daemon.store.SetEra({2});
         g_now += milliseconds{20};
       }},
      {"by another daemon", [](WatchingDaemon& daemon) { daemon.watcher.ObserveEra({2}); }},
      {"by a relayed update",
       [](WatchingDaemon& daemon) {
         daemon.watcher.SetWatching(false);
         StoreUpdate update;
         update.base = {7, {2}};
         update.revision = {8, {2}};
         update.base_assumed = true;
         daemon.watcher.ApplyUpdate(update, g_now);
       }},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WatchingDaemon daemon;
    row.learn_era(daemon);
    daemon.watcher.Tick(g_now);
    REQUIRE(daemon.store.reading());
    daemon.store.AnswerRead({{MakeEventOfEra(2, 5, "older").item}, {7, {2}}});
    CHECK(daemon.observer.values == std::vector<std::string>{"lost", "older"});
    CHECK(daemon.watcher.revision() == Revision{7, {2}});
    daemon.watcher.SetWatching(true);
    g_now += milliseconds{20};
    daemon.watcher.Tick(g_now);
    REQUIRE(daemon.store.watching());
    daemon.store.AnswerWatch({{MakeEventOfEra(2, 8, "new")}, {8, {2}}});
    CHECK(daemon.observer.values.back() == "new");
  }
}

TEST_CASE("what was sent before the store came back older changes nothing afterwards") {
  WatchingDaemon daemon;
  daemon.watcher.ObserveEra({2});
  daemon.watcher.Tick(g_now);
  daemon.store.AnswerRead({{MakeEventOfEra(1, 11, "lost too").item}, {11, {1}}});
  CHECK(daemon.observer.values == std::vector<std::string>{"lost"});
  daemon.watcher.Tick(g_now);
  REQUIRE(daemon.store.reading());
  daemon.store.AnswerRead({{MakeEventOfEra(2, 5, "older").item}, {7, {2}}});
  StoreUpdate update;
  update.base = {10, {1}};
  update.revision = {12, {1}};
  update.events = {CompressEvent(MakeEventOfEra(1, 12, "lost as well"), nullptr)};
  daemon.watcher.SetWatching(false);
  daemon.watcher.ApplyUpdate(update, g_now);
  CHECK(daemon.observer.values == std::vector<std::string>{"lost", "older"});
  CHECK(daemon.watcher.revision() == Revision{7, {2}});
}

TEST_CASE("a call that a silent store left unanswered does not delay the first answer after it") {
  struct Row {
    const char* name;
    // When other daemons learn something from the store, and when the call under test is sent, both
    // since the store fell silent.
    int peer_progress_ms;
    int call_sent_ms;
    bool call_fails_before;
    bool repeated;
  };
  const Row rows[] = {
      {"sent in the outage, which another daemon sees end", 100, 3000, true, true},
      {"sent while others learned news, so the store is silent to this daemon alone", 2500, 3000,
       true, false},
      {"the first call of the outage", 100, 3000, false, false},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    UpdateReceiver receiver;
    receiver.watcher.SetWatching(true);
    const Instant silent_since = g_now;
    receiver.Advance(milliseconds{20});
    REQUIRE(receiver.store.watching());
    receiver.Advance(milliseconds{row.peer_progress_ms - 20});
    receiver.watcher.RecordPeerProgress(g_now);
    CHECK(receiver.store.watch_count() == 1);
    receiver.Advance(std::chrono::duration_cast<milliseconds>(
        silent_since + milliseconds{row.call_sent_ms - 100} - g_now));
    if (row.call_fails_before) {
      receiver.store.AnswerWatch({}, StoreError::kNoAnswer);
    }
    receiver.Advance(milliseconds{200});
    REQUIRE(receiver.store.watching());
    const int calls = receiver.store.watch_count();
    receiver.Advance(milliseconds{600});
    receiver.watcher.RecordPeerProgress(g_now);
    receiver.Advance(milliseconds{40});
    CHECK(receiver.store.watch_count() + receiver.store.read_count() - 1 ==
          calls + (row.repeated ? 1 : 0));
    // Once the store has answered another daemon, the new call has its full time.
    receiver.watcher.RecordPeerProgress(g_now);
    receiver.Advance(milliseconds{40});
    CHECK(receiver.store.watch_count() + receiver.store.read_count() - 1 ==
          calls + (row.repeated ? 1 : 0));
  }
}

// Guards against a daemon that stays deaf after a silence of the store, as it waits for the answer
// to a call that the store has never got.
TEST_CASE("a call sent into a silence is repeated as soon as the store answers") {
  struct Row {
    const char* name;
    bool reads;
    int answers_after_ms;
  };
  const Row rows[] = {
      {"a watch, soon", false, 500}, {"a watch, later", false, 3300},  {"a read, soon", true, 500},
      {"a read, later", true, 3300}, {"a watch, at once", false, 100},
  };
  // The time without an answer after which the store is probed, and the time between two probes.
  constexpr milliseconds kLongestDelay{400 + 40};
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    UpdateReceiver receiver;
    receiver.watcher.SetWatching(true);
    if (row.reads) {
      receiver.watcher.ObserveEra({2});
    }
    receiver.Advance(milliseconds{20});
    REQUIRE(receiver.store.reading() == row.reads);
    const int calls = receiver.store.read_count() + receiver.store.watch_count();
    receiver.store.SetAnswerDueAt(g_now);
    receiver.Advance(milliseconds{row.answers_after_ms});
    CHECK(receiver.store.read_count() + receiver.store.watch_count() == calls);
    receiver.store.SetAnswersProbes(true);
    receiver.Advance(kLongestDelay);
    CHECK(receiver.store.read_count() + receiver.store.watch_count() == calls + 1);
    CHECK(receiver.store.reading() == row.reads);
  }
}

TEST_CASE("a store that answers small calls faster than others gets ever longer to answer") {
  UpdateReceiver receiver;
  receiver.watcher.SetWatching(true);
  receiver.store.SetAnswersProbes(true);
  int calls = 0;
  Instant called_at;
  std::vector<milliseconds> waited;
  const Instant end = g_now + std::chrono::seconds{20};
  while (g_now < end) {
    receiver.Advance(milliseconds{20});
    if (receiver.store.watch_count() + receiver.store.read_count() > calls) {
      calls = receiver.store.watch_count() + receiver.store.read_count();
      waited.push_back(std::chrono::duration_cast<milliseconds>(g_now - called_at));
      called_at = g_now;
      receiver.store.SetAnswerDueAt(g_now);
    }
  }
  REQUIRE(waited.size() > 5);
  CHECK(waited[1] < milliseconds{600});
  CHECK(waited[3] > waited[2]);
  CHECK(waited.back() > milliseconds{3000});
  receiver.store.SetAnswerDueAt(Instant::max());
}

TEST_CASE("a daemon that misses a change which its peers know asks the store itself") {
  struct Row {
    std::string name;
    // The revision up to which updates seem to be complete, and that of the change.
    std::uint64_t updated_until;
    std::uint64_t change;
    milliseconds waited;
    bool expected_watching;
    bool expected_reading;
  };
  const Row rows[] = {
      {"not for long", 11, 12, milliseconds{300}, false, false},
      {"for long", 11, 12, milliseconds{500}, true, false},
      {"updates seem to have brought it", 13, 12, milliseconds{500}, false, true},
      {"read before", 13, 10, milliseconds{2000}, false, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    UpdateReceiver receiver;
    receiver.watcher.ApplyUpdate(MakeUpdate(10, row.updated_until, {}), g_now);
    receiver.watcher.RecordPeerChange(InstanceId{"peer"}, {row.change}, g_now);
    receiver.Advance(row.waited, milliseconds{400});
    CHECK(receiver.store.watching() == row.expected_watching);
    CHECK(receiver.store.reading() == row.expected_reading);
  }
}

TEST_CASE("a change that updates left out is applied once all has been read") {
  struct Row {
    std::string name;
    // The revision of the read, and the one that updates have reached meanwhile.
    std::uint64_t read_at;
    std::uint64_t updated_until;
  };
  const Row rows[] = {{"read later than the updates", 14, 13},
                      {"updates came during the read", 13, 15}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    UpdateReceiver receiver;
    receiver.watcher.ApplyUpdate(MakeUpdate(10, 13, {}), g_now);
    receiver.watcher.RecordPeerChange(InstanceId{"peer"}, {12}, g_now);
    receiver.Advance(milliseconds{500}, milliseconds{400});
    REQUIRE(receiver.store.reading());
    receiver.watcher.ApplyUpdate(MakeUpdate(13, row.updated_until, {}), g_now);
    receiver.store.AnswerRead({{{"op/config", "new", {12}}}, {row.read_at}});
    CHECK(receiver.observer.values == std::vector<std::string>{"new"});
    CHECK(receiver.watcher.operator_revisions().latest() == Revision{12});
    const int reads = receiver.store.read_count();
    receiver.watcher.RecordPeerChange(InstanceId{"peer"}, {12}, g_now);
    receiver.Advance(milliseconds{2000}, milliseconds{400});
    CHECK(receiver.store.read_count() == reads);
  }
}

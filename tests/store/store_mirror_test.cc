#include "store/store_mirror.h"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <utility>

#include "store/scripted_store.h"

using namespace sycamorestall;  // NOLINT
using std::chrono::milliseconds;
using sycamorestall::testing::ScriptedStore;

namespace {

Instant g_now;

// Keeps what the mirror says.
class Observer : public StoreObserver {
 public:
  void TakeContents(const Store::Contents& /*contents*/) override { ++contents; }
  void TakeChanges(const Store::Changes& changes) override {
    for (const StoreEvent& each : changes.events) {
      values.push_back(each.item.value);
    }
  }
  void TakeStoreState(bool is_reachable, const std::string& /*reason*/) override {
    reachable = is_reachable;
  }

  int contents = 0;
  std::vector<std::string> values;
  bool reachable = false;
};

StoreEvent Event(std::uint64_t revision, const std::string& value) {
  return {{"key", value, {revision}}, false};
}

// Text that cannot be compressed.
std::string Noise(std::size_t size) {
  std::mt19937 random{1};
  std::string text(size, '\0');
  for (char& each : text) {
    each = static_cast<char>(random());
  }
  return text;
}

// News as another daemon would send them.
StoreNews News(std::uint64_t base, std::uint64_t revision, const std::vector<StoreEvent>& events) {
  StoreNews news{{base}, {revision}, 0, {}};
  for (const StoreEvent& each : events) {
    news.events.push_back(PackEvent(each));
  }
  return news;
}

// A mirror that has read everything up to revision 10 and follows others.
struct Follower {
  Follower() {
    g_now = Instant{} + std::chrono::hours{1};
    mirror.Tick(g_now);
    store.AnswerRead({{}, {10}});
    mirror.SetWatching(false);
  }

  // Lets time pass in ticks, with news of the given revision every so often.
  void Pass(milliseconds time, milliseconds every = milliseconds{0}, std::uint32_t ago_ms = 0) {
    const Instant end = g_now + time;
    Instant next = g_now;
    while (g_now < end) {
      if (every.count() > 0 && g_now >= next) {
        next += every;
        mirror.TakeNews({mirror.revision(), mirror.revision(), ago_ms, {}}, g_now);
      }
      mirror.Tick(g_now);
      g_now += milliseconds{20};
    }
  }

  ScriptedStore store;
  Observer observer;
  StoreMirror mirror{store, observer, [] { return g_now; }};
};

}  // namespace

TEST_CASE("whoever is told what happens asks the store nothing") {
  Follower follower;
  follower.mirror.TakeNews(News(8, 12, {Event(10, "known"), Event(11, "a"), Event(12, "b")}),
                           g_now);
  follower.Pass(milliseconds{10000}, milliseconds{400}, 300);
  CHECK(follower.store.watches() == 0);
  CHECK(follower.observer.values == std::vector<std::string>{"a", "b"});
  CHECK(follower.mirror.revision().value == 12);
}

TEST_CASE("whoever is not told enough asks the store soon") {
  struct Row {
    const char* name;
    milliseconds news_every;
    std::uint32_t answered_ms_ago;
    milliseconds asks_within;
  };
  const Row rows[] = {
      {"nothing is heard", milliseconds{0}, 0, milliseconds{40}},
      {"news tell of an answer long ago", milliseconds{400}, 1700, milliseconds{1800}},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    Follower follower;
    follower.Pass(row.asks_within, row.news_every, row.answered_ms_ago);
    CHECK(follower.store.watches() + follower.store.reads() > 1);
  }
}

TEST_CASE("news that end are missed within the time a configuration has to be in force") {
  Follower follower;
  follower.Pass(milliseconds{3000}, milliseconds{400}, 600);
  REQUIRE(follower.store.watches() == 0);
  follower.Pass(milliseconds{1000});
  CHECK(follower.store.watching());
  CHECK(follower.store.watched_after().value == 10);
}

TEST_CASE("a gap in the news is filled by one call") {
  Follower follower;
  follower.mirror.TakeNews(News(10, 11, {Event(11, "a")}), g_now);
  follower.mirror.TakeNews(News(14, 15, {Event(15, "e")}), g_now);
  CHECK(follower.observer.values == std::vector<std::string>{"a"});
  follower.Pass(milliseconds{40}, milliseconds{400});
  REQUIRE(follower.store.watching());
  CHECK(follower.store.watched_after().value == 11);
  follower.store.AnswerWatch({{Event(13, "c"), Event(15, "e")}, {15}});
  CHECK(follower.observer.values == std::vector<std::string>{"a", "c", "e"});
  follower.Pass(milliseconds{5000}, milliseconds{400});
  CHECK(follower.store.watches() == 1);
}

TEST_CASE("an answer that comes late brings nothing old back") {
  Follower follower;
  follower.Pass(milliseconds{20});
  REQUIRE(follower.store.watching());
  follower.mirror.TakeNews(News(10, 12, {Event(11, "a"), Event(12, "b")}), g_now);
  follower.store.AnswerWatch({{Event(11, "a")}, {11}});
  CHECK(follower.observer.values == std::vector<std::string>{"a", "b"});
  CHECK(follower.mirror.revision().value == 12);
}

TEST_CASE("whoever was away for long reads everything and not what happened meanwhile") {
  Follower follower;
  follower.mirror.SetWatching(true);
  follower.Pass(milliseconds{20});
  REQUIRE(follower.store.watching());
  follower.store.AnswerWatch({}, StoreError::kRefused);
  CHECK(!follower.observer.reachable);
  follower.Pass(milliseconds{200});
  REQUIRE(follower.store.watching());
  g_now += milliseconds{4000};
  follower.store.AnswerWatch({}, StoreError::kRefused);
  follower.Pass(milliseconds{500});
  CHECK(follower.store.reading());
}

TEST_CASE("who follows others knows by its other calls whether it reaches the store") {
  Follower follower;
  follower.Pass(milliseconds{400}, milliseconds{400});
  follower.mirror.TakeOtherCall(StoreError::kNoAnswer);
  CHECK(!follower.mirror.reachable());
  follower.mirror.TakeOtherCall(StoreError::kLeaseGone);
  CHECK(follower.mirror.reachable());
}

TEST_CASE("a large value goes compressed, and one that cannot be read is asked for") {
  Follower follower;
  const std::string large(300'000, 'r');
  StoreNews news = News(10, 11, {Event(11, large)});
  CHECK(news.events.front().value.size() < 3000);
  follower.mirror.TakeNews(news, g_now);
  CHECK(follower.observer.values == std::vector<std::string>{large});
  news = News(11, 12, {Event(12, large)});
  news.events.front().value.resize(20);
  follower.mirror.TakeNews(news, g_now);
  CHECK(follower.observer.values.size() == 1);
  CHECK(follower.mirror.revision().value == 11);
  follower.Pass(milliseconds{40}, milliseconds{400});
  CHECK(follower.store.watching());
}

TEST_CASE("news are cut between revisions, and what is too large leaves a gap") {
  const std::string large = Noise(6000);
  const std::string huge = Noise(60000);
  struct Part {
    std::uint64_t base;
    std::uint64_t revision;
    std::size_t events;
  };
  struct Row {
    const char* name;
    std::vector<StoreEvent> events;
    std::vector<Part> parts;
  };
  const Row rows[] = {
      {"nothing new", {}, {{5, 9, 0}}},
      {"small ones together", {Event(6, "a"), Event(7, "b")}, {{5, 9, 2}}},
      {"one datagram each", {Event(6, large), Event(7, large)}, {{5, 6, 1}, {6, 9, 1}}},
      {"one change stays whole", {Event(6, large), Event(6, large)}, {{5, 9, 2}}},
      {"too large", {Event(6, "a"), Event(7, huge), Event(8, "b")}, {{5, 6, 1}, {7, 9, 1}}},
      {"too large at the end", {Event(9, huge)}, {{9, 9, 0}}},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    NewsWriter writer;
    writer.Reset({5});
    for (const StoreEvent& each : row.events) {
      writer.Add(each);
    }
    const std::vector<StoreNews> news = writer.Take({9}, 0);
    REQUIRE(news.size() == row.parts.size());
    for (std::size_t i = 0; i < news.size(); ++i) {
      CHECK(news[i].base.value == row.parts[i].base);
      CHECK(news[i].revision.value == row.parts[i].revision);
      CHECK(news[i].events.size() == row.parts[i].events);
    }
    CHECK(writer.Take({9}, 0).front().base.value == 9);
  }
}

#include "platform/kv_store.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "clock/system_clock.h"
#include "fakes/fault_proxy.h"
#include "fakes/key_value_store.h"
#include "fakes/scripted_server.h"

using namespace sycamorestall;            // NOLINT
using namespace sycamorestall::platform;  // NOLINT
using std::chrono::milliseconds;

namespace {

// The outcome of a call.
template <typename Value>
struct Outcome {
  std::error_code error;
  Value value;
};

// A client of a fake store, which waits for the result of each call.
struct ClientSetup {
  // Makes a call, which gets a callback, and returns its outcome.
  template <typename Value>
  Outcome<Value> Wait(
      const std::function<void(std::function<void(std::error_code, Value)>)>& call) {
    std::optional<Outcome<Value>> outcome;
    call([&outcome](std::error_code error, Value value) { outcome = {error, std::move(value)}; });
    context.restart();
    while (!outcome && context.run_one_for(std::chrono::seconds{5}) > 0) {
    }
    return outcome.value();
  }
  Outcome<Store::Contents> Read() {
    return Wait<Store::Contents>([this](auto callback) { client.ReadAll(callback); });
  }
  Outcome<Store::Changes> Watch(Revision after) {
    return Wait<Store::Changes>(
        [this, after](auto callback) { client.Watch(after, milliseconds{50}, 1 << 20, callback); });
  }
  Outcome<Store::Changes> WatchPrefix(const std::string& prefix, Revision after) {
    return Wait<Store::Changes>(
        [&](auto callback) { client.WatchPrefix(prefix, after, milliseconds{50}, callback); });
  }
  Outcome<Revision> Commit(const StoreTransaction& transaction) {
    return Wait<Revision>([&](auto callback) { client.Commit(transaction, callback); });
  }
  Outcome<LeaseId> OpenLease() {
    return Wait<LeaseId>(
        [this](auto callback) { client.OpenLease(std::chrono::seconds{5}, callback); });
  }
  Outcome<LeaseId> RenewLease(LeaseId lease) {
    return Wait<LeaseId>([&](auto callback) { client.RenewLease(lease, callback); });
  }

  fakes::KeyValueStore store;
  boost::asio::io_context context{1};
  ConnectionPool pool{context};
  KvStore client{pool, store.address()};
};

}  // namespace

TEST_CASE("a watch of a prefix brings the changes of its items only, besides other calls") {
  struct Row {
    std::string name;
    std::string prefix;
    std::vector<std::string> expected_keys;
  };
  const Row rows[] = {{"some items", "op/", {"op/config", "op/x y"}},
                      {"one item", "op/config", {"op/config"}},
                      {"none", "other/", {}}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ClientSetup setup;
    setup.store.Put("op/config", "known");
    const Revision known = setup.Read().value.revision;
    setup.client.Watch(known, milliseconds{1000}, 1 << 20,
                       [](std::error_code, const Store::Changes&) {});
    setup.store.Put("servers/a", "a");
    setup.store.Put("op/config", "new");
    setup.store.Put("op/x y", "x");
    const Outcome<Store::Changes> watched = setup.WatchPrefix(row.prefix, known);
    REQUIRE(!watched.error);
    std::vector<std::string> keys;
    for (const StoreEvent& each : watched.value.events) {
      keys.push_back(each.item.key);
    }
    CHECK(keys == row.expected_keys);
    CHECK(watched.value.revision.value == known.value + 3);
  }
}

TEST_CASE("revisions of a store that came back older are above all earlier ones") {
  ClientSetup setup;
  setup.store.Put("key", "copied");
  setup.store.SaveCopy();
  setup.store.Put("key", "lost");
  setup.store.Put("key", "lost too");
  const Outcome<Store::Contents> before = setup.Read();
  REQUIRE(!before.error);
  CHECK(before.value.items.front().value == "lost too");
  setup.store.RestoreCopy();
  CHECK(setup.Watch(before.value.revision).error == StoreError::kHistoryGone);
  const Outcome<Store::Contents> after = setup.Read();
  CHECK(after.value.items.front().value == "copied");
  CHECK(after.value.items.front().revision > before.value.revision);
  CHECK(after.value.revision > before.value.revision);
  setup.store.Put("key", "new");
  const Outcome<Store::Changes> changes = setup.Watch(after.value.revision);
  REQUIRE(!changes.error);
  CHECK(changes.value.events.front().item.revision > after.value.revision);
}

TEST_CASE("a watch after a lost revision fails although the store has reached it again") {
  ClientSetup setup;
  setup.store.SaveCopy();
  setup.store.Put("key", "lost");
  const Revision lost = setup.Read().value.revision;
  setup.store.RestoreCopy();
  setup.store.Put("other", "a");
  setup.store.Put("other", "b");
  CHECK(setup.Watch(lost).error == StoreError::kHistoryGone);
}

TEST_CASE("a write prepared before the store came back older is neither sent nor believed") {
  for (const bool era_is_known : {true, false}) {
    CAPTURE(era_is_known);
    ClientSetup setup;
    setup.store.SaveCopy();
    setup.store.Put("record", "lost");
    const Revision expected = setup.Read().value.items.front().revision;
    setup.store.RestoreCopy();
    // The record gets the same revision as the lost one.
    setup.store.Put("record", "of another daemon");
    if (era_is_known) {
      setup.Read();
    }
    const Outcome<Revision> outcome =
        setup.Commit({{{"record", expected}}, {{"record", "own", {}}}, {}});
    CHECK(outcome.error == (era_is_known ? StoreError::kRefused : StoreError::kNoAnswer));
    CHECK((setup.store.Value("record") == "own") == !era_is_known);
  }
}

TEST_CASE("a lease opened before the store came back older is gone though its number is in use") {
  ClientSetup setup;
  setup.store.SaveCopy();
  const LeaseId lost = setup.OpenLease().value;
  setup.store.RestoreCopy();
  const LeaseId of_another_daemon = setup.OpenLease().value;
  REQUIRE(of_another_daemon.value == lost.value);
  CHECK(setup.RenewLease(lost).error == StoreError::kLeaseGone);
  CHECK(setup.Commit({{}, {{"entry", "own", lost}}, {}}).error == StoreError::kRefused);
  CHECK(!setup.RenewLease(of_another_daemon).error);
  setup.client.EndLease(lost);
  CHECK(!setup.RenewLease(of_another_daemon).error);
}

// Guards against callers that stay deaf after a silence: a call of any kind that the store has
// never got must not be waited for until its timeout once the store answers again.
TEST_CASE("calls of every kind that a silent store has never got are given up") {
  fakes::KeyValueStore store;
  fakes::FaultProxy proxy{store.address()};
  boost::asio::io_context context{1};
  ConnectionPool pool{context};
  KvStore client{pool, proxy.address()};
  std::vector<std::error_code> ends;
  const auto note_end = [&ends](std::error_code error, const auto&... /*result*/) {
    ends.push_back(error);
  };
  const auto run_until = [&](const auto& done) {
    const Instant latest = BootNow() + std::chrono::seconds{1};
    while (!done() && BootNow() < latest) {
      context.restart();
      context.run_for(milliseconds{5});
    }
    return done();
  };
  bool answered = false;
  const auto note_answer = [&answered](std::error_code error) { answered = !error; };
  client.Probe(note_answer);
  REQUIRE(run_until([&] { return answered; }));
  CHECK_FALSE(client.OldestMissingAnswer(BootNow()).has_value());

  proxy.SetFault(fakes::ProxyFault::kLost);
  client.ReadAll(note_end);
  client.Watch({1}, milliseconds{0}, 1 << 20, note_end);
  client.Commit({{}, {{"key", "value", {}}}, {}}, note_end);
  client.OpenLease(std::chrono::seconds{5}, note_end);
  client.RenewLease({1, client.era()}, note_end);
  answered = false;
  client.Probe(note_answer);
  CHECK_FALSE(run_until([&] { return answered || !ends.empty(); }));
  CHECK(client.OldestMissingAnswer(BootNow()).has_value());

  proxy.SetFault(fakes::ProxyFault::kNone);
  client.Probe(note_answer);
  REQUIRE(run_until([&] { return answered; }));
  CHECK(ends.empty());
  client.GiveUpUnanswered(BootNow());
  CHECK(run_until([&] { return ends.size() == 5; }));
  for (const std::error_code& each : ends) {
    CHECK(each == StoreError::kGivenUp);
  }
  CHECK_FALSE(client.OldestMissingAnswer(BootNow()).has_value());
  ends.clear();
  client.ReadAll(note_end);
  CHECK(run_until([&] { return ends.size() == 1; }));
  CHECK(ends == std::vector{std::error_code{}});
}

TEST_CASE("an answer that is not valid HTTP does not say that a change was refused") {
  ClientSetup setup;
  fakes::ScriptedServer server{
      fakes::Script{"HTTP/1.1 000 Unknown\r\nContent-Length: 2\r\n\r\n{}"}};
  KvStore client{setup.pool, server.address()};
  const Outcome<Revision> outcome = setup.Wait<Revision>([&client](auto callback) {
    client.Commit({{}, {{"key", "value", {}}}, {}}, callback);
  });
  CHECK(outcome.error == StoreError::kNoAnswer);
}

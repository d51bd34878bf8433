#include "router/key_service.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "clock/system_clock.h"
#include "core/endpoint_fleet.h"
#include "fakes/scripted_server.h"
#include "platform/order_format.h"
#include "router/daemon_message.h"
#include "router/record_codec.h"
#include "router/repeating_endpoint.h"
#include "store/scripted_store.h"

using namespace sycamorestall;           // NOLINT
using namespace sycamorestall::testing;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTimeToLive{1000};

// A store that accepts every write.
class AcceptingStore : public ScriptedStore {
 public:
  void Commit(const StoreTransaction& /*transaction*/, CommitCallback callback) override {
    callbacks_.push_back(std::move(callback));
  }
  void AnswerCommits() {
    for (const CommitCallback& callback : std::exchange(callbacks_, {})) {
      ++revision_.value;
      callback({}, revision_);
    }
  }

 private:
  Revision revision_;
  std::vector<CommitCallback> callbacks_;
};

// An observer that ignores what endpoints say about themselves.
class IgnoringObserver : public EndpointObserver {
 public:
  void HandleNotice(const InstanceId& /*endpoint*/, const EndpointNotice& /*notice*/,
                    Instant /*sent_at*/, Instant /*now*/) override {}
};

// A daemon that leads the keys of one service with two endpoints.
class KeyServiceSetup {
 public:
  explicit KeyServiceSetup(RepeatingEndpoint::Behavior first_behavior)
      : first(context_, first_behavior), second(context_, {}) {
    view_.reachable = true;
    view_.reachable_since = BootNow();
    view_.daemons[Settings().self] = 1;
    PutEndpoints(false);
  }

  // Lists both endpoints; the first one is draining or not.
  void PutEndpoints(bool draining) {
    fleet_.Put(Entry("first", first.address(), draining), BootNow());
    fleet_.Put(Entry("second", second.address(), false), BootNow());
  }
  // Lists only this endpoint, instead of both.
  void PutOnly(const std::string& id, const NetworkAddress& address) {
    fleet_.Remove(InstanceId{"first"}, BootNow());
    fleet_.Remove(InstanceId{"second"}, BootNow());
    fleet_.Put(Entry(id, address, false), BootNow());
  }
  // Whether some endpoint has confirmed that it holds the first key.
  bool ServesFirstKey() {
    return !service_.PrepareAnnouncements(1, BootNow()).empty() &&
           service_.routes().OwnerOf(0, BootNow()).has_value();
  }
  // Runs the daemon until the condition holds, for 5 s at most; returns whether it does.
  template <typename Condition>
  bool RunUntil(Condition condition) {
    for (const Instant end = BootNow() + std::chrono::seconds{5}; BootNow() < end;) {
      view_.confirmed_at = BootNow();
      service_.Tick(fleet_, view_, BootNow());
      store_.AnswerCommits();
      pool_.CheckTimeouts(BootNow());
      context_.restart();
      context_.run_for(milliseconds{2});
      if (condition()) {
        return true;
      }
    }
    return false;
  }
  // Sends a request to the first endpoint, as a relay does, and waits for its answer.
  bool SendRequest() {
    OutgoingCall call;
    call.message.head = "GET /work HTTP/1.1\r\nHost: first\r\nX-Request-Id: r\r\n\r\n";
    call.connect_timeout = milliseconds{400};
    call.deadline = BootNow() + std::chrono::seconds{1};
    bool answered = false;
    pool_.Call("first", first.address(), std::move(call), BootNow(),
               [&answered](const CallResult& result) {
                 answered = result.outcome == CallOutcome::kAnswered;
               });
    return RunUntil([&answered] { return answered; });
  }

  // Hands the renewals of another leader over to the daemon, which last ran so long ago; then the
  // daemon goes on without the store. Returns whether it still sends grants.
  bool SendsGrantsAfterHandOver(milliseconds confirmed_ago, milliseconds ran_ago) {
    OwnershipRecord record;
    record.term = {3};
    record.leader = InstanceId{"other"};
    record.ranges = {{{0, 99}, InstanceId{"first"}, {1}, {7}}};
    const Instant now = BootNow();
    service_.HandleHandOver({Settings().service, EncodeRecord(record),
                             static_cast<std::uint32_t>(confirmed_ago.count())},
                            now - ran_ago, now);
    view_.reachable = false;
    view_.confirmed_at = now - std::chrono::seconds{20};
    service_.Tick(fleet_, view_, now);
    return service_.SendsGrants();
  }

 private:
  static KeyLeaderSettings Settings() {
    KeyLeaderSettings settings;
    settings.service = ServiceName{"soil"};
    settings.self = InstanceId{"daemon"};
    settings.time_to_live = kTimeToLive;
    settings.renew_interval = milliseconds{200};
    settings.initial_list_settle_time = milliseconds{50};
    return settings;
  }
  static EndpointEntry Entry(const std::string& id, const NetworkAddress& address, bool draining) {
    EndpointEntry entry;
    entry.id = InstanceId{id};
    entry.service = Settings().service;
    entry.address = address;
    entry.slots = 4;
    entry.draining = draining;
    entry.incarnation = {1};
    return entry;
  }

  boost::asio::io_context context_{1};
  ConnectionPool pool_{context_};
  AcceptingStore store_;
  const platform::PlatformOrderFormat format_;
  EndpointFleet fleet_;
  StoreView view_;
  IgnoringObserver observer_;
  KeyService service_{Settings(), store_, pool_, format_, observer_};

 public:
  RepeatingEndpoint first;
  RepeatingEndpoint second;
};

}  // namespace

TEST_CASE("a late second answer or one without a handover does not count as a release") {
  struct Row {
    const char* name;
    RepeatingEndpoint::Behavior behavior;
  };
  const Row rows[] = {
      {"every answer once", {}},
      {"request answered twice", {.repeats_requests = true}},
      {"orders answered twice", {.repeats_orders = true}},
      {"orders answered twice, each with a handover and the id",
       {.repeats_orders = true, .grants_carry_handover = true, .echoes_order_ids = true}},
      {"release answered without a handover", {.ignores_releases = true}},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    KeyServiceSetup setup{row.behavior};
    // Both are renewed, so their first grants are confirmed.
    REQUIRE(setup.RunUntil(
        [&] { return setup.first.grants_received() > 2 && setup.second.grants_received() > 2; }));
    REQUIRE(setup.SendRequest());
    const std::vector<KeyRange> held = setup.first.granted_ranges();
    setup.PutEndpoints(true);

    CHECK(setup.RunUntil([&] {
      return std::any_of(held.begin(), held.end(),
                         [&](const KeyRange& each) { return setup.second.WasGranted(each.first); });
    }));
    const Duration too_early = setup.first.HoldsUntil(kTimeToLive) - BootNow();
    CHECK(std::chrono::duration_cast<milliseconds>(too_early).count() <= 0);
  }
}

// Guards against a broken answer to a grant that is taken for a confirmation.
TEST_CASE("only a sound answer to a grant confirms that the endpoint holds its keys") {
  struct Row {
    const char* name;
    std::string head;
    bool confirms;
  };
  const Row rows[] = {
      {"sound", "HTTP/1.1 200 OK\r\n", true},
      {"behind an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n", true},
      {"status 000", "HTTP/1.1 000 OK\r\n", false},
      {"status 000 behind an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n",
       false},
      {"status above all classes", "HTTP/1.1 600 OK\r\n", false},
      {"blank before a name", "HTTP/1.1 200 OK\r\n X-Name: value\r\n", false},
      {"blank in a name", "HTTP/1.1 200 OK\r\nX Name: value\r\n", false},
      {"unknown transfer coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n", false},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    fakes::ScriptedServer endpoint{
        {row.head + "X-Request-Id: @ID@\r\nContent-Length: 2\r\n\r\n{}"}};
    KeyServiceSetup setup{{}};
    setup.PutOnly("scripted", endpoint.address());
    bool served = false;
    REQUIRE(setup.RunUntil([&] {
      served = served || setup.ServesFirstKey();
      return served || endpoint.requests() > 2;
    }));
    CHECK(served == row.confirms);
  }
}

// Guards against a daemon that renews grants for longer than the leader might have, as it was
// frozen while the message that asked it to waited.
TEST_CASE("the age of a hand-over includes the time for which its receiver did not run") {
  struct Row {
    const char* name;
    milliseconds confirmed_ago;
    milliseconds ran_ago;
    bool sends_grants;
  };
  // A leader may send grants for 8 s after it heard from the store.
  const Row rows[] = {
      {"read at once", milliseconds{4000}, milliseconds{20}, true},
      {"read late, in time", milliseconds{4000}, milliseconds{3500}, true},
      {"read too late", milliseconds{4000}, milliseconds{4500}, false},
      {"sent too late", milliseconds{8100}, milliseconds{20}, false},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    KeyServiceSetup setup{{}};
    CHECK(setup.SendsGrantsAfterHandOver(row.confirmed_ago, row.ran_ago) == row.sends_grants);
  }
}

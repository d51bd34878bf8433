#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "router/router_deployment.h"

using namespace sycamorestall::testing;  // NOLINT
using std::chrono::milliseconds;
using sycamorestall::fakes::ProxyFault;

namespace {

constexpr milliseconds kSettleTime{1500};
// Longer than a registration lasts without renewal.
constexpr milliseconds kCutTime{4500};

bool WatchesForDomain(RouterDeployment& deployment, std::size_t daemon) {
  return deployment.FetchMetrics(daemon).find("sycamorestall_watches_for_domain 1") !=
         std::string::npos;
}

}  // namespace

TEST_CASE("a daemon whose registration has lapsed does not watch besides another") {
  RouterDeployment deployment{2, 1, 1, ConnectionKind::kProxied};
  REQUIRE(deployment.WaitUntilServed());
  std::this_thread::sleep_for(kSettleTime);
  REQUIRE(WatchesForDomain(deployment, 0));
  REQUIRE_FALSE(WatchesForDomain(deployment, 1));
  deployment.StoreProxy(1).SetFault(ProxyFault::kSilent);
  std::this_thread::sleep_for(kCutTime);
  CHECK(WatchesForDomain(deployment, 0));
  CHECK_FALSE(WatchesForDomain(deployment, 1));
  deployment.WriteConfig(2, "/later/");
  CHECK(deployment.ServesPumpsWithin(1, "/later/", milliseconds{2000}));
}

// Guards against daemons that stay deaf after an outage, as they wait for the answer to a call that
// the store has never got.
TEST_CASE("a configuration acknowledged before a silence of the store takes effect soon after it") {
  RouterDeployment deployment{2, 1, 1, ConnectionKind::kProxied};
  REQUIRE(deployment.WaitUntilServed());
  int version = 2;
  for (const int silent_ms : {300, 1200, 1900, 2070, 2400, 3100, 4300}) {
    CAPTURE(silent_ms);
    std::this_thread::sleep_for(kSettleTime);
    const std::string prefix = "/version-" + std::to_string(version) + "/";
    for (const std::size_t daemon : {0, 1}) {
      deployment.StoreProxy(daemon).SetFault(ProxyFault::kLost);
    }
    deployment.WriteConfig(version++, prefix);
    std::this_thread::sleep_for(milliseconds{silent_ms});
    for (const std::size_t daemon : {0, 1}) {
      deployment.StoreProxy(daemon).SetFault(ProxyFault::kNone);
    }
    const auto back_at = std::chrono::steady_clock::now();
    for (const std::size_t daemon : {0, 1}) {
      const auto elapsed =
          std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - back_at);
      CHECK(deployment.ServesPumpsWithin(daemon, prefix, milliseconds{2000} - elapsed));
    }
  }
}

TEST_CASE("a configuration acknowledged after the store came back older takes effect in time") {
  RouterDeployment deployment{2, 1, 1};
  REQUIRE(deployment.WaitUntilServed());
  deployment.store.SaveCopy();
  deployment.WriteConfig(2, "/lost/");
  for (const std::size_t daemon : {0, 1}) {
    REQUIRE(deployment.ServesPumpsWithin(daemon, "/lost/", milliseconds{2000}));
  }
  for (int i = 0; i < 40; ++i) {
    deployment.store.Put("other/" + std::to_string(i), "lost");
  }
  std::this_thread::sleep_for(kSettleTime);
  deployment.store.RestoreCopy();
  std::this_thread::sleep_for(kSettleTime);
  for (const std::size_t daemon : {0, 1}) {
    CHECK(deployment.ServesPumpsWithin(daemon, "/lost/", milliseconds{100}));
  }
  deployment.WriteConfig(3, "/later/");
  for (const std::size_t daemon : {0, 1}) {
    CHECK(deployment.ServesPumpsWithin(daemon, "/later/", milliseconds{2000}));
  }
}

TEST_CASE("endpoints seen leaving get no requests though the store came back older") {
  using Leave = std::function<void(RouterDeployment&)>;
  struct Row {
    std::string name;
    Leave leave;
  };
  const Row rows[] = {
      {"draining",
       [](RouterDeployment& deployment) {
         deployment.RegisterEndpoint(*deployment.pumps[0], "draining");
       }},
      {"removed",
       [](RouterDeployment& deployment) { deployment.DeregisterEndpoint(*deployment.pumps[0]); }},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RouterDeployment deployment{1, 1, 2};
    REQUIRE(deployment.WaitUntilServed());
    deployment.store.SaveCopy();
    row.leave(deployment);
    std::this_thread::sleep_for(kSettleTime);
    deployment.store.RestoreCopy();
    std::this_thread::sleep_for(kSettleTime);
    const std::size_t runs_before = deployment.pumps[0]->ExecutionCounts().size();
    for (int i = 0; i < 20; ++i) {
      CHECK(deployment.SendRequest(0, {.path = "/pumps/1", .method = "POST"}).status == 200);
    }
    CHECK(deployment.pumps[0]->ExecutionCounts().size() == runs_before);
  }
}

TEST_CASE("an endpoint whose entry the store lost has time to write it again") {
  RouterDeployment deployment{1, 1, 0};
  deployment.store.SaveCopy();
  deployment.pumps.push_back(std::make_unique<sycamorestall::fakes::KeyEndpoint>("late", false));
  deployment.RegisterEndpoint(*deployment.pumps.front());
  REQUIRE(deployment.WaitUntilServed());
  REQUIRE(deployment.SendRequest(0, {.path = "/pumps/1", .method = "POST"}).status == 200);
  deployment.WriteConfig(2, "/pumps/");
  deployment.store.RestoreCopy();
  std::this_thread::sleep_for(kSettleTime);
  CHECK(deployment.SendRequest(0, {.path = "/pumps/1", .method = "POST"}).status == 200);
  std::this_thread::sleep_for(kSettleTime);
  CHECK(deployment.SendRequest(0, {.path = "/pumps/1", .method = "POST"}).status != 200);
  deployment.RegisterEndpoint(*deployment.pumps.front());
  std::this_thread::sleep_for(kSettleTime);
  CHECK(deployment.SendRequest(0, {.path = "/pumps/1", .method = "POST"}).status == 200);
}

TEST_CASE("an endpoint that returns to a restored store stays known to daemons that do not watch") {
  RouterDeployment deployment{2, 1, 0};
  deployment.store.SaveCopy();
  deployment.pumps.push_back(std::make_unique<sycamorestall::fakes::KeyEndpoint>("late", false));
  deployment.RegisterEndpoint(*deployment.pumps.front());
  REQUIRE(deployment.WaitUntilServed());
  std::this_thread::sleep_for(kSettleTime);
  deployment.WriteConfig(2, "/pumps/");
  deployment.store.RestoreCopy();
  std::this_thread::sleep_for(milliseconds{1000});
  deployment.RegisterEndpoint(*deployment.pumps.front());
  std::this_thread::sleep_for(milliseconds{3000});
  for (const std::size_t daemon : {0, 1}) {
    CAPTURE(daemon);
    CHECK(deployment.SendRequest(daemon, {.path = "/pumps/1", .method = "POST"}).status == 200);
  }
}

TEST_CASE("a domain whose daemons the store turns away learns of changes from other domains") {
  using Change = std::function<void(RouterDeployment&)>;
  struct Row {
    std::string name;
    Change change;
    std::string path;
    int expected_status;
  };
  const Row rows[] = {
      {"configuration", [](RouterDeployment& deployment) { deployment.WriteConfig(2, "/later/"); },
       "/later/1", 200},
      {"removed endpoint",
       [](RouterDeployment& deployment) { deployment.DeregisterEndpoint(*deployment.pumps[0]); },
       "/pumps/1", 503},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RouterDeployment deployment{2, 1, 1, ConnectionKind::kProxied, {}, {"north", "south"}};
    REQUIRE(deployment.WaitUntilServed());
    std::this_thread::sleep_for(kSettleTime);
    deployment.StoreProxy(1).SetFault(ProxyFault::kReset);
    std::this_thread::sleep_for(kSettleTime);
    row.change(deployment);
    std::this_thread::sleep_for(milliseconds{2000});
    CHECK(deployment.SendRequest(1, {.path = row.path, .method = "POST"}).status ==
          row.expected_status);
  }
}

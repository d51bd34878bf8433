#include <doctest/doctest.h>

#include <chrono>
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

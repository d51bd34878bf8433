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

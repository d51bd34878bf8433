#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

#include "router/router_deployment.h"

using namespace sycamorestall::testing;  // NOLINT
using std::chrono::milliseconds;

namespace {

// A long configuration: 600 KB as the store sends it.
constexpr int kRoutes = 2500;
constexpr int kFirstVersion = 2;
constexpr int kLastVersion = 7;
constexpr milliseconds kWriteInterval{300};
// The time within which a configuration has to take effect.
constexpr milliseconds kApplyBound{2500};

}  // namespace

TEST_CASE("a slow link to the store does not delay the latest of several configurations") {
  struct Row {
    std::string name;
    int daemons;
    // The daemon with the slow link, which does not watch the store if there are others.
    std::size_t slow_daemon;
    std::size_t bytes_per_second;
  };
  const Row rows[] = {{"receives updates", 2, 1, 200'000}, {"watches the store", 1, 0, 700'000}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RouterDeployment deployment{row.daemons, 1, 1, ConnectionKind::kProxied};
    deployment.WriteConfig(kFirstVersion, "/v2/", kRoutes);
    REQUIRE(deployment.WaitUntilServed());
    for (int daemon = 0; daemon < row.daemons; ++daemon) {
      const auto number = static_cast<std::size_t>(daemon);
      REQUIRE(deployment.ServesPumpsWithin(number, "/v2/", milliseconds{5000}));
    }
    std::this_thread::sleep_for(milliseconds{1500});
    deployment.StoreProxy(row.slow_daemon).SetAnswerRate(row.bytes_per_second);
    std::string prefix;
    for (int version = kFirstVersion + 1; version <= kLastVersion; ++version) {
      prefix = "/v" + std::to_string(version) + "/";
      deployment.WriteConfig(version, prefix, kRoutes);
      std::this_thread::sleep_for(kWriteInterval);
    }
    CHECK(deployment.ServesPumpsWithin(row.slow_daemon, prefix, kApplyBound - kWriteInterval));
  }
}

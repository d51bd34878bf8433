// Requests while endpoints have just started and bear few.

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

#include "router/router_deployment.h"

using namespace sycamorestall;           // NOLINT
using namespace sycamorestall::testing;  // NOLINT

namespace {

using Clock = std::chrono::steady_clock;
constexpr double kColdRate = 2;

// Starts a deployment whose endpoints bear few requests when cold, and waits until it is in force.
void StartLimited(RouterDeployment& deployment) {
  REQUIRE(deployment.WaitUntilServed());
  deployment.cold_rate = kColdRate;
  deployment.WriteConfig(2, "/pumps2/");
  REQUIRE(deployment.ServesPumpsWithin(0, "/pumps2/", std::chrono::seconds{5}));
  REQUIRE(deployment.ServesPumpsWithin(1, "/pumps2/", std::chrono::seconds{5}));
  std::this_thread::sleep_for(std::chrono::seconds{2});
}

// Whether a daemon learns within the time that an endpoint is cold. A busy machine delays that.
bool LearnsThatCold(const RouterDeployment& deployment, std::size_t daemon, const std::string& id) {
  for (const auto begin = Clock::now(); Clock::now() - begin < std::chrono::seconds{4};) {
    if (deployment.ReadLog(daemon).find("endpoint cold id=" + id) != std::string::npos) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
  }
  return false;
}

}  // namespace

// Guards against daemons that send a restarted endpoint what they send to a warm one.
TEST_CASE("a restarted endpoint gets few requests from all daemons, and others serve the rest") {
  RouterDeployment deployment{2, 1, 2};
  StartLimited(deployment);
  fakes::KeyEndpoint& restarted = *deployment.pumps[0];
  deployment.RegisterEndpoint(restarted, "ready", 2);
  REQUIRE(LearnsThatCold(deployment, 0, "pump-0"));
  REQUIRE(LearnsThatCold(deployment, 1, "pump-0"));
  const int before = restarted.ArrivalCount();
  int sent = 0;
  const CallerRequest call{.path = "/pumps2/1", .method = "POST"};
  for (const auto begin = Clock::now(); Clock::now() - begin < std::chrono::seconds{1};) {
    CHECK(deployment.SendRequest(static_cast<std::size_t>(sent++ % 2), call).status == 200);
  }
  CHECK(sent > 20);
  CHECK(restarted.ArrivalCount() - before <= kColdRate);
  std::this_thread::sleep_for(std::chrono::seconds{3});
  // Warm again, it takes all that another endpoint does not want.
  deployment.pumps[1]->SetFault(fakes::EndpointFault::kFull);
  deployment.pumps[1]->SetRetryAfter("30");
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) {
    CHECK(deployment.SendRequest(0, call).status == 200);
  }
  CHECK(restarted.ArrivalCount() - before >= kRequests);
  CHECK(deployment.FetchMetrics(0).find("cold_endpoints 0") != std::string::npos);
}

// Guards against requests for keys that pass by the limit, and against refusals without a time.
TEST_CASE("requests for the keys of a cold owner are refused with a time to retry") {
  RouterDeployment deployment{2, 1, 1};
  StartLimited(deployment);
  deployment.RegisterEndpoint(*deployment.soil[0], "ready", 2);
  REQUIRE(LearnsThatCold(deployment, 0, "soil-0"));
  int refused = 0;
  const int before = deployment.soil[0]->ArrivalCount();
  for (int i = 0; i < 20; ++i) {
    const CallerAnswer answer = deployment.SendRequest(0, {.key = 7});
    if (answer.status == 503) {
      ++refused;
      CHECK(std::stod(answer.retry_after) > 0);
      CHECK(std::stod(answer.retry_after) <= 1.5);
    }
  }
  CHECK(refused >= 18);
  CHECK(deployment.soil[0]->ArrivalCount() - before <= 1);
  CHECK(deployment.ReadLog(0).find("owner cold") != std::string::npos);
  std::this_thread::sleep_for(std::chrono::seconds{3});
  CHECK(deployment.SendRequest(0, {.key = 7}).status == 200);
  CHECK(deployment.SendRequest(0, {.key = 7}).status == 200);
}

// Guards against daemons that do not watch the store and miss that an endpoint is cold again, and
// against entries that are relayed again and again while a warm-up runs down.
TEST_CASE("a warm-up that begins anew becomes known to all daemons, once") {
  constexpr std::size_t kDaemons = 3;
  RouterDeployment deployment{kDaemons, 1, 2};
  StartLimited(deployment);
  for (const double left_s : {3.0, 2.5, 2.0, 1.5, 1.0}) {
    deployment.RegisterEndpoint(*deployment.pumps[0], "ready", 1, "north", left_s);
    std::this_thread::sleep_for(std::chrono::milliseconds{500});
  }
  for (std::size_t i = 0; i < kDaemons; ++i) {
    CAPTURE(i);
    const std::string log = deployment.ReadLog(i);
    const std::size_t first = log.find("endpoint cold id=pump-0");
    CHECK(first != std::string::npos);
    CHECK(log.find("endpoint cold id=pump-0", first + 1) == std::string::npos);
  }
}

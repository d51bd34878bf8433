#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "router/router_deployment.h"

using namespace sycamorestall::testing;  // NOLINT

namespace {

constexpr char kEvacuateNorth[] = "op/evacuate/north";
constexpr char kEvacuateSouth[] = "op/evacuate/south";
// Within this time of the operator's write all daemons know of it.
constexpr std::chrono::milliseconds kLearningTime{1500};
// After this time no request may arrive at an evacuated endpoint.
constexpr std::chrono::milliseconds kEvacuationTime{5000};

// Sends requests without and with keys to the daemon; returns whether all were answered with the
// status, and with a time to retry unless they were served.
bool AllAnsweredWith(RouterDeployment& deployment, std::size_t daemon, int status) {
  bool all = true;
  for (const sycamorestall::KeyNumber key : {0U, 10'000U, 30'000U, 50'000U, 65'535U}) {
    const CallerAnswer by_key = deployment.SendRequest(daemon, {.key = key});
    const CallerAnswer other =
        deployment.SendRequest(daemon, {.path = "/pumps/1", .method = "POST"});
    for (const CallerAnswer& answer : {by_key, other}) {
      all = all && answer.status == status && answer.retry_after.empty() == (status == 200);
    }
  }
  return all;
}

int Arrivals(const RouterDeployment& deployment) {
  return deployment.soil[0]->ArrivalCount() + deployment.soil[1]->ArrivalCount() +
         deployment.pumps[0]->ArrivalCount();
}

}  // namespace

// Guards against a daemon that sends requests to an evacuated domain: one that watches the store,
// one that follows its updates, and one that starts during the evacuation.
TEST_CASE("no daemon sends requests to an evacuated domain, and all are served elsewhere") {
  RouterDeployment deployment{2, 3, 2};
  deployment.RegisterEndpoint(*deployment.soil[2], "ready", 1, "south");
  deployment.RegisterEndpoint(*deployment.pumps[1], "ready", 1, "south");
  REQUIRE(deployment.WaitUntilServed());
  for (const std::size_t daemon : {0, 1}) {
    REQUIRE(AllAnsweredWith(deployment, daemon, 200));
  }
  deployment.store.Put(kEvacuateNorth, "{}");
  std::this_thread::sleep_for(kLearningTime);
  const int pump_arrivals = deployment.pumps[0]->ArrivalCount();
  std::this_thread::sleep_for(kEvacuationTime - kLearningTime);
  const int arrivals = Arrivals(deployment);
  for (const std::size_t daemon : {0, 1}) {
    CAPTURE(daemon);
    CHECK(AllAnsweredWith(deployment, daemon, 200));
    CHECK(deployment.ReadLog(daemon).find("evacuation begun domain=north") != std::string::npos);
    CHECK(deployment.FetchMetrics(daemon).find("sycamorestall_evacuated_domains 1") !=
          std::string::npos);
  }
  deployment.SendSignal(0, SIGKILL);
  deployment.WaitForExit(0);
  deployment.StartDaemon(0);
  CHECK(deployment.WaitUntilServed());
  CHECK(AllAnsweredWith(deployment, 0, 200));
  CHECK(deployment.pumps[0]->ArrivalCount() == pump_arrivals);
  CHECK(Arrivals(deployment) == arrivals);
}

// Guards against requests that wait for endpoints which are all evacuated, and against daemons that
// do not use them again.
TEST_CASE("requests are refused at once while all domains are evacuated, and then served again") {
  RouterDeployment deployment{2, 3, 2};
  deployment.RegisterEndpoint(*deployment.soil[2], "ready", 1, "south");
  REQUIRE(deployment.WaitUntilServed());
  deployment.store.Put(kEvacuateNorth, "{}");
  deployment.store.Put(kEvacuateSouth, "{}");
  std::this_thread::sleep_for(kLearningTime);
  // No endpoint may take the keys, whose requests still go to their owners.
  CHECK(deployment.SendRequest(0, {.key = 30'000}).status == 200);
  CHECK(deployment.SendRequest(0, {.path = "/pumps/1", .method = "POST"}).status == 503);
  std::this_thread::sleep_for(kEvacuationTime - kLearningTime);
  const int arrivals = Arrivals(deployment);
  for (const std::size_t daemon : {0, 1}) {
    const auto begin = std::chrono::steady_clock::now();
    CHECK(AllAnsweredWith(deployment, daemon, 503));
    // Ten requests, none of which waits for its owner or its timeout.
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds{1});
    CHECK(deployment.FetchMetrics(daemon).find("sycamorestall_requests_refused_evacuated_total") !=
          std::string::npos);
  }
  CHECK(Arrivals(deployment) == arrivals);
  deployment.store.Remove(kEvacuateNorth);
  deployment.store.Remove(kEvacuateSouth);
  CHECK(deployment.WaitUntilServed());
  for (const std::size_t daemon : {0, 1}) {
    CHECK(AllAnsweredWith(deployment, daemon, 200));
  }
}

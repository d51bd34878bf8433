#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "http/http_client.h"
#include "process/deployment.h"

using namespace sycamorestall;           // NOLINT
using namespace sycamorestall::testing;  // NOLINT

namespace {

using nlohmann::json;

constexpr std::chrono::seconds kMaxTimeUntilInForce{10};

http::CallResult PutPlans(const std::string& origin, std::uint64_t expected_version,
                          const std::string& change_id, int max_in_flight) {
  http::Call call;
  call.method = http::Method::kPut;
  call.url = origin + "/v1/plans";
  call.timeout = std::chrono::seconds{8};
  call.body = json{{"expected_version", expected_version},
                   {"change_id", change_id},
                   {"author", change_id},
                   {"document", {{"plans", {{"large", {{"max_in_flight", max_in_flight}}}}}}}}
                  .dump();
  return http::CallAndWait(std::move(call));
}

std::uint64_t PlansVersionAt(const std::string& origin) {
  http::Call call;
  call.url = origin + "/v1/plans";
  const json body = json::parse(http::CallAndWait(std::move(call)).body, nullptr, false);
  return body.is_object() ? body.value("version", std::uint64_t{0}) : 0;
}

// Waits until every daemon has the version in force and returns the time taken.
std::chrono::milliseconds TimeUntilInForce(const Deployment& deployment, std::uint64_t version) {
  const auto start = std::chrono::steady_clock::now();
  for (const std::string& origin : deployment.origins()) {
    while (PlansVersionAt(origin) < version &&
           std::chrono::steady_clock::now() < start + 2 * kMaxTimeUntilInForce) {
      std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               start);
}

}  // namespace

TEST_CASE("of concurrent edits one wins, and the other operators are told the winner") {
  Deployment deployment{DeploymentOptions{}};
  REQUIRE(deployment.WaitUntilServed());
  const std::vector<std::string> origins = deployment.origins();
  std::vector<std::future<http::CallResult>> pending_edits;
  for (std::size_t i = 0; i < origins.size(); ++i) {
    pending_edits.push_back(std::async(std::launch::async, [&, i] {
      return PutPlans(origins[i], 1, "operator-" + std::to_string(i), 100 + static_cast<int>(i));
    }));
  }
  int accepted = 0;
  std::string winner;
  std::vector<std::string> reported_winners;
  for (std::size_t i = 0; i < pending_edits.size(); ++i) {
    const http::CallResult result = pending_edits[i].get();
    if (result.status == 200) {
      ++accepted;
      winner = "operator-" + std::to_string(i);
      continue;
    }
    CHECK(result.status == 409);
    reported_winners.push_back(json::parse(result.body).at("winner").value("author", ""));
  }
  CHECK(accepted == 1);
  for (const std::string& author : reported_winners) {
    CHECK(author == winner);
  }
  const auto elapsed = TimeUntilInForce(deployment, 2);
  MESSAGE("in force everywhere after ", elapsed.count(), " ms");
  CHECK(elapsed <= kMaxTimeUntilInForce);
}

TEST_CASE("a config change survives lost replies, outages and lagging reads and never reverts") {
  Deployment deployment{DeploymentOptions{}};
  REQUIRE(deployment.WaitUntilServed());
  const std::string first_origin = deployment.origins().front();

  deployment.SetPlatformFaults(R"({"loses_write_replies":true})");
  CHECK(PutPlans(first_origin, 1, "lost", 50).status == 200);
  CHECK(PutPlans(first_origin, 1, "lost", 50).status == 200);
  deployment.SetPlatformFaults(R"({"loses_write_replies":false})");
  CHECK(PlansVersionAt(first_origin) == 2);

  deployment.SetPlatformFaults(R"({"outage":true})");
  CHECK(PutPlans(first_origin, 2, "outage", 60).status == 503);
  CHECK(PlansVersionAt(first_origin) == 2);
  // A daemon that restarts during the outage gets the configuration from its peers.
  const std::string restarted_daemon = deployment.DaemonNames().back();
  deployment.Kill(restarted_daemon, false);
  deployment.StartDaemon(restarted_daemon);
  const auto catch_up_time = TimeUntilInForce(deployment, 2);
  MESSAGE("restarted daemon caught up from its peers after ", catch_up_time.count(), " ms");
  CHECK(catch_up_time <= kMaxTimeUntilInForce);
  deployment.SetPlatformFaults(R"({"outage":false})");

  CHECK(PutPlans(first_origin, 2, "third", 70).status == 200);
  CHECK(TimeUntilInForce(deployment, 3) <= kMaxTimeUntilInForce);
  // Reads that lag by minutes return version 1 or none; no daemon reverts to it.
  deployment.SetPlatformFaults(R"({"read_lag_ms":600000})");
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{5};
  while (std::chrono::steady_clock::now() < end) {
    for (const std::string& origin : deployment.origins()) {
      CHECK(PlansVersionAt(origin) == 3);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
  }
}

TEST_CASE("a domain catches up with the configuration after a partition") {
  Deployment deployment{DeploymentOptions{}};
  REQUIRE(deployment.WaitUntilServed());
  deployment.PartitionDomain("north", {"south"});
  deployment.PartitionFromPlatform({"daemon-north-0", "daemon-north-1"});
  CHECK(PutPlans(deployment.origin("daemon-south-0"), 1, "meanwhile", 80).status == 200);
  std::this_thread::sleep_for(std::chrono::seconds{2});
  CHECK(PlansVersionAt(deployment.origin("daemon-north-0")) == 1);
  deployment.PartitionDomain("north", {});
  deployment.PartitionFromPlatform({});
  const auto elapsed = TimeUntilInForce(deployment, 2);
  MESSAGE("caught up after ", elapsed.count(), " ms");
  CHECK(elapsed <= kMaxTimeUntilInForce);
}

TEST_CASE("an invalid document is rejected with a reason and changes nothing") {
  Deployment deployment{DeploymentOptions{{"north"}, 1, 1, true, 1000, 6}};
  REQUIRE(deployment.WaitUntilServed());
  const std::string origin = deployment.origins().front();
  const http::CallResult result = PutPlans(origin, 1, "bad", 0);
  CHECK(result.status == 400);
  CHECK(result.body.find("max_in_flight must be a whole number") != std::string::npos);
  CHECK(PlansVersionAt(origin) == 1);
}

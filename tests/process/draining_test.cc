#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "http/http_client.h"
#include "process/deployment.h"

using namespace sycamorestall;           // NOLINT
using namespace sycamorestall::testing;  // NOLINT

namespace {

constexpr std::chrono::milliseconds kDrainDelay{2000};

std::uint64_t RunCountAt(const std::string& origin) {
  http::Call call;
  call.url = origin + "/record";
  return nlohmann::json::parse(http::CallAndWait(std::move(call)).body)
      .at("runs")
      .get<std::uint64_t>();
}

}  // namespace

TEST_CASE("a draining endpoint gets no new requests, and no request fails") {
  struct Row {
    std::string name;
    bool by_platform_list;
  };
  const Row rows[] = {{"as it reports itself", false}, {"as the platform lists it", true}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Deployment deployment{DeploymentOptions{}};
    REQUIRE(deployment.WaitUntilServed());
    fakes::CallerLoad load;
    load.origins = deployment.origins();
    load.service = "pumps";
    load.method = http::Method::kPost;
    load.commands = true;
    load.rate = 300;
    load.duration = std::chrono::milliseconds{5000};
    auto pending_report = std::async(std::launch::async, [&] { return RunCallers(load); });
    std::this_thread::sleep_for(std::chrono::milliseconds{1000});
    const std::string draining = deployment.OwnerOf("pumps", "aloe");
    const std::string origin = deployment.EndpointOrigin(draining);
    if (row.by_platform_list) {
      deployment.MarkDraining(draining);
    } else {
      deployment.SetEndpointFaults(draining, R"({"leaving":true})");
    }
    std::this_thread::sleep_for(kDrainDelay);
    const std::uint64_t runs_after_drain = RunCountAt(origin);
    const fakes::CallerReport report = pending_report.get();
    MESSAGE(row.name, ": ", FormatReport(report));
    CHECK(RunCountAt(origin) == runs_after_drain);
    CHECK(report.run == report.sent);
    CHECK(deployment.FindInvariantViolation() == std::string{});
  }
}

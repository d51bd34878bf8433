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

constexpr std::chrono::milliseconds kNoNewWorkAfter{2000};

std::uint64_t RunsAt(const std::string& origin) {
  http::Call call;
  call.url = origin + "/record";
  return nlohmann::json::parse(http::CallAndWait(std::move(call)).body)
      .at("runs")
      .get<std::uint64_t>();
}

}  // namespace

TEST_CASE("an endpoint that is leaving gets no new work, and nothing is cut off") {
  struct Row {
    std::string name;
    bool by_list;
  };
  const Row rows[] = {{"by its own word", false}, {"by the platform's list", true}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Deployment deployment{DeploymentPlan{}};
    REQUIRE(deployment.WaitUntilServed());
    fakes::CallerLoad load;
    load.origins = deployment.origins();
    load.service = "pumps";
    load.method = http::Method::kPost;
    load.commands = true;
    load.rate = 300;
    load.duration = std::chrono::milliseconds{5000};
    auto asking = std::async(std::launch::async, [&] { return RunCallers(load); });
    std::this_thread::sleep_for(std::chrono::milliseconds{1000});
    const std::string leaving = deployment.OwnerOf("pumps", "aloe");
    const std::string origin = deployment.EndpointOrigin(leaving);
    if (row.by_list) {
      deployment.MarkLeaving(leaving);
    } else {
      deployment.EndpointFaults(leaving, R"({"leaving":true})");
    }
    std::this_thread::sleep_for(kNoNewWorkAfter);
    const std::uint64_t runs = RunsAt(origin);
    const fakes::CallerReport report = asking.get();
    MESSAGE(row.name, ": ", FormatReport(report));
    CHECK(RunsAt(origin) == runs);
    CHECK(report.run == report.sent);
    CHECK(deployment.FindViolation() == std::string{});
  }
}

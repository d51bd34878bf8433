#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <string>
#include <thread>

#include "process/deployment.h"

using namespace sycamorestall;           // NOLINT
using namespace sycamorestall::testing;  // NOLINT

namespace {

// Four endpoints with two slots each, at 10 ms a read, run 800 reads a second.
constexpr double kReadCapacity = 800;
constexpr double kCommandRate = 200;
constexpr std::chrono::milliseconds kDuration{4000};

fakes::CallerReport RunCommandLoad(const Deployment& deployment) {
  fakes::CallerLoad load;
  load.origins = deployment.origins();
  load.service = "pumps";
  load.method = http::Method::kPost;
  load.commands = true;
  load.body_bytes = 20;
  load.rate = kCommandRate;
  load.duration = kDuration;
  return RunCallers(load);
}

fakes::CallerReport RunReadLoad(const Deployment& deployment, double rate) {
  fakes::CallerLoad load;
  load.origins = deployment.origins();
  load.service = "soil";
  load.rate = rate;
  load.duration = kDuration;
  load.timeout = std::chrono::milliseconds{1000};
  return RunCallers(load);
}

}  // namespace

TEST_CASE("a flood of reads leaves the latency of commands and the goodput of reads intact") {
  DeploymentOptions options;
  options.service_us = 10'000;
  options.slots = 2;
  Deployment deployment{options};
  REQUIRE(deployment.WaitUntilServed());
  const fakes::CallerReport baseline_commands = RunCommandLoad(deployment);
  MESSAGE("commands without a flood: ", FormatReport(baseline_commands));
  auto commands = std::async(std::launch::async, [&] { return RunCommandLoad(deployment); });
  const fakes::CallerReport flood_reads = RunReadLoad(deployment, 4 * kReadCapacity);
  const fakes::CallerReport flood_commands = commands.get();
  MESSAGE("reads at 4 times capacity: ", FormatReport(flood_reads));
  MESSAGE("commands during the flood: ", FormatReport(flood_commands));
  CHECK(flood_commands.run * 100 >= baseline_commands.run * 99);
  CHECK(flood_commands.LatencyQuantile(0.99) <= 2 * baseline_commands.LatencyQuantile(0.99));
  CHECK(flood_commands.wrong == 0U);
  CHECK(flood_reads.wrong == 0U);
  const double goodput =
      static_cast<double>(flood_reads.run) / std::chrono::duration<double>(kDuration).count();
  CHECK(goodput >= 0.9 * kReadCapacity);
  // Callers that are not served are told so before they time out.
  CHECK(flood_reads.no_answer * 100 <= flood_reads.sent);
}

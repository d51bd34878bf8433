#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <string>
#include <thread>

#include "process/deployment.h"

using namespace sycamorestall;           // NOLINT
using namespace sycamorestall::testing;  // NOLINT

namespace {

// Endpoints of 10 ms with two slots each run 800 reads a second in all.
constexpr double kCapacity = 800;
constexpr double kCommandRate = 200;
constexpr std::chrono::milliseconds kDuration{4000};

fakes::CallerReport AskCommands(const Deployment& deployment) {
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

fakes::CallerReport AskReads(const Deployment& deployment, double rate) {
  fakes::CallerLoad load;
  load.origins = deployment.origins();
  load.service = "soil";
  load.rate = rate;
  load.duration = kDuration;
  load.timeout = std::chrono::milliseconds{1000};
  return RunCallers(load);
}

}  // namespace

TEST_CASE("a flood of reads leaves commands their service and reads their capacity") {
  DeploymentPlan plan;
  plan.service_us = 10'000;
  plan.slots = 2;
  Deployment deployment{plan};
  REQUIRE(deployment.WaitUntilServed());
  const fakes::CallerReport calm = AskCommands(deployment);
  MESSAGE("commands without a flood: ", FormatReport(calm));
  auto commands = std::async(std::launch::async, [&] { return AskCommands(deployment); });
  const fakes::CallerReport flood = AskReads(deployment, 4 * kCapacity);
  const fakes::CallerReport flooded = commands.get();
  MESSAGE("reads at 4 times capacity: ", FormatReport(flood));
  MESSAGE("commands during the flood: ", FormatReport(flooded));
  CHECK(flooded.run * 100 >= calm.run * 99);
  CHECK(flooded.LatencyQuantile(0.99) <= 2 * calm.LatencyQuantile(0.99));
  CHECK(flooded.wrong == 0U);
  CHECK(flood.wrong == 0U);
  const double goodput =
      static_cast<double>(flood.run) / std::chrono::duration<double>(kDuration).count();
  CHECK(goodput >= 0.9 * kCapacity);
  // Whoever is not served hears so while it still listens.
  CHECK(flood.no_answer * 100 <= flood.sent);
}

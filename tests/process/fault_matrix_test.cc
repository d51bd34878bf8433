#include <doctest/doctest.h>
#include <signal.h>

#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "process/deployment.h"

using namespace sycamorestall;           // NOLINT
using namespace sycamorestall::testing;  // NOLINT

namespace {

constexpr std::chrono::milliseconds kMaxUnavailableTime{2000};
// A key of the group soil/north, which most of the faults affect. With two
// domains, the even ones of the 16 shards belong to the first domain.
constexpr const char* kTestedKey = "aloe";

void Sleep(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds{milliseconds});
}

fakes::CallerLoad MakeLoad(const Deployment& deployment, const std::string& service,
                           int duration_ms) {
  fakes::CallerLoad load;
  load.origins = deployment.origins();
  load.service = service;
  load.rate = 150;
  load.duration = std::chrono::milliseconds{duration_ms};
  load.timeout = std::chrono::seconds{3};
  load.commands = service == "pumps";
  load.method = load.commands ? http::Method::kPost : http::Method::kGet;
  load.body_bytes = load.commands ? 20 : 0;
  return load;
}

// A fault to inject while callers run and the recovery of kTestedKey is timed.
struct FaultCase {
  std::string name;
  bool endpoints_check_token;
  // Whether the key must be served again within kMaxUnavailableTime.
  bool recovery_guaranteed;
  std::function<void(Deployment&)> fault_injection;
};

std::string LeaderOfTestedKey(const Deployment& deployment) {
  return deployment.LeaderOf("soil/north", "daemon-south-0");
}

std::vector<FaultCase> FaultCases() {
  const auto kill_owner = [](Deployment& deployment) {
    deployment.Kill(deployment.OwnerOf("soil", kTestedKey), false);
  };
  const auto freeze_owner = [](Deployment& deployment) {
    const std::string owner = deployment.OwnerOf("soil", kTestedKey);
    deployment.Signal(owner, SIGSTOP);
    Sleep(2500);
    deployment.Signal(owner, SIGCONT);
  };
  const auto kill_leader = [](Deployment& deployment) {
    deployment.Kill(LeaderOfTestedKey(deployment), false);
  };
  const auto kill_and_deregister_leader = [](Deployment& deployment) {
    deployment.Kill(LeaderOfTestedKey(deployment), true);
  };
  const auto pause_leader = [](Deployment& deployment) {
    const std::string leader = LeaderOfTestedKey(deployment);
    deployment.Signal(leader, SIGSTOP);
    Sleep(3000);
    deployment.Signal(leader, SIGCONT);
  };
  const auto store_outage = [](Deployment& deployment) {
    deployment.SetPlatformFaults(R"({"outage":true})");
    Sleep(2500);
    deployment.SetPlatformFaults(R"({"outage":false})");
  };
  const auto kill_endpoint_with_lost_replies = [](Deployment& deployment) {
    deployment.SetPlatformFaults(R"({"loses_write_replies":true})");
    deployment.Kill(deployment.OwnerOf("soil", kTestedKey), false);
    Sleep(2500);
    deployment.SetPlatformFaults(R"({"loses_write_replies":false})");
  };
  const auto kill_endpoint_with_slow_store = [](Deployment& deployment) {
    deployment.SetPlatformFaults(R"({"slow_ms":700})");
    deployment.Kill(deployment.OwnerOf("soil", kTestedKey), false);
    Sleep(3000);
    deployment.SetPlatformFaults(R"({"slow_ms":0})");
  };
  const auto kill_leader_with_stale_list = [](Deployment& deployment) {
    deployment.SetPlatformFaults(R"({"list_lag_ms":5000})");
    deployment.Kill(LeaderOfTestedKey(deployment), true);
  };
  const auto kill_leader_and_endpoint = [](Deployment& deployment) {
    const std::string owner = deployment.OwnerOf("soil", kTestedKey);
    deployment.Kill(LeaderOfTestedKey(deployment), false);
    deployment.Kill(owner, false);
  };
  const auto kill_leader_in_outage = [](Deployment& deployment) {
    deployment.SetPlatformFaults(R"({"outage":true})");
    deployment.Kill(LeaderOfTestedKey(deployment), false);
    Sleep(1500);
    deployment.SetPlatformFaults(R"({"outage":false})");
  };
  return {{"endpoint killed", true, true, kill_owner},
          {"endpoint killed, tokens not checked", false, true, kill_owner},
          {"endpoint frozen and resumed", true, true, freeze_owner},
          {"endpoint frozen and resumed, tokens not checked", false, true, freeze_owner},
          {"leader killed", true, true, kill_leader},
          {"leader killed and deregistered, tokens not checked", false, false,
           kill_and_deregister_leader},
          {"leader paused and resumed", true, true, pause_leader},
          {"leader paused and resumed, tokens not checked", false, false, pause_leader},
          {"store outage", true, true, store_outage},
          {"endpoint killed, store replies lost", true, false, kill_endpoint_with_lost_replies},
          {"endpoint killed, store slow", true, false, kill_endpoint_with_slow_store},
          {"leader killed, list stale", true, true, kill_leader_with_stale_list},
          {"leader and endpoint killed", true, false, kill_leader_and_endpoint},
          {"store outage, leader killed", true, false, kill_leader_in_outage}};
}

}  // namespace

TEST_CASE("under faults keys have one owner, commands run at most once and outcomes are true") {
  for (const FaultCase& row : FaultCases()) {
    CAPTURE(row.name);
    DeploymentOptions options;
    options.endpoints_check_token = row.endpoints_check_token;
    Deployment deployment{options};
    REQUIRE(deployment.WaitUntilServed());
    constexpr int kLoadMs = 7000;
    auto reads = std::async(std::launch::async,
                            [&] { return RunCallers(MakeLoad(deployment, "soil", kLoadMs)); });
    auto commands = std::async(std::launch::async,
                               [&] { return RunCallers(MakeLoad(deployment, "pumps", kLoadMs)); });
    Sleep(500);
    auto fault_injection = std::async(std::launch::async, [&] { row.fault_injection(deployment); });
    Sleep(20);
    // Sends the request to a daemon of the other domain, which no fault kills.
    const auto unavailable =
        deployment.TimeUntilServed("soil", kTestedKey, deployment.origin("daemon-south-0"));
    fault_injection.get();
    const fakes::CallerReport read_report = reads.get();
    const fakes::CallerReport command_report = commands.get();
    MESSAGE(row.name, ": served again after ", unavailable.count(), " ms; reads ",
            FormatReport(read_report), "; commands ", FormatReport(command_report));
    CHECK(deployment.FindInvariantViolation() == std::string{});
    CHECK(deployment.FindFalseOutcome(command_report) == std::string{});
    CHECK(read_report.wrong == 0U);
    CHECK(command_report.wrong == 0U);
    if (row.recovery_guaranteed) {
      CHECK(unavailable <= kMaxUnavailableTime);
    }
  }
}

TEST_CASE("a partitioned domain continues to serve its own keys") {
  struct Partition {
    std::string name;
    bool from_domains;
    bool from_store;
  };
  const Partition partitions[] = {{"from the other domain", true, false},
                                  {"from the store", false, true},
                                  {"from both", true, true}};
  for (const Partition& partition : partitions) {
    CAPTURE(partition.name);
    Deployment deployment{DeploymentOptions{}};
    REQUIRE(deployment.WaitUntilServed());
    if (partition.from_domains) {
      deployment.PartitionDomain("north", {"south"});
    }
    if (partition.from_store) {
      deployment.PartitionFromPlatform({"daemon-north-0", "daemon-north-1"});
    }
    Sleep(1500);
    std::uint64_t served = 0;
    for (const std::string domain : {"north", "south"}) {
      fakes::CallerLoad load = MakeLoad(deployment, "soil", 3000);
      load.origins = deployment.DomainOrigins(domain);
      load.timeout = std::chrono::milliseconds{500};
      const fakes::CallerReport report = RunCallers(load);
      MESSAGE(partition.name, ", asked in ", domain, ": ", FormatReport(report));
      // Half of the keys belong to the other domain, which a partition makes unreachable.
      const std::uint64_t expected_percent = partition.from_domains ? 45 : 95;
      CHECK(report.run * 100 >= report.sent * expected_percent);
      CHECK(report.wrong == 0U);
      // Callers are told in time that their requests were not run.
      CHECK(report.no_answer * 100 <= report.sent);
      served += report.run;
    }
    deployment.PartitionDomain("north", {});
    deployment.PartitionFromPlatform({});
    CHECK(deployment.WaitUntilServed());
    CHECK(deployment.FindInvariantViolation() == std::string{});
    CHECK(served > 0U);
  }
}

TEST_CASE("a rolling restart of daemons under load interrupts no request") {
  Deployment deployment{DeploymentOptions{}};
  REQUIRE(deployment.WaitUntilServed());
  std::vector<std::string> never_restarted;
  for (const std::string& name : deployment.DaemonNames()) {
    if (!name.ends_with("-1")) {
      never_restarted.push_back(deployment.origin(name));
    }
  }
  fakes::CallerLoad reads_load = MakeLoad(deployment, "soil", 9000);
  fakes::CallerLoad commands_load = MakeLoad(deployment, "pumps", 9000);
  reads_load.origins = never_restarted;
  commands_load.origins = never_restarted;
  auto reads = std::async(std::launch::async, [&] { return RunCallers(reads_load); });
  auto commands = std::async(std::launch::async, [&] { return RunCallers(commands_load); });
  Sleep(500);
  for (const std::string domain : {"north", "south"}) {
    const std::string name = "daemon-" + domain + "-1";
    CHECK(deployment.Terminate(name) == 0);
    deployment.StartDaemon(name);
    Sleep(2000);
  }
  for (const fakes::CallerReport& report : {reads.get(), commands.get()}) {
    MESSAGE("restarts: ", FormatReport(report));
    CHECK(report.wrong == 0U);
    CHECK(report.no_answer == 0U);
    CHECK(report.run + report.not_run + report.unknown == report.sent);
    CHECK(deployment.FindFalseOutcome(report) == std::string{});
  }
  CHECK(deployment.FindInvariantViolation() == std::string{});
}

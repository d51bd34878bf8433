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

constexpr std::chrono::milliseconds kUnavailableBound{2000};
// A key of the group soil/north, which most faults strike: the shard decides the
// group, and an even shard of two domains' 16 belongs to the first.
constexpr const char* kKey = "aloe";

void Sleep(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds{milliseconds});
}

fakes::CallerLoad Load(const Deployment& deployment, const std::string& service, int duration_ms) {
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

// What a fault does to the deployment; it says which key's service is timed.
struct Row {
  std::string name;
  bool endpoints_check_token;
  // Whether the design promises that the key is served again within 2 s.
  bool promised;
  std::function<void(Deployment&)> fault;
};

std::string LeaderOfKey(const Deployment& deployment) {
  return deployment.LeaderOf("soil/north", "daemon-south-0");
}

std::vector<Row> Rows() {
  const auto kill_owner = [](Deployment& d) { d.Kill(d.OwnerOf("soil", kKey), false); };
  const auto freeze_owner = [](Deployment& d) {
    const std::string owner = d.OwnerOf("soil", kKey);
    d.Signal(owner, SIGSTOP);
    Sleep(2500);
    d.Signal(owner, SIGCONT);
  };
  const auto kill_leader = [](Deployment& d) { d.Kill(LeaderOfKey(d), false); };
  const auto kill_leader_listed_gone = [](Deployment& d) { d.Kill(LeaderOfKey(d), true); };
  const auto pause_leader = [](Deployment& d) {
    const std::string leader = LeaderOfKey(d);
    d.Signal(leader, SIGSTOP);
    Sleep(3000);
    d.Signal(leader, SIGCONT);
  };
  const auto store_outage = [](Deployment& d) {
    d.PlatformFaults(R"({"outage":true})");
    Sleep(2500);
    d.PlatformFaults(R"({"outage":false})");
  };
  const auto lost_replies = [](Deployment& d) {
    d.PlatformFaults(R"({"loses_write_replies":true})");
    d.Kill(d.OwnerOf("soil", kKey), false);
    Sleep(2500);
    d.PlatformFaults(R"({"loses_write_replies":false})");
  };
  const auto slow_store = [](Deployment& d) {
    d.PlatformFaults(R"({"slow_ms":700})");
    d.Kill(d.OwnerOf("soil", kKey), false);
    Sleep(3000);
    d.PlatformFaults(R"({"slow_ms":0})");
  };
  const auto stale_list = [](Deployment& d) {
    d.PlatformFaults(R"({"list_lag_ms":5000})");
    d.Kill(LeaderOfKey(d), true);
  };
  const auto kill_both = [](Deployment& d) {
    const std::string owner = d.OwnerOf("soil", kKey);
    d.Kill(LeaderOfKey(d), false);
    d.Kill(owner, false);
  };
  const auto outage_and_leader = [](Deployment& d) {
    d.PlatformFaults(R"({"outage":true})");
    d.Kill(LeaderOfKey(d), false);
    Sleep(1500);
    d.PlatformFaults(R"({"outage":false})");
  };
  return {{"endpoint killed", true, true, kill_owner},
          {"endpoint killed, not checking", false, true, kill_owner},
          {"endpoint frozen and back", true, true, freeze_owner},
          {"endpoint frozen and back, not checking", false, true, freeze_owner},
          {"leader killed", true, true, kill_leader},
          {"leader killed and listed gone, not checking", false, false, kill_leader_listed_gone},
          {"leader paused and back", true, true, pause_leader},
          {"leader paused and back, not checking", false, false, pause_leader},
          {"store outage", true, true, store_outage},
          {"endpoint killed, replies of the store lost", true, false, lost_replies},
          {"endpoint killed, store slow", true, false, slow_store},
          {"leader killed, list stale", true, true, stale_list},
          {"leader and endpoint killed", true, false, kill_both},
          {"store outage, leader killed", true, false, outage_and_leader}};
}

}  // namespace

TEST_CASE("faults leave one owner a key, commands run at most once, and answers true") {
  for (const Row& row : Rows()) {
    CAPTURE(row.name);
    DeploymentPlan plan;
    plan.endpoints_check_token = row.endpoints_check_token;
    Deployment deployment{plan};
    REQUIRE(deployment.WaitUntilServed());
    constexpr int kLoadMs = 7000;
    auto reads = std::async(std::launch::async,
                            [&] { return RunCallers(Load(deployment, "soil", kLoadMs)); });
    auto commands = std::async(std::launch::async,
                               [&] { return RunCallers(Load(deployment, "pumps", kLoadMs)); });
    Sleep(500);
    auto fault = std::async(std::launch::async, [&] { row.fault(deployment); });
    Sleep(20);
    // A daemon of the other domain is asked, which no row kills.
    const auto unavailable =
        deployment.TimeUntilServed("soil", kKey, deployment.origin("daemon-south-0"));
    fault.get();
    const fakes::CallerReport read_report = reads.get();
    const fakes::CallerReport command_report = commands.get();
    MESSAGE(row.name, ": served again after ", unavailable.count(), " ms; reads ",
            FormatReport(read_report), "; commands ", FormatReport(command_report));
    CHECK(deployment.FindViolation() == std::string{});
    CHECK(deployment.FindLie(command_report) == std::string{});
    CHECK(read_report.wrong == 0U);
    CHECK(command_report.wrong == 0U);
    if (row.promised) {
      CHECK(unavailable <= kUnavailableBound);
    }
  }
}

TEST_CASE("a domain that is cut off goes on serving its own keys") {
  struct Cut {
    std::string name;
    bool from_domains;
    bool from_store;
  };
  const Cut cuts[] = {{"from the other domain", true, false},
                      {"from the store", false, true},
                      {"from both", true, true}};
  for (const Cut& cut : cuts) {
    CAPTURE(cut.name);
    Deployment deployment{DeploymentPlan{}};
    REQUIRE(deployment.WaitUntilServed());
    if (cut.from_domains) {
      deployment.CutDomain("north", {"south"});
    }
    if (cut.from_store) {
      deployment.CutFromPlatform({"daemon-north-0", "daemon-north-1"});
    }
    Sleep(1500);
    std::uint64_t served = 0;
    for (const std::string domain : {"north", "south"}) {
      fakes::CallerLoad load = Load(deployment, "soil", 3000);
      load.origins = deployment.OriginsOf(domain);
      load.timeout = std::chrono::milliseconds{500};
      const fakes::CallerReport report = RunCallers(load);
      MESSAGE(cut.name, ", asked in ", domain, ": ", FormatReport(report));
      // Half of the keys belong to the asked domain.
      const std::uint64_t share = cut.from_domains ? 45 : 95;
      CHECK(report.run * 100 >= report.sent * share);
      CHECK(report.wrong == 0U);
      // Callers hear in time that their requests were not run.
      CHECK(report.no_answer * 100 <= report.sent);
      served += report.run;
    }
    deployment.CutDomain("north", {});
    deployment.CutFromPlatform({});
    CHECK(deployment.WaitUntilServed());
    CHECK(deployment.FindViolation() == std::string{});
    CHECK(served > 0U);
  }
}

TEST_CASE("daemons that are restarted one by one under load cut no request off") {
  Deployment deployment{DeploymentPlan{}};
  REQUIRE(deployment.WaitUntilServed());
  std::vector<std::string> always;
  for (const std::string& name : deployment.DaemonNames()) {
    if (!name.ends_with("-1")) {
      always.push_back(deployment.origin(name));
    }
  }
  fakes::CallerLoad reads_load = Load(deployment, "soil", 9000);
  fakes::CallerLoad commands_load = Load(deployment, "pumps", 9000);
  reads_load.origins = always;
  commands_load.origins = always;
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
    CHECK(deployment.FindLie(report) == std::string{});
  }
  CHECK(deployment.FindViolation() == std::string{});
}

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "benchmarks.h"
#include "fakes/fake_callers.h"
#include "process/deployment.h"

namespace sycamorestall::bench {

namespace {

using fakes::CallerLoad;
using fakes::CallerReport;
using testing::Deployment;
using testing::DeploymentOptions;

constexpr std::chrono::milliseconds kDuration{4000};

// Processor time that another process has used, in seconds.
double ProcessCpuSecondsOf(pid_t process) {
  std::ifstream stat("/proc/" + std::to_string(process) + "/stat");
  std::string text;
  std::getline(stat, text);
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

CallerReport RunReadLoad(const std::vector<std::string>& origins, double rate,
                         const std::string& prefix, int threads) {
  CallerLoad load;
  load.origins = origins;
  load.path_prefix = prefix;
  load.service = "soil";
  load.rate = rate;
  load.duration = kDuration;
  load.threads = threads;
  return RunCallers(load);
}

void PrintRow(const char* name, double rate, const CallerReport& report, double reference_p50,
              double reference_p99) {
  std::printf("| %s | %.0f | %.0f | %.2f | %.2f | %.2f | %.2f | %llu |\n", name, rate,
              static_cast<double>(report.run) / std::chrono::duration<double>(kDuration).count(),
              report.LatencyQuantile(0.5), report.LatencyQuantile(0.99),
              report.LatencyQuantile(0.5) - reference_p50,
              report.LatencyQuantile(0.99) - reference_p99,
              static_cast<unsigned long long>(report.sent - report.run));  // NOLINT
}

void PrintTableHeader(const char* title) {
  std::printf(
      "### %s\n\n| way | asked a second | run a second | p50 ms | p99 ms | added p50 | "
      "added p99 | not run or late |\n|---|---|---|---|---|---|---|---|\n",
      title);
}

}  // namespace

void MeasurePath() {
  DeploymentOptions options;
  options.daemons_per_domain = 1;
  options.endpoints_per_domain = 4;
  options.slots = 64;
  Deployment deployment{options};
  if (!deployment.WaitUntilServed()) {
    std::printf("the deployment was not served in time\n");
    return;
  }
  const std::vector<std::string> endpoint_origins = deployment.EndpointOrigins("soil");
  const std::vector<std::string> daemon_origins = deployment.origins();
  std::printf(
      "## Path: two daemons, eight endpoints of 1 ms, all on one machine with the callers\n\n");
  PrintTableHeader(
      "Latency and throughput of reads compared with direct requests, all decisions logged");
  for (const double rate : {500.0, 2000.0, 5000.0, 10000.0, 20000.0}) {
    const int threads = rate > 4000 ? 2 : 1;
    const CallerReport direct_report = RunReadLoad(endpoint_origins, rate, "/straight/", threads);
    PrintRow("straight", rate, direct_report, direct_report.LatencyQuantile(0.5),
             direct_report.LatencyQuantile(0.99));
    double cpu_before = 0;
    for (const std::string& name : deployment.DaemonNames()) {
      cpu_before += ProcessCpuSecondsOf(deployment.ProcessId(name));
    }
    const CallerReport daemon_report = RunReadLoad(daemon_origins, rate, "", threads);
    double cpu_seconds = -cpu_before;
    for (const std::string& name : deployment.DaemonNames()) {
      cpu_seconds += ProcessCpuSecondsOf(deployment.ProcessId(name));
    }
    PrintRow("two daemons", rate, daemon_report, direct_report.LatencyQuantile(0.5),
             direct_report.LatencyQuantile(0.99));
    std::printf("| two daemons: processor time a request, us | | %.1f | | | | | |\n",
                cpu_seconds * 1e6 / static_cast<double>(daemon_report.sent));
  }
  std::printf("\n");
}

}  // namespace sycamorestall::bench

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <string>

#include "fakes/fake_callers.h"
#include "fakes/fake_endpoint.h"
#include "fakes/fake_platform.h"

namespace {

// Waits for one of the signals. They must be blocked before any thread starts, so that no
// other thread receives them.
void WaitForStopSignal(const sigset_t& signals) {
  int signal = 0;
  sigwait(&signals, &signal);
}

sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Stand-ins for the platform and for endpoints, for tests and demonstrations."};
  app.require_subcommand(1);
  sycamorestall::http::ServerSettings server;
  server.max_body_bytes = 64ULL << 20;
  CLI::App* platform = app.add_subcommand("platform", "Runs a store and a list of instances.");
  platform->add_option("--port", server.port, "Port to listen on; 0 lets the system choose.");
  CLI::App* endpoint = app.add_subcommand("endpoint", "Runs an endpoint.");
  std::string id;
  sycamorestall::fakes::EndpointBehaviour behaviour;
  endpoint->add_option("--port", server.port, "Port to listen on; 0 lets the system choose.");
  endpoint->add_option("--id", id, "Name of the instance.")->required();
  endpoint->add_option("--service-us", behaviour.service_us, "Service time in microseconds.");
  endpoint->add_option("--slots", behaviour.slots, "Requests run at a time.");
  endpoint->add_option("--checks-token", behaviour.checks_token, "Whether old terms are refused.");
  endpoint->add_option("--journal", behaviour.journal, "File to write runs and grants to.");
  endpoint->add_option("--cold-factor", behaviour.cold_factor, "Slowness at the start.");
  endpoint->add_option("--warm-up-ms", behaviour.warm_up_ms, "How long it stays slow.");
  CLI::App* callers = app.add_subcommand("callers", "Asks daemons at a steady rate.");
  sycamorestall::fakes::CallerLoad load;
  std::int64_t duration_ms = load.duration.count();
  std::int64_t patience_ms = load.timeout.count();
  std::string method = "GET";
  callers->add_option("--origin", load.origins, "Origins of daemons.")->required();
  callers->add_option("--service", load.service, "The service to ask.")->required();
  callers->add_option("--customer", load.customer, "Who asks.");
  callers->add_option("--method", method, "GET, PUT or POST.");
  callers->add_option("--rate", load.rate, "Requests a second.");
  callers->add_option("--duration-ms", duration_ms, "How long to ask.");
  callers->add_option("--patience-ms", patience_ms, "How long a caller waits.");
  callers->add_option("--keys", load.keys, "Number of keys.");
  callers->add_option("--body-bytes", load.body_bytes, "Length of the bodies.");
  callers->add_flag("--commands", load.commands, "Send idempotency keys.");
  callers->add_option("--threads", load.threads, "Threads to ask from.");
  callers->add_option("--seed", load.seed, "Seed of the random keys.");
  CLI11_PARSE(app, argc, argv);
  if (callers->parsed()) {
    using sycamorestall::http::Method;
    load.method = method == "GET" ? Method::kGet : method == "PUT" ? Method::kPut : Method::kPost;
    load.duration = std::chrono::milliseconds{duration_ms};
    load.timeout = std::chrono::milliseconds{patience_ms};
    const auto report = sycamorestall::fakes::RunCallers(load);
    std::printf("%s\n", sycamorestall::fakes::FormatReport(report).c_str());
    return 0;
  }

  const sigset_t signals = BlockStopSignals();
  if (platform->parsed()) {
    sycamorestall::fakes::FakePlatform fake{server};
    fake.Start();
    std::printf("listening %d\n", fake.port());
    std::fflush(stdout);
    WaitForStopSignal(signals);
    fake.Stop();
    return 0;
  }
  sycamorestall::fakes::FakeEndpoint fake{id, server, behaviour};
  fake.Start();
  std::printf("listening %d\n", fake.port());
  std::fflush(stdout);
  WaitForStopSignal(signals);
  fake.Stop();
  return 0;
}

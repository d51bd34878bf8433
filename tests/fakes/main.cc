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
  CLI::App app{"Fake platform, endpoints and callers for tests and demonstrations."};
  app.require_subcommand(1);
  sycamorestall::http::ServerSettings server;
  server.max_body_bytes = 64ULL << 20;
  CLI::App* platform = app.add_subcommand(
      "platform", "Runs a fake platform: a key-value store and a list of instances.");
  platform->add_option("--port", server.port, "Port to listen on; 0 lets the system choose.");
  CLI::App* endpoint = app.add_subcommand("endpoint", "Runs a fake endpoint.");
  std::string id;
  sycamorestall::fakes::EndpointBehaviour behaviour;
  endpoint->add_option("--port", server.port, "Port to listen on; 0 lets the system choose.");
  endpoint->add_option("--id", id, "Id of the instance.")->required();
  endpoint->add_option("--service-us", behaviour.service_us, "Service time in microseconds.");
  endpoint->add_option("--slots", behaviour.slots, "Maximum number of concurrent requests.");
  endpoint->add_option("--checks-token", behaviour.checks_token,
                       "Whether older terms and orders are refused.");
  endpoint->add_option("--journal", behaviour.journal,
                       "File that logs shards owned and commands run.");
  endpoint->add_option("--cold-factor", behaviour.cold_factor,
                       "Factor on the service time at the start.");
  endpoint->add_option("--warm-up-ms", behaviour.warm_up_ms,
                       "Time in milliseconds until the factor is 1.");
  CLI::App* callers =
      app.add_subcommand("callers", "Sends requests to daemons at a constant rate.");
  sycamorestall::fakes::CallerLoad load;
  std::int64_t duration_ms = load.duration.count();
  std::int64_t timeout_ms = load.timeout.count();
  std::string method = "GET";
  callers->add_option("--origin", load.origins, "Origins of daemons, used in turn.")->required();
  callers->add_option("--service", load.service, "Service to request.")->required();
  callers->add_option("--customer", load.customer, "Customer that the requests name.");
  callers->add_option("--method", method, "HTTP method: GET, PUT or POST.");
  callers->add_option("--rate", load.rate, "Requests per second, to all origins together.");
  callers->add_option("--duration-ms", duration_ms, "Duration in milliseconds.");
  callers->add_option("--patience-ms", timeout_ms, "Time in milliseconds that a caller waits.");
  callers->add_option("--keys", load.keys, "Number of keys.");
  callers->add_option("--body-bytes", load.body_bytes, "Size of each request body in bytes.");
  callers->add_flag("--commands", load.commands, "Send an Idempotency-Key with each request.");
  callers->add_option("--threads", load.threads, "Number of client threads.");
  callers->add_option("--seed", load.seed, "Seed of the random keys.");
  CLI11_PARSE(app, argc, argv);
  if (callers->parsed()) {
    using sycamorestall::http::Method;
    load.method = method == "GET" ? Method::kGet : method == "PUT" ? Method::kPut : Method::kPost;
    load.duration = std::chrono::milliseconds{duration_ms};
    load.timeout = std::chrono::milliseconds{timeout_ms};
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

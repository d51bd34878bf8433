#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "http/http_client.h"

namespace sycamorestall::fakes {

// Load that the fake callers generate. They send at a constant rate whether or not
// answers arrive (open loop), as many independent callers do.
struct CallerLoad {
  // Origins of daemons, used in turn.
  std::vector<std::string> origins;
  std::string service;
  // Path before the key; empty for /v1/services/SERVICE/keys/.
  std::string path_prefix;
  std::string customer = "cafe";
  http::Method method = http::Method::kGet;
  // Requests per second, to all origins together.
  double rate = 100;
  std::chrono::milliseconds duration{1000};
  // Number of keys, chosen with equal probability.
  std::uint32_t keys = 1000;
  std::size_t body_bytes = 0;
  // How long a caller waits for an answer; sent as Sycamorestall-Timeout-Ms.
  std::chrono::milliseconds timeout{2000};
  // Callers disconnect after this time, although they announce the timeout above; 0: never.
  std::chrono::milliseconds disconnects_after{0};
  // Whether requests carry an Idempotency-Key.
  bool commands = false;
  // Number of client threads.
  int threads = 1;
  std::uint64_t seed = 1;
};

// Number of requests by result.
struct CallerReport {
  std::uint64_t sent = 0;
  std::uint64_t run = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  // No HTTP answer: connection refused or broken, or no answer before the timeout.
  std::uint64_t no_answer = 0;
  // Answers that belong to another request or are malformed.
  std::uint64_t wrong = 0;
  // Failed requests, by error code of the daemon or error message of the client.
  std::map<std::string, std::uint64_t> reasons;
  // Latencies of the requests that were run, in milliseconds, sorted.
  std::vector<double> latencies_ms;
  // Idempotency keys of the commands whose callers were told run or not-run.
  std::vector<std::string> commands_run;
  std::vector<std::string> commands_not_run;

  // Returns the latency quantile of the requests that were run, in milliseconds.
  double LatencyQuantile(double fraction) const;
};

// Generates the load and waits until every request has ended.
CallerReport RunCallers(const CallerLoad& load);

// Formats the report as JSON, without the individual latencies and keys.
std::string FormatReport(const CallerReport& report);

}  // namespace sycamorestall::fakes

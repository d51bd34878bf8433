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

// What the stand-in callers ask for. They ask at a steady rate whether or not
// answers come, as many independent callers would.
struct CallerLoad {
  // Origins of daemons, asked in turn.
  std::vector<std::string> origins;
  std::string service;
  // What stands before the key in the path, if not the daemons' form.
  std::string path_prefix;
  std::string customer = "cafe";
  http::Method method = http::Method::kGet;
  // Requests a second, all origins together.
  double rate = 100;
  std::chrono::milliseconds duration{1000};
  // How many keys there are; all are equally likely.
  std::uint32_t keys = 1000;
  std::size_t body_bytes = 0;
  // How long a caller waits before it gives up.
  std::chrono::milliseconds patience{2000};
  // When a caller closes its connection although it said to have more patience;
  // 0 for never.
  std::chrono::milliseconds leaves_after{0};
  // Whether requests carry an Idempotency-Key.
  bool commands = false;
  // Client threads.
  int threads = 1;
  std::uint64_t seed = 1;
};

// What came of the requests.
struct CallerReport {
  std::uint64_t asked = 0;
  std::uint64_t run = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  // No HTTP answer at all: refused, broken, or later than the patience.
  std::uint64_t no_answer = 0;
  // Answers that belong to another request or were cut short.
  std::uint64_t wrong = 0;
  // Requests by the reason that a daemon gave.
  std::map<std::string, std::uint64_t> reasons;
  // Latencies of requests that were run, in milliseconds, in order.
  std::vector<double> latencies_ms;
  // Idempotency keys by what their callers were told.
  std::vector<std::string> commands_run;
  std::vector<std::string> commands_not_run;

  // The latency that this share of the requests that were run stayed below.
  double Quantile(double share) const;
};

// Asks as the load says and waits until every request has ended.
CallerReport RunCallers(const CallerLoad& load);

// The report as JSON, without the single latencies and keys.
std::string WriteReport(const CallerReport& report);

}  // namespace sycamorestall::fakes

#include "fakes/fake_callers.h"

#include <algorithm>
#include <condition_variable>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "clock/system_clock.h"
#include "core/uuid_v7.h"

namespace sycamorestall::fakes {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

// One request that was asked.
struct Asked {
  std::string key;
  std::string command;
  std::size_t body_bytes = 0;
  Clock::time_point at;
};

// Gathers the report while answers come in on several threads.
class Tally {
 public:
  void Begin() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++report_.asked;
    ++open_;
  }

  void End(const Asked& asked, const http::CallResult& result) {
    const double milliseconds =
        std::chrono::duration<double, std::milli>(Clock::now() - asked.at).count();
    const std::lock_guard<std::mutex> lock(mutex_);
    Judge(asked, result, milliseconds);
    if (--open_ == 0) {
      done_.notify_all();
    }
  }

  CallerReport Wait() {
    std::unique_lock<std::mutex> lock(mutex_);
    done_.wait(lock, [this] { return open_ == 0; });
    std::sort(report_.latencies_ms.begin(), report_.latencies_ms.end());
    return std::move(report_);
  }

 private:
  void Judge(const Asked& asked, const http::CallResult& result, double milliseconds) {
    if (result.error) {
      ++report_.no_answer;
      ++report_.reasons[result.error.message()];
      return;
    }
    const std::string* outcome = http::FindHeader(result.headers, "Sycamorestall-Outcome");
    const json body = json::parse(result.body, nullptr, false);
    if (outcome == nullptr || !body.is_object()) {
      ++report_.wrong;
      return;
    }
    if (*outcome == "run") {
      const bool own = body.value("key", "") == asked.key &&
                       body.value("body_bytes", std::size_t{0}) == asked.body_bytes;
      ++(own ? report_.run : report_.wrong);
      report_.latencies_ms.push_back(milliseconds);
      Keep(asked, report_.commands_run);
      return;
    }
    const json error = body.value("error", json::object());
    ++report_.reasons[error.value("code", "no code")];
    if (*outcome == "not-run") {
      ++report_.not_run;
      Keep(asked, report_.commands_not_run);
    } else {
      ++report_.unknown;
    }
  }

  static void Keep(const Asked& asked, std::vector<std::string>& list) {
    if (!asked.command.empty()) {
      list.push_back(asked.command);
    }
  }

  std::mutex mutex_;
  std::condition_variable done_;
  std::uint64_t open_ = 0;
  CallerReport report_;
};

http::Call MakeCall(const CallerLoad& load, const std::string& origin, const Asked& asked) {
  http::Call call;
  call.method = load.method;
  const std::string prefix =
      load.path_prefix.empty() ? "/v1/services/" + load.service + "/keys/" : load.path_prefix;
  call.url = origin + prefix + asked.key;
  call.timeout = load.leaves_after.count() > 0 ? load.leaves_after : load.patience;
  call.idempotent = !load.commands;
  call.headers = {{"Sycamorestall-Customer", load.customer},
                  {"Sycamorestall-Timeout-Ms", std::to_string(load.patience.count())},
                  {"Content-Type", "application/octet-stream"}};
  if (load.commands) {
    call.headers.push_back({"Idempotency-Key", asked.command});
  }
  call.body.assign(load.body_bytes, 'x');
  return call;
}

}  // namespace

double CallerReport::Quantile(double share) const {
  if (latencies_ms.empty()) {
    return 0;
  }
  const auto place = static_cast<std::size_t>(share * static_cast<double>(latencies_ms.size()));
  return latencies_ms[std::min(place, latencies_ms.size() - 1)];
}

CallerReport RunCallers(const CallerLoad& load) {
  std::vector<std::unique_ptr<http::HttpClient>> clients;
  for (int i = 0; i < load.threads; ++i) {
    http::ClientSettings settings;
    settings.max_connections_per_host = 512;
    clients.push_back(std::make_unique<http::HttpClient>(settings));
  }
  Tally tally;
  std::mt19937_64 random(load.seed);
  const auto start = Clock::now();
  const auto gap = std::chrono::duration<double>(1 / load.rate);
  const auto total =
      static_cast<std::uint64_t>(load.rate * std::chrono::duration<double>(load.duration).count());
  for (std::uint64_t i = 0; i < total; ++i) {
    const auto due = start + std::chrono::duration_cast<Clock::duration>(gap * i);
    if (due > Clock::now()) {
      std::this_thread::sleep_until(due);
    }
    Asked asked;
    asked.key = "key-" + std::to_string(random() % load.keys);
    asked.body_bytes = load.body_bytes;
    if (load.commands) {
      asked.command = ToString(MakeUuidV7(WallNow(), random(), random()));
    }
    asked.at = due;
    tally.Begin();
    http::Call call = MakeCall(load, load.origins[i % load.origins.size()], asked);
    clients[i % clients.size()]->Start(
        std::move(call), [&tally, asked = std::move(asked)](const http::CallResult& result) {
          tally.End(asked, result);
        });
  }
  return tally.Wait();
}

std::string WriteReport(const CallerReport& report) {
  return json{{"asked", report.asked},          {"run", report.run},
              {"not_run", report.not_run},      {"unknown", report.unknown},
              {"no_answer", report.no_answer},  {"wrong", report.wrong},
              {"reasons", report.reasons},      {"p50_ms", report.Quantile(0.5)},
              {"p99_ms", report.Quantile(0.99)}}
      .dump();
}

}  // namespace sycamorestall::fakes

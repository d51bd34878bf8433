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

// A request that was sent.
struct SentRequest {
  std::string key;
  std::string command;
  std::size_t body_bytes = 0;
  // When it was due; latencies count from here, so they include a late start.
  Clock::time_point due_at;
};

// Collects the report from results that arrive on several threads.
class ReportCollector {
 public:
  void RecordSent() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++report_.sent;
    ++unfinished_;
  }

  void RecordResult(const SentRequest& request, const http::CallResult& result) {
    const double milliseconds =
        std::chrono::duration<double, std::milli>(Clock::now() - request.due_at).count();
    const std::lock_guard<std::mutex> lock(mutex_);
    Classify(request, result, milliseconds);
    if (--unfinished_ == 0) {
      all_finished_.notify_all();
    }
  }

  CallerReport Wait() {
    std::unique_lock<std::mutex> lock(mutex_);
    all_finished_.wait(lock, [this] { return unfinished_ == 0; });
    std::sort(report_.latencies_ms.begin(), report_.latencies_ms.end());
    return std::move(report_);
  }

 private:
  void Classify(const SentRequest& request, const http::CallResult& result, double milliseconds) {
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
      const bool matches = body.value("key", "") == request.key &&
                           body.value("body_bytes", std::size_t{0}) == request.body_bytes;
      ++(matches ? report_.run : report_.wrong);
      report_.latencies_ms.push_back(milliseconds);
      AppendCommand(request, report_.commands_run);
      return;
    }
    const json error = body.value("error", json::object());
    ++report_.reasons[error.value("code", "no code")];
    if (*outcome == "not-run") {
      ++report_.not_run;
      AppendCommand(request, report_.commands_not_run);
    } else {
      ++report_.unknown;
    }
  }

  static void AppendCommand(const SentRequest& request, std::vector<std::string>& list) {
    if (!request.command.empty()) {
      list.push_back(request.command);
    }
  }

  std::mutex mutex_;
  std::condition_variable all_finished_;
  std::uint64_t unfinished_ = 0;
  CallerReport report_;
};

http::Call MakeCall(const CallerLoad& load, const std::string& origin, const SentRequest& request) {
  http::Call call;
  call.method = load.method;
  const std::string prefix =
      load.path_prefix.empty() ? "/v1/services/" + load.service + "/keys/" : load.path_prefix;
  call.url = origin + prefix + request.key;
  call.timeout = load.disconnects_after.count() > 0 ? load.disconnects_after : load.timeout;
  call.idempotent = !load.commands;
  call.headers = {{"Sycamorestall-Customer", load.customer},
                  {"Sycamorestall-Timeout-Ms", std::to_string(load.timeout.count())},
                  {"Content-Type", "application/octet-stream"}};
  if (load.commands) {
    call.headers.push_back({"Idempotency-Key", request.command});
  }
  call.body.assign(load.body_bytes, 'x');
  return call;
}

}  // namespace

double CallerReport::LatencyQuantile(double fraction) const {
  if (latencies_ms.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(fraction * static_cast<double>(latencies_ms.size()));
  return latencies_ms[std::min(index, latencies_ms.size() - 1)];
}

CallerReport RunCallers(const CallerLoad& load) {
  std::vector<std::unique_ptr<http::HttpClient>> clients;
  for (int i = 0; i < load.threads; ++i) {
    http::ClientSettings settings;
    settings.max_connections_per_host = 512;
    clients.push_back(std::make_unique<http::HttpClient>(settings));
  }
  ReportCollector collector;
  std::mt19937_64 random(load.seed);
  const auto start = Clock::now();
  const auto interval = std::chrono::duration<double>(1 / load.rate);
  const auto total =
      static_cast<std::uint64_t>(load.rate * std::chrono::duration<double>(load.duration).count());
  for (std::uint64_t i = 0; i < total; ++i) {
    const auto due = start + std::chrono::duration_cast<Clock::duration>(interval * i);
    if (due > Clock::now()) {
      std::this_thread::sleep_until(due);
    }
    SentRequest request;
    request.key = "key-" + std::to_string(random() % load.keys);
    request.body_bytes = load.body_bytes;
    if (load.commands) {
      request.command = ToString(MakeUuidV7(WallNow(), random(), random()));
    }
    request.due_at = due;
    collector.RecordSent();
    http::Call call = MakeCall(load, load.origins[i % load.origins.size()], request);
    clients[i % clients.size()]->StartCall(
        std::move(call),
        [&collector, request = std::move(request)](const http::CallResult& result) {
          collector.RecordResult(request, result);
        });
  }
  return collector.Wait();
}

std::string FormatReport(const CallerReport& report) {
  return json{{"asked", report.sent},
              {"run", report.run},
              {"not_run", report.not_run},
              {"unknown", report.unknown},
              {"no_answer", report.no_answer},
              {"wrong", report.wrong},
              {"reasons", report.reasons},
              {"p50_ms", report.LatencyQuantile(0.5)},
              {"p99_ms", report.LatencyQuantile(0.99)}}
      .dump();
}

}  // namespace sycamorestall::fakes

#include "fakes/fake_endpoint.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "clock/system_clock.h"
#include "endpoint/order_json.h"
#include "http/status.h"
#include "http/url.h"

namespace sycamorestall::fakes {

namespace {

using nlohmann::json;

constexpr int kCrashStatus = 86;

std::int64_t NowNs() { return BootNow().time_since_epoch().count(); }

http::Response MakeResponse(std::uint16_t status, std::string body, const char* outcome) {
  http::Response response;
  response.status = status;
  response.content_type = "application/json";
  response.body = std::move(body);
  response.headers.push_back({"Endpoint-Outcome", outcome});
  return response;
}

std::uint64_t HeaderNumber(const http::Request& request, const char* name) {
  const std::string* text = request.header(name);
  return text == nullptr ? 0 : std::strtoull(text->c_str(), nullptr, 10);
}

std::string HeaderText(const http::Request& request, const char* name) {
  const std::string* text = request.header(name);
  return text == nullptr ? std::string{} : *text;
}

}  // namespace

FakeEndpoint::FakeEndpoint(std::string id, http::ServerSettings settings,
                           EndpointBehaviour behaviour)
    : id_(std::move(id)),
      started_ns_(NowNs()),
      behaviour_(std::move(behaviour)),
      grants_(Incarnation{static_cast<std::uint64_t>(started_ns_)}, behaviour_.checks_token),
      server_(std::move(settings), *this) {
  if (!behaviour_.journal.empty()) {
    journal_.open(behaviour_.journal, std::ios::app);
  }
}

void FakeEndpoint::WriteToJournal(const std::string& line) {
  if (journal_.is_open()) {
    journal_ << line << "\n" << std::flush;
  }
}

void FakeEndpoint::Handle(http::Request request, http::Responder responder) {
  if (request.path == "/faults") {
    ApplyFaults(request, responder);
    return;
  }
  if (request.path == "/record") {
    responder.Send(MakeResponse(http::kOk, FormatRecord(), "run"));
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (behaviour_.frozen) {
      deferred_requests_.emplace_back(std::move(request), responder);
      return;
    }
  }
  if (request.path == "/control/orders") {
    HandleOrder(request, responder);
  } else if (request.path == "/control/health") {
    responder.Send(MakeResponse(http::kOk, "{}", "run"));
  } else if (request.path.starts_with("/requests/")) {
    CancelRun(request.path.substr(std::string("/requests/").size()));
    responder.Send(MakeResponse(http::kOk, "{}", "run"));
  } else if (request.path.starts_with("/run/")) {
    HandleRun(request, responder);
  } else if (request.path.starts_with("/straight/")) {
    HandleBaselineRequest(request, responder);
  } else {
    responder.Send(MakeResponse(http::kNotFound, "{}", "not-run"));
  }
}

void FakeEndpoint::HandleOrder(const http::Request& request, const http::Responder& responder) {
  const std::optional<EndpointOrder> order = ParseOrder(request.body);
  if (!order) {
    responder.Send(MakeResponse(http::kBadRequest, "{}", "not-run"));
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::int64_t now = NowNs();
  const EndpointReply reply = grants_.ApplyOrder(now, *order);
  if (journal_.is_open()) {
    for (const OwnershipPeriod& each : grants_.CurrentPeriods()) {
      WriteToJournal("own " + std::to_string(each.shard.value) + " " +
                     std::to_string(each.epoch.value) + " " + std::to_string(each.from_ns) + " " +
                     std::to_string(each.until_ns));
    }
    for (const ShardId shard : order->revocations) {
      WriteToJournal("end " + std::to_string(shard.value) + " " + std::to_string(now));
    }
  }
  responder.Send(MakeResponse(http::kOk, FormatReply(reply), "run"));
}

std::int64_t FakeEndpoint::ServiceTime() const {
  const std::int64_t age_ms = (NowNs() - started_ns_) / 1'000'000;
  if (age_ms >= behaviour_.warm_up_ms) {
    return behaviour_.service_us;
  }
  const double remaining =
      1 - static_cast<double>(age_ms) / static_cast<double>(behaviour_.warm_up_ms);
  const double factor = 1 + (behaviour_.cold_factor - 1) * remaining;
  return static_cast<std::int64_t>(static_cast<double>(behaviour_.service_us) * factor);
}

void FakeEndpoint::HandleRun(const http::Request& request, const http::Responder& responder) {
  std::string key;
  http::DecodePercent(request.path.substr(std::string("/run/").size()), key);
  const ShardId shard{static_cast<std::uint32_t>(HeaderNumber(request, "Endpoint-Shard"))};
  const Epoch epoch{HeaderNumber(request, "Endpoint-Epoch")};
  const Term term{HeaderNumber(request, "Endpoint-Term")};
  std::unique_lock<std::mutex> lock(mutex_);
  if (!grants_.MayRun(NowNs(), shard, epoch, term)) {
    ++refused_;
    responder.Send(MakeResponse(http::kConflict, R"({"refused":"not the owner"})", "not-run"));
    return;
  }
  const bool full = static_cast<int>(running_.size()) >= behaviour_.slots;
  if (behaviour_.sheds || full) {
    ++shed_;
    responder.Send(MakeResponse(http::kServiceUnavailable, R"({"refused":"no slot"})", "not-run"));
    return;
  }
  const std::chrono::microseconds delay{ServiceTime()};
  const std::chrono::milliseconds deadline{HeaderNumber(request, "Endpoint-Deadline-Ms")};
  if (deadline.count() > 0 && delay > deadline) {
    ++too_late_;
    responder.Send(MakeResponse(http::kServiceUnavailable, R"({"refused":"too late"})", "not-run"));
    return;
  }
  ++runs_;
  const std::string command = HeaderText(request, "Idempotency-Key");
  if (!command.empty()) {
    ++command_runs_[command];
    WriteToJournal("run " + command);
  }
  if (!behaviour_.crash_key.empty() && key == behaviour_.crash_key) {
    std::_Exit(kCrashStatus);
  }
  const std::uint64_t number = next_run_++;
  const json body{{"key", key},
                  {"endpoint", id_},
                  {"shard", shard.value},
                  {"method", http::ToString(request.method)},
                  {"echo", HeaderText(request, "Endpoint-Echo")},
                  {"body_bytes", request.body.size()}};
  RunningRequest run{
      key,  command, shard, epoch, term, responder, MakeResponse(http::kOk, body.dump(), "run"),
      false};
  running_.emplace(number, std::move(run));
  by_request_id_[HeaderText(request, "Endpoint-Request")] = number;
  grants_.BeginRequest(shard);
  max_running_ = std::max(max_running_, static_cast<int>(running_.size()));
  lock.unlock();
  runner_.RunAfter(delay, [this, number] { FinishRun(number); });
}

void FakeEndpoint::HandleBaselineRequest(const http::Request& request,
                                         const http::Responder& responder) {
  const json body{{"key", request.path.substr(std::string("/straight/").size())},
                  {"body_bytes", request.body.size()}};
  http::Response response = MakeResponse(http::kOk, body.dump(), "run");
  response.headers.push_back({"Sycamorestall-Outcome", "run"});
  runner_.RunAfter(std::chrono::microseconds{behaviour_.service_us},
                   [responder, response] { responder.Send(response); });
}

void FakeEndpoint::FinishRun(std::uint64_t number) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = running_.find(number);
  if (found == running_.end()) {
    return;
  }
  const RunningRequest run = std::move(found->second);
  running_.erase(found);
  std::erase_if(by_request_id_, [number](const auto& entry) { return entry.second == number; });
  grants_.EndRequest(run.shard);
  const bool silent = !behaviour_.silent_key.empty() && run.key == behaviour_.silent_key;
  if (!silent) {
    run.responder.Send(run.answer);
  }
}

void FakeEndpoint::CancelRun(const std::string& request_id) {
  std::uint64_t number = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = by_request_id_.find(request_id);
    if (found == by_request_id_.end()) {
      return;
    }
    number = found->second;
    ++cancelled_;
  }
  FinishRun(number);
}

void FakeEndpoint::ApplyFaults(const http::Request& request, const http::Responder& responder) {
  std::vector<std::pair<http::Request, http::Responder>> released;
  try {
    const json faults = json::parse(request.body);
    const std::lock_guard<std::mutex> lock(mutex_);
    behaviour_.service_us = faults.value("service_us", behaviour_.service_us);
    behaviour_.slots = faults.value("slots", behaviour_.slots);
    behaviour_.sheds = faults.value("sheds", behaviour_.sheds);
    behaviour_.frozen = faults.value("frozen", behaviour_.frozen);
    behaviour_.leaving = faults.value("leaving", behaviour_.leaving);
    behaviour_.crash_key = faults.value("crash_key", behaviour_.crash_key);
    behaviour_.silent_key = faults.value("silent_key", behaviour_.silent_key);
    behaviour_.reports_zero_load = faults.value("lies", behaviour_.reports_zero_load);
    grants_.SetLeaving(behaviour_.leaving);
    if (!behaviour_.frozen) {
      released.swap(deferred_requests_);
    }
  } catch (const json::exception&) {
    responder.Send(MakeResponse(http::kBadRequest, "{}", "not-run"));
    return;
  }
  responder.Send(MakeResponse(http::kOk, "{}", "run"));
  for (auto& [deferred, deferred_responder] : released) {
    Handle(std::move(deferred), deferred_responder);
  }
}

std::string FakeEndpoint::FormatRecord() {
  const std::lock_guard<std::mutex> lock(mutex_);
  json commands_run_twice = json::array();
  for (const auto& [command, count] : command_runs_) {
    if (count > 1) {
      commands_run_twice.push_back(command);
    }
  }
  json commands = json::array();
  for (const auto& [command, count] : command_runs_) {
    commands.push_back(command);
  }
  json ownership = json::array();
  for (const OwnershipPeriod& each : grants_.OwnershipHistory(NowNs())) {
    ownership.push_back({each.shard.value, each.epoch.value, each.from_ns, each.until_ns});
  }
  return json{{"endpoint", id_},
              {"runs", runs_},
              {"refused", refused_},
              {"shed", shed_},
              {"cancelled", cancelled_},
              {"too_late", too_late_},
              {"most_running", max_running_},
              {"load", behaviour_.reports_zero_load ? 0 : running_.size()},
              {"commands", std::move(commands)},
              {"commands_run_twice", std::move(commands_run_twice)},
              {"ownership", std::move(ownership)}}
      .dump();
}

}  // namespace sycamorestall::fakes

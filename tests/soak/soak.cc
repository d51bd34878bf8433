#include "soak/soak.h"

#include <signal.h>

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

#include "router/keep_alive_caller.h"

namespace sycamorestall::testing {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kDaemons = 3;
constexpr int kSoilEndpoints = 4;
constexpr int kPumpEndpoints = 3;
constexpr int kCallers = 4;
constexpr int kKeys = 24;
constexpr milliseconds kPollInterval{20};
// The mean interval is half of this: two faults a second.
constexpr int kMaxFaultIntervalMs = 1000;
constexpr int kCallerTimeoutMs = 1200;
// After the last fault, grants of lost leaders must expire and keys get owners.
constexpr std::chrono::seconds kRecoveryTime{18};
constexpr std::chrono::seconds kMeasurementTime{4};
// A request may still run for this long after its caller timed out.
constexpr std::chrono::seconds kRequestDrainTime{4};
constexpr int kMinFaultMs = 200;
constexpr int kFaultRangeMs = 5000;

KeyNumber KeyOf(int number) { return static_cast<KeyNumber>(number) * (kKeyCount / kKeys) + 7; }

}  // namespace

Soak::Soak(std::uint64_t seed)
    : random_(seed),
      deployment_(kDaemons, kSoilEndpoints, kPumpEndpoints, ConnectionKind::kProxied),
      has_fault_(kDaemons, false),
      endpoint_starts_(kSoilEndpoints + kPumpEndpoints, 1) {}

int Soak::RandomBelow(int below) {
  return std::uniform_int_distribution<int>{0, below - 1}(random_);
}

void Soak::LogEvent(const std::string& text) {
  const std::lock_guard lock{mutex_};
  const auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - start_).count();
  report_.events.push_back(std::to_string(ms) + " ms " + text);
}

void Soak::ReportViolation(const std::string& text) {
  LogEvent("VIOLATION " + text);
  const std::lock_guard lock{mutex_};
  report_.violations.push_back(text);
}

void Soak::Schedule(milliseconds delay, std::function<void()> action) {
  tasks_.push_back({Clock::now() + delay, std::move(action)});
}

void Soak::RunDueTasks() {
  const auto now = Clock::now();
  for (std::size_t i = 0; i < tasks_.size();) {
    if (now < tasks_[i].due_at) {
      ++i;
      continue;
    }
    const std::function<void()> action = std::move(tasks_[i].action);
    tasks_.erase(tasks_.begin() + static_cast<std::ptrdiff_t>(i));
    action();
  }
}

void Soak::InjectDaemonFault() {
  const auto number = static_cast<std::size_t>(RandomBelow(kDaemons));
  if (has_fault_[number]) {
    return;
  }
  has_fault_[number] = true;
  const std::string name = "daemon " + std::to_string(number);
  const milliseconds duration{kMinFaultMs + RandomBelow(3000)};
  switch (RandomBelow(4)) {
    case 0:
      LogEvent(name + " is killed");
      deployment_.SendSignal(number, SIGKILL);
      deployment_.WaitForExit(number);
      Schedule(duration, [this, number] {
        deployment_.StartDaemon(number);
        has_fault_[number] = false;
      });
      return;
    case 1:
      LogEvent(name + " is paused for " + std::to_string(duration.count()) + " ms");
      deployment_.SendSignal(number, SIGSTOP);
      Schedule(duration, [this, number] {
        deployment_.SendSignal(number, SIGCONT);
        has_fault_[number] = false;
      });
      return;
    case 2:
      LogEvent(name + " gets SIGTERM");
      deployment_.SendSignal(number, SIGTERM);
      Schedule(milliseconds{7000}, [this, number, name] {
        if (deployment_.WaitForExit(number, 1) != 0) {
          ReportViolation(name + " did not exit within 7 s of SIGTERM");
          deployment_.SendSignal(number, SIGKILL);
          deployment_.WaitForExit(number);
        }
        deployment_.StartDaemon(number);
        has_fault_[number] = false;
      });
      return;
    default:
      LogEvent(name + " gets SIGHUP");
      deployment_.SendSignal(number, SIGHUP);
      has_fault_[number] = false;
  }
}

void Soak::InjectStoreFault() {
  const milliseconds duration{kMinFaultMs + RandomBelow(kFaultRangeMs)};
  constexpr std::array kStoreFaults{fakes::StoreFault::kBusy, fakes::StoreFault::kSilent,
                                    fakes::StoreFault::kAnswersLost};
  const int kind = RandomBelow(5);
  if (kind == 3) {
    LogEvent("the store drops its history");
    deployment_.store.CompactHistory();
    return;
  }
  if (kind == 4) {
    LogEvent("a new configuration is written");
    deployment_.WriteConfig(++config_version_);
    return;
  }
  LogEvent("the store has fault " + std::to_string(kind) + " for " +
           std::to_string(duration.count()) + " ms");
  deployment_.store.SetFault(kStoreFaults[static_cast<std::size_t>(kind)]);
  Schedule(duration, [this] { deployment_.store.SetFault(fakes::StoreFault::kNone); });
}

void Soak::InjectConnectionFault() {
  constexpr std::array kConnectionFaults{fakes::ProxyFault::kDelayed, fakes::ProxyFault::kReset,
                                         fakes::ProxyFault::kSilent,
                                         fakes::ProxyFault::kAnswersLost};
  const auto fault = kConnectionFaults[static_cast<std::size_t>(
      RandomBelow(static_cast<int>(kConnectionFaults.size())))];
  const auto connection =
      static_cast<std::size_t>(RandomBelow(static_cast<int>(deployment_.proxies.size())));
  const milliseconds duration{kMinFaultMs + RandomBelow(kFaultRangeMs)};
  LogEvent("connection " + std::to_string(connection) + " has fault " +
           std::to_string(static_cast<int>(fault)) + " for " + std::to_string(duration.count()) +
           " ms");
  deployment_.proxies[connection]->SetFault(fault);
  Schedule(duration, [this, connection] {
    deployment_.proxies[connection]->SetFault(fakes::ProxyFault::kNone);
  });
}

void Soak::RestartEndpoint(fakes::KeyEndpoint& endpoint, std::size_t number) {
  LogEvent(endpoint.id() + " restarts");
  endpoint.SetLeaving(false);
  endpoint.Restart();
  deployment_.RegisterEndpoint(endpoint, "ready", ++endpoint_starts_[number]);
}

void Soak::InjectEndpointFault() {
  const auto number = static_cast<std::size_t>(RandomBelow(kSoilEndpoints + kPumpEndpoints));
  fakes::KeyEndpoint& endpoint = number < kSoilEndpoints
                                     ? *deployment_.soil[number]
                                     : *deployment_.pumps[number - kSoilEndpoints];
  const milliseconds duration{kMinFaultMs + RandomBelow(kFaultRangeMs)};
  switch (RandomBelow(5)) {
    case 0:
      RestartEndpoint(endpoint, number);
      return;
    case 1:
      LogEvent(endpoint.id() + " drains");
      deployment_.RegisterEndpoint(endpoint, "draining", endpoint_starts_[number]);
      break;
    case 2:
      LogEvent(endpoint.id() + " is deregistered");
      deployment_.DeregisterEndpoint(endpoint);
      break;
    case 3:
      // The list goes on saying that it is ready, until it starts again.
      LogEvent(endpoint.id() + " says that it leaves");
      endpoint.SetLeaving(true);
      Schedule(duration, [this, &endpoint, number] { RestartEndpoint(endpoint, number); });
      return;
    default: {
      constexpr std::array kEndpointFaults{
          fakes::EndpointFault::kFull, fakes::EndpointFault::kWrongRequestId,
          fakes::EndpointFault::kFailing, fakes::EndpointFault::kSilent,
          fakes::EndpointFault::kFullOnFirstAttempt};
      const int kind = RandomBelow(static_cast<int>(kEndpointFaults.size()));
      LogEvent(endpoint.id() + " has fault " + std::to_string(kind));
      endpoint.SetRetryAfter(RandomBelow(2) == 0 ? "0.8" : "");
      endpoint.SetFault(kEndpointFaults[static_cast<std::size_t>(kind)]);
    }
  }
  Schedule(duration, [this, &endpoint, number] {
    endpoint.SetFault(fakes::EndpointFault::kNone);
    deployment_.RegisterEndpoint(endpoint, "ready", endpoint_starts_[number]);
  });
}

void Soak::InjectFault() {
  switch (RandomBelow(4)) {
    case 0:
      return InjectDaemonFault();
    case 1:
      return InjectStoreFault();
    case 2:
      return InjectConnectionFault();
    default:
      return InjectEndpointFault();
  }
}

void Soak::RunRemainingTasks() {
  while (!tasks_.empty()) {
    RunDueTasks();
    std::this_thread::sleep_for(kPollInterval);
  }
  LogEvent("all faults have ended");
}

void Soak::SendRequestsUntilStopped(std::uint64_t seed) {
  std::mt19937_64 random{seed};
  std::vector<KeepAliveCaller> callers;
  for (int i = 0; i < kDaemons; ++i) {
    callers.emplace_back(deployment_.CallerPort(static_cast<std::size_t>(i)));
  }
  for (int number = 0; !stopping_; ++number) {
    const bool is_command = random() % 2 == 0;
    CallerRequest request;
    request.id = std::to_string(seed) + "-" + std::to_string(number);
    request.timeout_ms = kCallerTimeoutMs;
    if (is_command) {
      request.path = "/pumps/1";
      request.method = "POST";
      request.body = request.id;
    } else {
      request.key = KeyOf(static_cast<int>(random() % kKeys));
    }
    const bool measured = measuring_recovery_;
    const CallerAnswer answer = callers[random() % kDaemons].SendRequest(request);
    if (answer.status == 200 && (answer.id != request.id || answer.body != "ran " + request.id)) {
      ReportViolation(request.id + " got the answer of " + answer.id);
    }
    {
      const std::lock_guard lock{mutex_};
      outcomes_[request.id] = {is_command, answer.status};
      ++report_.requests;
      report_.served += answer.status == 200 ? 1 : 0;
      report_.refused += answer.status == 503 ? 1 : 0;
      report_.final_requests += measured ? 1 : 0;
      report_.final_served += measured && answer.status == 200 ? 1 : 0;
      if (measured && answer.status != 200) {
        report_.final_failures.push_back(request.id + " got " + std::to_string(answer.status));
      }
    }
    std::this_thread::sleep_for(milliseconds{random() % 8});
  }
}

void Soak::CheckExclusiveOwners() {
  std::vector<bool> reported(kKeys, false);
  while (!stopping_) {
    for (int i = 0; i < kKeys; ++i) {
      const KeyNumber key = KeyOf(i);
      for (const auto& first : deployment_.soil) {
        if (!first->HoldsKey(key)) {
          continue;
        }
        for (const auto& second : deployment_.soil) {
          // Checks the first again, as the key may have moved between the two checks.
          const bool held_by_both =
              first != second && second->HoldsKey(key) && first->HoldsKey(key);
          if (held_by_both && !reported[static_cast<std::size_t>(i)]) {
            reported[static_cast<std::size_t>(i)] = true;
            ReportViolation("key " + std::to_string(key) + " is held by " + first->id() + " and " +
                            second->id());
          }
        }
      }
    }
    std::this_thread::sleep_for(milliseconds{2});
  }
}

void Soak::CheckDaemonsRunning() {
  for (std::size_t i = 0; i < kDaemons; ++i) {
    if (!has_fault_[i] && !deployment_.IsRunning(i)) {
      ReportViolation("daemon " + std::to_string(i) + " exited unexpectedly");
      deployment_.StartDaemon(i);
    }
  }
}

void Soak::CheckReportedOutcomes() {
  std::map<std::string, int> runs;
  for (const auto* endpoints : {&deployment_.soil, &deployment_.pumps}) {
    for (const auto& endpoint : *endpoints) {
      for (const auto& [id, count] : endpoint->ExecutionCounts()) {
        runs[id] += count;
      }
    }
  }
  for (const auto& [id, outcome] : outcomes_) {
    const int count = runs.contains(id) ? runs[id] : 0;
    if (outcome.is_command && count > 1) {
      ReportViolation(id + " ran " + std::to_string(count) + " times");
    }
    if (outcome.is_command && outcome.status == 503 && count > 0) {
      ReportViolation(id + " was refused as not run but ran");
    }
    if (outcome.status == 200 && count == 0) {
      ReportViolation(id + " was answered but did not run");
    }
  }
}

SoakReport Soak::Run(std::chrono::seconds fault_duration) {
  start_ = Clock::now();
  report_.log_directory = deployment_.directory();
  if (!deployment_.WaitUntilServed()) {
    ReportViolation("the deployment was not served at the start");
    return report_;
  }
  start_ = Clock::now();
  std::vector<std::thread> threads;
  for (std::uint64_t i = 0; i < kCallers; ++i) {
    threads.emplace_back([this, i] { SendRequestsUntilStopped(i); });
  }
  threads.emplace_back([this] { CheckExclusiveOwners(); });
  auto next_fault = Clock::now();
  while (Clock::now() < start_ + fault_duration) {
    if (Clock::now() >= next_fault) {
      next_fault = Clock::now() + milliseconds{RandomBelow(kMaxFaultIntervalMs)};
      InjectFault();
    }
    RunDueTasks();
    CheckDaemonsRunning();
    std::this_thread::sleep_for(kPollInterval);
  }
  RunRemainingTasks();
  std::this_thread::sleep_for(kRecoveryTime);
  CheckDaemonsRunning();
  measuring_recovery_ = true;
  std::this_thread::sleep_for(kMeasurementTime);
  stopping_ = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::this_thread::sleep_for(kRequestDrainTime);
  CheckReportedOutcomes();
  return report_;
}

}  // namespace sycamorestall::testing

#include "soak/soak.h"

#include <signal.h>

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

#include "router/kept_caller.h"

namespace sycamorestall::testing {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kDaemons = 3;
constexpr int kSoilEndpoints = 4;
constexpr int kPumpEndpoints = 3;
constexpr int kCallers = 4;
constexpr int kKeys = 24;
constexpr milliseconds kPoll{20};
// Two things go wrong within a second, on average.
constexpr int kFaultGapMs = 1000;
constexpr int kPatienceMs = 1200;
// After the last fault: grants of lost leaders run out, and keys find owners.
constexpr std::chrono::seconds kRecovery{18};
constexpr std::chrono::seconds kMeasured{4};
// A request may be on its way for this long after its caller gave it up.
constexpr std::chrono::seconds kLastRequests{4};
constexpr int kShortestFaultMs = 200;
constexpr int kLongestFaultMs = 5000;

KeyNumber KeyOf(int number) { return static_cast<KeyNumber>(number) * (kKeyCount / kKeys) + 7; }

}  // namespace

Soak::Soak(std::uint64_t seed)
    : random_(seed),
      deployment_(kDaemons, kSoilEndpoints, kPumpEndpoints, ConnectionKind::kProxied),
      busy_(kDaemons, false),
      starts_(kSoilEndpoints + kPumpEndpoints, 1) {}

int Soak::Pick(int below) { return std::uniform_int_distribution<int>{0, below - 1}(random_); }

void Soak::Note(const std::string& text) {
  const std::lock_guard lock{mutex_};
  const auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - start_).count();
  report_.faults.push_back(std::to_string(ms) + " ms " + text);
}

void Soak::Break(const std::string& text) {
  Note("BROKEN " + text);
  const std::lock_guard lock{mutex_};
  report_.broken.push_back(text);
}

void Soak::Later(milliseconds delay, std::function<void()> action) {
  tasks_.push_back({Clock::now() + delay, std::move(action)});
}

void Soak::RunLater() {
  const auto now = Clock::now();
  for (std::size_t i = 0; i < tasks_.size();) {
    if (now < tasks_[i].at) {
      ++i;
      continue;
    }
    const std::function<void()> action = std::move(tasks_[i].action);
    tasks_.erase(tasks_.begin() + static_cast<std::ptrdiff_t>(i));
    action();
  }
}

void Soak::FaultDaemon() {
  const auto number = static_cast<std::size_t>(Pick(kDaemons));
  if (busy_[number]) {
    return;
  }
  busy_[number] = true;
  const std::string name = "daemon " + std::to_string(number);
  const milliseconds time{kShortestFaultMs + Pick(3000)};
  switch (Pick(4)) {
    case 0:
      Note(name + " is killed");
      deployment_.SendSignal(number, SIGKILL);
      deployment_.WaitForExit(number);
      Later(time, [this, number] {
        deployment_.StartDaemon(number);
        busy_[number] = false;
      });
      return;
    case 1:
      Note(name + " is paused for " + std::to_string(time.count()) + " ms");
      deployment_.SendSignal(number, SIGSTOP);
      Later(time, [this, number] {
        deployment_.SendSignal(number, SIGCONT);
        busy_[number] = false;
      });
      return;
    case 2:
      Note(name + " is stopped");
      deployment_.SendSignal(number, SIGTERM);
      Later(milliseconds{7000}, [this, number, name] {
        if (deployment_.WaitForExit(number, 1) != 0) {
          Break(name + " has not ended by itself 7 s after it was asked to");
          deployment_.SendSignal(number, SIGKILL);
          deployment_.WaitForExit(number);
        }
        deployment_.StartDaemon(number);
        busy_[number] = false;
      });
      return;
    default:
      Note(name + " is asked to reload");
      deployment_.SendSignal(number, SIGHUP);
      busy_[number] = false;
  }
}

void Soak::FaultStore() {
  const milliseconds time{kShortestFaultMs + Pick(kLongestFaultMs)};
  constexpr std::array kTroubles{fakes::StoreFault::kBusy, fakes::StoreFault::kSilent,
                                 fakes::StoreFault::kAnswersLost};
  const int kind = Pick(5);
  if (kind == 3) {
    Note("the store forgets its history");
    deployment_.store.CompactHistory();
    return;
  }
  if (kind == 4) {
    Note("a configuration");
    deployment_.WriteConfig(++config_version_);
    return;
  }
  Note("the store is in trouble " + std::to_string(kind) + " for " + std::to_string(time.count()) +
       " ms");
  deployment_.store.SetFault(kTroubles[static_cast<std::size_t>(kind)]);
  Later(time, [this] { deployment_.store.SetFault(fakes::StoreFault::kNone); });
}

void Soak::FaultLink() {
  constexpr std::array kFaults{fakes::ProxyFault::kDelayed, fakes::ProxyFault::kReset,
                               fakes::ProxyFault::kSilent, fakes::ProxyFault::kAnswersLost};
  const auto fault = kFaults[static_cast<std::size_t>(Pick(static_cast<int>(kFaults.size())))];
  const auto link = static_cast<std::size_t>(Pick(static_cast<int>(deployment_.proxies.size())));
  const milliseconds time{kShortestFaultMs + Pick(kLongestFaultMs)};
  Note("link " + std::to_string(link) + " has fault " + std::to_string(static_cast<int>(fault)) +
       " for " + std::to_string(time.count()) + " ms");
  deployment_.proxies[link]->SetFault(fault);
  Later(time, [this, link] { deployment_.proxies[link]->SetFault(fakes::ProxyFault::kNone); });
}

void Soak::FaultEndpoint() {
  const auto number = static_cast<std::size_t>(Pick(kSoilEndpoints + kPumpEndpoints));
  fakes::KeyEndpoint& endpoint = number < kSoilEndpoints
                                     ? *deployment_.soil[number]
                                     : *deployment_.pumps[number - kSoilEndpoints];
  const milliseconds time{kShortestFaultMs + Pick(kLongestFaultMs)};
  switch (Pick(4)) {
    case 0:
      Note(endpoint.id() + " restarts");
      endpoint.Restart();
      deployment_.RegisterEndpoint(endpoint, "ready", ++starts_[number]);
      return;
    case 1:
      Note(endpoint.id() + " leaves");
      deployment_.RegisterEndpoint(endpoint, "draining", starts_[number]);
      break;
    case 2:
      Note(endpoint.id() + " is listed no more");
      deployment_.DeregisterEndpoint(endpoint);
      break;
    default: {
      constexpr std::array kTroubles{fakes::EndpointFault::kFull,
                                     fakes::EndpointFault::kWrongRequestId,
                                     fakes::EndpointFault::kFailing, fakes::EndpointFault::kSilent,
                                     fakes::EndpointFault::kFullOnFirstAttempt};
      const int kind = Pick(static_cast<int>(kTroubles.size()));
      Note(endpoint.id() + " has trouble " + std::to_string(kind));
      endpoint.SetFault(kTroubles[static_cast<std::size_t>(kind)]);
    }
  }
  Later(time, [this, &endpoint, number] {
    endpoint.SetFault(fakes::EndpointFault::kNone);
    deployment_.RegisterEndpoint(endpoint, "ready", starts_[number]);
  });
}

void Soak::Fault() {
  switch (Pick(4)) {
    case 0:
      return FaultDaemon();
    case 1:
      return FaultStore();
    case 2:
      return FaultLink();
    default:
      return FaultEndpoint();
  }
}

void Soak::Heal() {
  while (!tasks_.empty()) {
    RunLater();
    std::this_thread::sleep_for(kPoll);
  }
  Note("all faults are over");
}

void Soak::AskForever(std::uint64_t seed) {
  std::mt19937_64 random{seed};
  std::vector<KeepAliveCaller> callers;
  for (int i = 0; i < kDaemons; ++i) {
    callers.emplace_back(deployment_.CallerPort(static_cast<std::size_t>(i)));
  }
  for (int number = 0; !ending_; ++number) {
    const bool is_pump = random() % 2 == 0;
    CallerRequest call;
    call.id = std::to_string(seed) + "-" + std::to_string(number);
    call.timeout_ms = kPatienceMs;
    if (is_pump) {
      call.path = "/pumps/1";
      call.method = "POST";
      call.body = call.id;
    } else {
      call.key = KeyOf(static_cast<int>(random() % kKeys));
    }
    const bool measured = calm_;
    const CallerAnswer answer = callers[random() % kDaemons].SendRequest(call);
    if (answer.status == 200 && (answer.id != call.id || answer.body != "ran " + call.id)) {
      Break(call.id + " got the answer of " + answer.id);
    }
    {
      const std::lock_guard lock{mutex_};
      outcomes_[call.id] = {is_pump, answer.status};
      ++report_.asked;
      report_.served += answer.status == 200 ? 1 : 0;
      report_.refused += answer.status == 503 ? 1 : 0;
      report_.last_asked += measured ? 1 : 0;
      report_.last_served += measured && answer.status == 200 ? 1 : 0;
      if (measured && answer.status != 200) {
        report_.last_failures.push_back(call.id + " got " + std::to_string(answer.status));
      }
    }
    std::this_thread::sleep_for(milliseconds{random() % 8});
  }
}

void Soak::WatchOwners() {
  std::vector<bool> told(kKeys, false);
  while (!ending_) {
    for (int i = 0; i < kKeys; ++i) {
      const KeyNumber key = KeyOf(i);
      for (const auto& first : deployment_.soil) {
        if (!first->HoldsKey(key)) {
          continue;
        }
        for (const auto& second : deployment_.soil) {
          // The first is asked again: the key may have moved between two questions.
          const bool both = first != second && second->HoldsKey(key) && first->HoldsKey(key);
          if (both && !told[static_cast<std::size_t>(i)]) {
            told[static_cast<std::size_t>(i)] = true;
            Break("key " + std::to_string(key) + " is held by " + first->id() + " and " +
                  second->id());
          }
        }
      }
    }
    std::this_thread::sleep_for(milliseconds{2});
  }
}

void Soak::CheckDaemons() {
  for (std::size_t i = 0; i < kDaemons; ++i) {
    if (!busy_[i] && !deployment_.IsRunning(i)) {
      Break("daemon " + std::to_string(i) + " ended by itself");
      deployment_.StartDaemon(i);
    }
  }
}

void Soak::CheckRuns() {
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
    if (outcome.is_pump && count > 1) {
      Break(id + " ran " + std::to_string(count) + " times");
    }
    if (outcome.is_pump && outcome.status == 503 && count > 0) {
      Break(id + " was refused as not run, and ran");
    }
    if (outcome.status == 200 && count == 0) {
      Break(id + " was answered and did not run");
    }
  }
}

SoakReport Soak::Run(std::chrono::seconds faulty) {
  start_ = Clock::now();
  report_.folder = deployment_.directory();
  if (!deployment_.WaitUntilServed()) {
    Break("nothing was served at the start");
    return report_;
  }
  start_ = Clock::now();
  std::vector<std::thread> threads;
  for (std::uint64_t i = 0; i < kCallers; ++i) {
    threads.emplace_back([this, i] { AskForever(i); });
  }
  threads.emplace_back([this] { WatchOwners(); });
  auto next_fault = Clock::now();
  while (Clock::now() < start_ + faulty) {
    if (Clock::now() >= next_fault) {
      next_fault = Clock::now() + milliseconds{Pick(kFaultGapMs)};
      Fault();
    }
    RunLater();
    CheckDaemons();
    std::this_thread::sleep_for(kPoll);
  }
  Heal();
  std::this_thread::sleep_for(kRecovery);
  CheckDaemons();
  calm_ = true;
  std::this_thread::sleep_for(kMeasured);
  ending_ = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::this_thread::sleep_for(kLastRequests);
  CheckRuns();
  return report_;
}

}  // namespace sycamorestall::testing

#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "router/router_deployment.h"

namespace sycamorestall::testing {

// The outcome of a request as its caller saw it.
struct SoakOutcome {
  bool is_command = false;
  int status = 0;
};

// The result of a soak test.
struct SoakReport {
  // Violated guarantees, one sentence each.
  std::vector<std::string> violations;
  // Injected faults and violations, each after its time in milliseconds.
  std::vector<std::string> events;
  std::size_t requests = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
  // Requests sent after all faults had ended and the recovery time had passed.
  std::size_t final_requests = 0;
  std::size_t final_served = 0;
  // Those of them that were not served, each with its status.
  std::vector<std::string> final_failures;
  // Where the logs of the daemons are, if they are kept.
  std::string log_directory;
};

// Runs routing daemons as processes under load and injects faults that the seed chooses:
// daemons are killed, paused, stopped and restarted; proxies delay, reset and block
// connections to the store and to endpoints or drop the answers; the store rejects calls
// and loses answers and its history; endpoints restart, drain, fail and leave the list.
// Meanwhile checks the guarantees against what callers and endpoints observe.
class Soak {
 public:
  explicit Soak(std::uint64_t seed);

  // Injects faults for `fault_duration`, then measures the service after recovery.
  SoakReport Run(std::chrono::seconds fault_duration);

 private:
  void InjectFault();
  void InjectDaemonFault();
  void InjectStoreFault();
  void InjectConnectionFault();
  void InjectEndpointFault();
  // Restarts an endpoint, whose number counts over the endpoints of both services.
  void RestartEndpoint(fakes::KeyEndpoint& endpoint, std::size_t number);
  // Runs `action` in the main loop once `delay` has passed.
  void Schedule(std::chrono::milliseconds delay, std::function<void()> action);
  void RunDueTasks();
  // Waits for all scheduled tasks, which end the faults that still last.
  void RunRemainingTasks();
  void LogEvent(const std::string& text);
  void ReportViolation(const std::string& text);
  void SendRequestsUntilStopped(std::uint64_t seed);
  void CheckExclusiveOwners();
  void CheckDaemonsRunning();
  void CheckReportedOutcomes();
  // A random number from 0 to `below` - 1.
  int RandomBelow(int below);

  std::mt19937_64 random_;
  RouterDeployment deployment_;
  std::chrono::steady_clock::time_point start_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> measuring_recovery_{false};
  std::mutex mutex_;
  SoakReport report_;
  std::map<std::string, SoakOutcome> outcomes_;
  struct Task {
    std::chrono::steady_clock::time_point due_at;
    std::function<void()> action;
  };
  std::vector<Task> tasks_;
  // Daemons with a fault in progress, which get no second one meanwhile.
  std::vector<bool> has_fault_;
  std::vector<std::uint64_t> endpoint_starts_;
  int config_version_ = 1;
};

}  // namespace sycamorestall::testing

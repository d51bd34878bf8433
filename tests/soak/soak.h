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

// What became of one request, as its caller saw it.
struct SoakOutcome {
  bool is_command = false;
  int status = 0;
};

// What a soak showed.
struct SoakReport {
  // Promises that were broken, each in a sentence.
  std::vector<std::string> violations;
  // What was done to the deployment, with the second at which it was.
  std::vector<std::string> events;
  std::size_t requests = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
  // Of the last requests, when nothing was wrong any more.
  std::size_t final_requests = 0;
  std::size_t final_served = 0;
  // Those that were not served, each with its status.
  std::vector<std::string> final_failures;
  // Where the daemons' logs are, if they are kept.
  std::string log_directory;
};

// Routing daemons as real processes under load, with everything around them going
// wrong in an order that comes from one seed: processes are killed, paused, stopped and
// restarted; links to the store and to endpoints are delayed, reset, cut one way and
// silenced by proxies; the store turns calls away, loses answers and its history;
// endpoints restart, leave and come back. Promises are checked meanwhile, from what
// callers and endpoints see.
class Soak {
 public:
  explicit Soak(std::uint64_t seed);

  // Plays faults for so long, and then waits until all is well again.
  SoakReport Run(std::chrono::seconds fault_duration);

 private:
  void InjectFault();
  void InjectDaemonFault();
  void InjectStoreFault();
  void InjectConnectionFault();
  void InjectEndpointFault();
  // Lets something end after a time.
  void Schedule(std::chrono::milliseconds delay, std::function<void()> action);
  void RunDueTasks();
  void RunRemainingTasks();
  void LogEvent(const std::string& text);
  void ReportViolation(const std::string& text);
  void SendRequestsUntilStopped(std::uint64_t seed);
  void CheckExclusiveOwners();
  void CheckDaemonsRunning();
  void CheckReportedOutcomes();
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
  // Daemons to which something is being done; nothing else is done to them meanwhile.
  std::vector<bool> has_fault_;
  std::vector<std::uint64_t> endpoint_starts_;
  int config_version_ = 1;
};

}  // namespace sycamorestall::testing

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
  bool is_pump = false;
  int status = 0;
};

// What a soak showed.
struct SoakReport {
  // Promises that were broken, each in a sentence.
  std::vector<std::string> broken;
  // What was done to the deployment, with the second at which it was.
  std::vector<std::string> faults;
  std::size_t asked = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
  // Of the last requests, when nothing was wrong any more.
  std::size_t last_asked = 0;
  std::size_t last_served = 0;
  // Those that were not served, each with its status.
  std::vector<std::string> last_failures;
  // Where the daemons' logs are, if they are kept.
  std::string folder;
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
  SoakReport Run(std::chrono::seconds faulty);

 private:
  void Fault();
  void FaultDaemon();
  void FaultStore();
  void FaultLink();
  void FaultEndpoint();
  // Lets something end after a time.
  void Later(std::chrono::milliseconds delay, std::function<void()> action);
  void RunLater();
  void Heal();
  void Note(const std::string& text);
  void Break(const std::string& text);
  void AskForever(std::uint64_t seed);
  void WatchOwners();
  void CheckDaemons();
  void CheckRuns();
  int Pick(int below);

  std::mt19937_64 random_;
  RouterDeployment deployment_;
  std::chrono::steady_clock::time_point start_;
  std::atomic<bool> ending_{false};
  std::atomic<bool> calm_{false};
  std::mutex mutex_;
  SoakReport report_;
  std::map<std::string, SoakOutcome> outcomes_;
  struct Task {
    std::chrono::steady_clock::time_point at;
    std::function<void()> action;
  };
  std::vector<Task> tasks_;
  // Daemons to which something is being done; nothing else is done to them meanwhile.
  std::vector<bool> busy_;
  std::vector<std::uint64_t> starts_;
  int config_version_ = 1;
};

}  // namespace sycamorestall::testing

#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "router/router_deployment.h"

namespace sycamorestall::testing {

// The result of a soak test of planned stops.
struct StopSoakReport {
  // Violated guarantees, one sentence each.
  std::vector<std::string> violations;
  std::size_t stops = 0;
  std::size_t requests = 0;
  std::size_t answered = 0;
  std::size_t refused = 0;
  // Requests whose connection ended before their answer; none of them may have run.
  std::size_t unanswered = 0;
};

// Stops and restarts routing daemons in series and overlapping, at moments that the seed chooses,
// while callers use open connections, with pipelining, until the process is gone. Endpoints
// are fast, slow or silent, and routes allow more time than a stop does.
class StopSoak {
 public:
  explicit StopSoak(std::uint64_t seed);

  StopSoakReport Run(std::chrono::seconds duration);

 private:
  static constexpr std::size_t kDaemons = 3;

  // The outcome of a request as its caller saw it; status 0 means that no answer arrived.
  struct Outcome {
    bool is_command = false;
    int status = 0;
  };

  void ChooseEndpointFaults();
  // Stops and restarts one daemon until the time is over.
  void StopRepeatedly(std::size_t number, std::uint64_t seed);
  void SendUntilStopped(std::size_t number, std::uint64_t seed);
  // Opens a connection and uses it until it ends.
  void UseConnection(std::size_t number, std::mt19937_64& random, const std::string& id_prefix);
  void ReportViolation(const std::string& text);
  void CheckOutcomes();

  std::mt19937_64 random_;
  RouterDeployment deployment_;
  std::chrono::steady_clock::time_point end_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  StopSoakReport report_;
  std::map<std::string, Outcome> outcomes_;
};

}  // namespace sycamorestall::testing

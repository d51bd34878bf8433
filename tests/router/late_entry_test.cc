// Entries of endpoints that the store writes late, and endpoints that are back.

#include <doctest/doctest.h>
#include <signal.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "router/router_deployment.h"

using namespace sycamorestall::testing;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr int kDaemons = 2;
constexpr milliseconds kRequestInterval{10};

enum class Action {
  kHeartbeat,
  // A heartbeat that the store does not answer.
  kUnansweredHeartbeat,
  // The store carries the unanswered heartbeat out.
  kLateWrite,
  kRemoval,
  // It says in its answers that it is being removed from service.
  kLeaving,
  // All daemons are killed and started again.
  kDaemonRestart,
};

struct Step {
  int at_ms = 0;
  Action action = Action::kHeartbeat;
  std::uint64_t start = 1;
  std::string state = "ready";
};

// What happens to an endpoint, and whether it gets requests in a span of time.
struct Row {
  std::string name;
  std::vector<Step> steps;
  int from_ms = 0;
  int until_ms = 0;
  bool is_used = false;
  // Whether the configuration names a path for health checks.
  bool has_health_checks = false;
};

class EndpointScript {
 public:
  explicit EndpointScript(RouterDeployment& deployment)
      : deployment_(deployment), endpoint_(*deployment.pumps[0]) {}

  void Run(const Step& step) {
    switch (step.action) {
      case Action::kHeartbeat:
        deployment_.RegisterEndpoint(endpoint_, step.state, step.start);
        break;
      case Action::kUnansweredHeartbeat:
        unanswered_ = deployment_.NextEntry(endpoint_, step.state, step.start);
        break;
      case Action::kLateWrite:
        deployment_.WriteEntry(endpoint_, unanswered_);
        break;
      case Action::kRemoval:
        deployment_.DeregisterEndpoint(endpoint_);
        break;
      case Action::kLeaving:
        endpoint_.SetLeaving(true);
        break;
      case Action::kDaemonRestart:
        RestartDaemons();
        break;
    }
  }

 private:
  void RestartDaemons() {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      deployment_.SendSignal(i, SIGKILL);
      deployment_.WaitForExit(i);
      deployment_.StartDaemon(i);
    }
  }

  RouterDeployment& deployment_;
  sycamorestall::fakes::KeyEndpoint& endpoint_;
  std::string unanswered_;
};

// Runs the steps of a row beside requests to all daemons. Returns how many requests the endpoint
// got in the row's span.
int CountRequests(RouterDeployment& deployment, const Row& row) {
  EndpointScript script{deployment};
  const auto start = std::chrono::steady_clock::now();
  auto next = row.steps.begin();
  int count = 0;
  for (std::size_t daemon = 0;; daemon = (daemon + 1) % kDaemons) {
    const auto elapsed = std::chrono::steady_clock::now() - start;
    if (elapsed >= milliseconds{row.until_ms}) {
      return count;
    }
    if (next != row.steps.end() && elapsed >= milliseconds{next->at_ms}) {
      script.Run(*next++);
    }
    const int before = deployment.pumps[0]->ArrivalCount();
    deployment.SendRequest(daemon, {.path = "/pumps/1", .method = "POST"});
    if (elapsed >= milliseconds{row.from_ms}) {
      count += deployment.pumps[0]->ArrivalCount() - before;
    }
    std::this_thread::sleep_for(kRequestInterval);
  }
}

void CheckRow(const Row& row) {
  CAPTURE(row.name);
  RouterDeployment deployment{kDaemons, 1, 2};
  if (row.has_health_checks) {
    deployment.health_path = sycamorestall::fakes::kHealthPath;
    deployment.WriteConfig(2);
  }
  REQUIRE(deployment.WaitUntilServed());
  const int requests = CountRequests(deployment, row);
  CAPTURE(requests);
  CHECK((requests > 0) == row.is_used);
}

}  // namespace

// Guards against requests to a draining endpoint after the store has carried out a write of its
// earlier incarnation late (review/12).
TEST_CASE("a late entry of an earlier incarnation does not end the draining of an endpoint") {
  const Row rows[] = {
      {"the next heartbeat overwrites it",
       {{0, Action::kUnansweredHeartbeat, 1},
        {300, Action::kHeartbeat, 2},
        {1200, Action::kHeartbeat, 2, "draining"},
        {2070, Action::kHeartbeat, 2, "draining"},
        {2800, Action::kLateWrite},
        {3530, Action::kHeartbeat, 2, "draining"}},
       2800,
       4800,
       false},
  };
  for (const Row& row : rows) {
    CheckRow(row);
  }
}

// Guards against endpoints that stay without requests as the clock of their machine is behind.
TEST_CASE("an endpoint that starts again with an earlier start time gets requests soon") {
  const Row rows[] = {
      {"its entry changes with each heartbeat",
       {{0, Action::kHeartbeat, 5},
        {300, Action::kHeartbeat, 5, "draining"},
        {2000, Action::kHeartbeat, 4},
        {2870, Action::kHeartbeat, 4},
        {3740, Action::kHeartbeat, 4}},
       2000,
       4000,
       true},
      {"its entry does not change any more",
       {{0, Action::kHeartbeat, 5},
        {300, Action::kHeartbeat, 5, "draining"},
        {2000, Action::kHeartbeat, 4}},
       2000,
       4000,
       true},
  };
  for (const Row& row : rows) {
    CheckRow(row);
  }
}

// Guards against requests to an endpoint that has left after the store has carried out one of its
// earlier writes late (review/14).
TEST_CASE("a late entry does not bring an endpoint back that has left") {
  const Row rows[] = {
      {"earlier than the last one",
       {{0, Action::kHeartbeat},
        {50, Action::kUnansweredHeartbeat},
        {300, Action::kHeartbeat},
        {1200, Action::kHeartbeat},
        {2000, Action::kRemoval},
        {3500, Action::kLateWrite}},
       3500,
       6500,
       false},
      {"not heard of before",
       {{50, Action::kUnansweredHeartbeat}, {1200, Action::kRemoval}, {2700, Action::kLateWrite}},
       2700,
       6000,
       false},
      {"of an earlier incarnation",
       {{50, Action::kUnansweredHeartbeat, 1},
        {300, Action::kHeartbeat, 2},
        {1200, Action::kRemoval},
        {2700, Action::kLateWrite}},
       2700,
       6000,
       false},
      {"the daemons have started again since",
       {{0, Action::kHeartbeat},
        {300, Action::kHeartbeat},
        {600, Action::kHeartbeat},
        {900, Action::kUnansweredHeartbeat},
        {1200, Action::kRemoval},
        {1500, Action::kDaemonRestart},
        {4500, Action::kLateWrite}},
       4500,
       7500,
       false},
      {"asked for its health",
       {{50, Action::kUnansweredHeartbeat},
        {1200, Action::kLeaving},
        {1210, Action::kRemoval},
        {2700, Action::kLateWrite}},
       2700,
       6000,
       false,
       true},
  };
  for (const Row& row : rows) {
    CheckRow(row);
  }
}

// Guards against endpoints that stay without requests as their entries are taken for late ones.
TEST_CASE("an endpoint whose entry lapsed gets requests soon after it is back") {
  const Row rows[] = {
      {"its entry changes with each heartbeat",
       {{1000, Action::kRemoval},
        {2500, Action::kHeartbeat},
        {3370, Action::kHeartbeat},
        {4240, Action::kHeartbeat}},
       2500,
       4500,
       true},
      {"its entry does not change any more",
       {{1000, Action::kRemoval}, {2500, Action::kHeartbeat}},
       2500,
       4500,
       true,
       true},
      {"the daemons have started again since",
       {{0, Action::kHeartbeat},
        {300, Action::kHeartbeat},
        {600, Action::kHeartbeat},
        {1000, Action::kRemoval},
        {1300, Action::kDaemonRestart},
        {4500, Action::kHeartbeat},
        {5370, Action::kHeartbeat},
        {6240, Action::kHeartbeat}},
       4500,
       6500,
       true},
      {"it stays in the list",
       {{1000, Action::kRemoval}, {2500, Action::kHeartbeat}},
       6000,
       8000,
       true},
  };
  for (const Row& row : rows) {
    CheckRow(row);
  }
}

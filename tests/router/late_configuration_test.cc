#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <random>
#include <string>
#include <thread>

#include "router/router_deployment.h"

using namespace sycamorestall::testing;  // NOLINT
using std::chrono::milliseconds;
using sycamorestall::fakes::ProxyFault;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int kDaemons = 6;
// A long configuration: 370 KB as the store sends it.
constexpr int kRoutes = 1500;
constexpr int kChanges = 10;
// The time within which a configuration has to take effect.
constexpr milliseconds kApplyBound{2000};
// What is left to a daemon's link of 13 Mbit/s by uploads, in bytes a second.
constexpr std::size_t kFullLinkRate = 400'000;
// Between two writes of the endpoints' entries, which change nothing.
constexpr milliseconds kHeartbeatInterval{7};
// Between two resets of the connections of the daemon that watches the store.
constexpr milliseconds kResetInterval{400};

std::string PrefixOf(int version) { return "/v" + std::to_string(version) + "/"; }

// Runs an action every interval on a thread of its own, until it is destroyed.
class Repeater {
 public:
  template <typename Action>
  Repeater(milliseconds interval, Action action)
      : thread_([this, interval, action] {
          while (!stopping_) {
            action();
            std::this_thread::sleep_for(interval);
          }
        }) {}
  ~Repeater() {
    stopping_ = true;
    thread_.join();
  }
  Repeater(const Repeater&) = delete;
  Repeater& operator=(const Repeater&) = delete;

 private:
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

// Resets the open connections once; new ones succeed.
void ResetConnections(sycamorestall::fakes::FaultProxy& proxy) {
  proxy.SetFault(ProxyFault::kReset);
  std::this_thread::sleep_for(milliseconds{5});
  proxy.SetFault(ProxyFault::kNone);
}

// The last line of a daemon's log that contains the text.
std::string LastLogLine(const RouterDeployment& deployment, std::size_t daemon,
                        const std::string& text) {
  const std::string log = deployment.ReadLog(daemon);
  const std::size_t at = log.rfind(text);
  if (at == std::string::npos) {
    return "none: " + text;
  }
  const std::size_t begin = log.rfind('\n', at) + 1;
  return log.substr(begin, log.find('\n', at) - begin);
}

// Shows what tells why a daemon has a configuration late.
void ShowLateDaemon(const RouterDeployment& deployment, std::size_t daemon, int version) {
  MESSAGE("daemon " << daemon << " late for version " << version);
  for (const char* text : {"configuration applied", "change missing", "store call finished",
                           "update not applied", "loop stalled"}) {
    MESSAGE(LastLogLine(deployment, daemon, text));
  }
}

// Whether a daemon serves a version by a time; after that it is asked once.
bool ServesBy(RouterDeployment& deployment, std::size_t daemon, int version,
              Clock::time_point end) {
  const std::string prefix = PrefixOf(version);
  const auto left = std::chrono::duration_cast<milliseconds>(end - Clock::now());
  if (left.count() > 0) {
    return deployment.ServesPumpsWithin(daemon, prefix, left);
  }
  return deployment.SendRequest(daemon, {.path = prefix + "1", .method = "POST"}).status == 200;
}

// Number of daemons that do not serve a version within the bound after its write.
int CountLate(RouterDeployment& deployment, int version, Clock::time_point written_at) {
  int late = 0;
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    if (!ServesBy(deployment, daemon, version, written_at + kApplyBound)) {
      ++late;
      ShowLateDaemon(deployment, daemon, version);
    }
  }
  return late;
}

}  // namespace

TEST_CASE("a configuration reaches daemons behind full links in time though datagrams are lost") {
  struct Row {
    std::string name;
    double packet_loss;
    std::size_t rate;
    bool watches_cut;
    // How many routes each change adds. The differences that daemons send each other are large
    // then.
    int new_routes;
  };
  const Row rows[] = {
      {"lost datagrams", 0.3, 0, false, 0},
      {"full links and lost datagrams", 0.15, kFullLinkRate, false, 0},
      {"full links, lost datagrams and cut watches", 0.15, kFullLinkRate, true, 0},
      {"full links, lost datagrams and many new routes", 0.15, kFullLinkRate, false, 120},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RouterDeployment deployment{kDaemons, 1, 1, ConnectionKind::kAllProxied};
    int version = 2;
    int routes = kRoutes - kChanges * row.new_routes;
    deployment.WriteConfig(version, PrefixOf(version), routes);
    REQUIRE(deployment.WaitUntilServed());
    const Repeater heartbeats{kHeartbeatInterval,
                              [&] { deployment.RegisterEndpoint(*deployment.pumps[0]); }};
    // Until then the daemons know no peers, and each watches for itself.
    std::this_thread::sleep_for(milliseconds{7000});
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      deployment.PeerProxy(daemon).SetPacketLoss(row.packet_loss);
      deployment.PeerProxy(daemon).SetRate(row.rate);
      deployment.StoreProxy(daemon).SetAnswerRate(row.rate);
    }
    const Repeater resets{kResetInterval, [&] {
                            if (row.watches_cut) {
                              ResetConnections(deployment.StoreProxy(0));
                            }
                          }};
    std::mt19937 random{1};
    int late = 0;
    for (int change = 0; change < kChanges; ++change) {
      std::this_thread::sleep_for(milliseconds{1000 + random() % 1000});
      ++version;
      routes += row.new_routes;
      const auto written_at = Clock::now();
      deployment.WriteConfig(version, PrefixOf(version), routes);
      late += CountLate(deployment, version, written_at);
    }
    CHECK(late == 0);
  }
}

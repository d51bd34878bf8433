// Endpoints that leave while the daemon that relays the store's updates is lost.

#include <doctest/doctest.h>
#include <signal.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "core/drain_timing.h"
#include "router/router_deployment.h"

using namespace sycamorestall;           // NOLINT
using namespace sycamorestall::testing;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kRelayingDaemon = 0;
constexpr std::size_t kFollower = 1;
// Until both daemons know all changes of the last seconds, and so agree on which of them relays.
constexpr milliseconds kSettleTime{6500};
constexpr milliseconds kCallerTime{1000};
// After the relaying daemon has heard from the store: when the endpoints leave, and when it is
// lost.
constexpr milliseconds kLeaveDelay{20};
constexpr milliseconds kLossDelay{600};
// For how long after the limit no request may come.
constexpr milliseconds kObservedTime{1200};
constexpr int kTimeoutMs = 400;

// Sends requests to the follower for all keys and for the service without keys.
class FollowerCallers {
 public:
  explicit FollowerCallers(RouterDeployment& deployment) {
    for (int i = 0; i < kCallers; ++i) {
      threads_.emplace_back([this, &deployment, i] { Run(deployment, i); });
    }
  }
  ~FollowerCallers() {
    stopped_ = true;
    for (std::thread& each : threads_) {
      each.join();
    }
  }

 private:
  static constexpr int kCallers = 6;

  void Run(RouterDeployment& deployment, int number) {
    std::mt19937 random{static_cast<std::uint32_t>(number)};
    std::uniform_int_distribution<int> pick_key{0, kKeyCount - 1};
    for (int i = 0; !stopped_; ++i) {
      const std::string id = "caller-" + std::to_string(number) + "-" + std::to_string(i);
      CallerRequest request{.id = id, .timeout_ms = kTimeoutMs};
      if (number % 2 == 0) {
        request.key = static_cast<KeyNumber>(pick_key(random));
      } else {
        request.path = "/pumps/1";
        request.method = "POST";
      }
      deployment.SendRequest(kFollower, request);
      std::this_thread::sleep_for(milliseconds{5});
    }
  }

  std::atomic<bool> stopped_{false};
  std::vector<std::thread> threads_;
};

}  // namespace

// Guards against requests to an endpoint that leaves while the daemon which leads and relays the
// store's updates is lost (review/15).
TEST_CASE("an endpoint that leaves as the relaying daemon is lost gets no late requests") {
  using Event = std::function<void(RouterDeployment&)>;
  struct Row {
    std::string name;
    Event leave;
    Event lose;
  };
  const Event drain = [](RouterDeployment& deployment) {
    deployment.RegisterEndpoint(*deployment.soil[0], "draining");
    deployment.RegisterEndpoint(*deployment.pumps[0], "draining");
  };
  const Event remove = [](RouterDeployment& deployment) {
    deployment.DeregisterEndpoint(*deployment.soil[0]);
    deployment.DeregisterEndpoint(*deployment.pumps[0]);
  };
  const Event kill = [](RouterDeployment& deployment) {
    deployment.SendSignal(kRelayingDaemon, SIGKILL);
  };
  const Event freeze = [](RouterDeployment& deployment) {
    deployment.SendSignal(kRelayingDaemon, SIGSTOP);
  };
  const Event cut_off = [](RouterDeployment& deployment) {
    deployment.StoreProxy(kRelayingDaemon).SetFault(fakes::ProxyFault::kSilent);
  };
  const Row rows[] = {{"drains, killed", drain, kill},
                      {"drains, frozen", drain, freeze},
                      {"drains, cut off", drain, cut_off},
                      {"removed, killed", remove, kill},
                      {"removed, cut off", remove, cut_off}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RouterDeployment deployment{2, 2, 2, ConnectionKind::kProxied};
    REQUIRE(deployment.WaitUntilServed());
    std::this_thread::sleep_for(kSettleTime);
    REQUIRE(deployment.FetchMetrics(kRelayingDaemon).find("sycamorestall_watches_for_domain 1") !=
            std::string::npos);
    const FollowerCallers callers{deployment};
    std::this_thread::sleep_for(kCallerTime);
    // A watch is waiting, so that the relaying daemon hears of this at once and pauses then.
    deployment.store.Put("other/change", "new");
    const auto heard_at = std::chrono::steady_clock::now();
    std::this_thread::sleep_until(heard_at + kLeaveDelay);
    row.leave(deployment);
    const auto left_at = std::chrono::steady_clock::now();
    std::this_thread::sleep_until(heard_at + kLossDelay);
    row.lose(deployment);
    std::this_thread::sleep_until(left_at + kDrainLimit);
    const int soil_before = deployment.soil[0]->ArrivalCount();
    const int pumps_before = deployment.pumps[0]->ArrivalCount();
    CHECK(soil_before > 0);
    CHECK(pumps_before > 0);
    std::this_thread::sleep_for(kObservedTime);
    CHECK(deployment.soil[0]->ArrivalCount() == soil_before);
    CHECK(deployment.pumps[0]->ArrivalCount() == pumps_before);
  }
}

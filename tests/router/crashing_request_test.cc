#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "router/router_deployment.h"

using namespace sycamorestall;           // NOLINT
using namespace sycamorestall::testing;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kDaemons = 3;
constexpr int kEndpoints = 8;
constexpr int kOwners = 5;
constexpr KeyNumber kKey = 7;
// From a crash until the entry of the endpoint is removed from the list.
constexpr milliseconds kEntryTimeToLive{400};
// After this time without other trouble a request that has crashed three endpoints reaches no more.
constexpr milliseconds kStableTime{3000};

// Endpoints that crash when they run a request for "crash", and lose their entries then: pumps,
// whose requests run once at most, or owners of keys, whose requests are safe.
struct CrashSetup {
  explicit CrashSetup(bool with_keys = false)
      : keyed{with_keys}, endpoints{with_keys ? deployment.soil : deployment.pumps} {
    for (const auto& each : endpoints) {
      each->SetCrashingTarget("crash");
    }
  }

  CallerAnswer Send(std::size_t daemon, const std::string& name) {
    return keyed ? deployment.SendRequest(daemon, {.path = "/soil/" + name, .key = kKey})
                 : deployment.SendRequest(
                       daemon, {.path = "/pumps/" + name, .method = "POST", .body = "{}"});
  }

  // Waits until a daemon serves harmless requests, as a key may have to get another owner.
  bool WaitUntilHarmlessIsServed(std::size_t daemon) {
    for (const auto latest = std::chrono::steady_clock::now() + std::chrono::seconds{15};
         std::chrono::steady_clock::now() < latest;) {
      if (Send(daemon, "harmless").status == 200) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds{100});
    }
    return false;
  }

  // Checks that every daemon refuses the request, and serves another one.
  void CheckIsRefused() {
    const int crashes_before = Crashes();
    for (std::size_t i = 0; i < kDaemons; ++i) {
      const auto sent_at = std::chrono::steady_clock::now();
      const CallerAnswer answer = Send(i, "crash");
      CHECK(answer.status == 503);
      CHECK(!answer.retry_after.empty());
      CHECK(std::chrono::steady_clock::now() - sent_at < milliseconds{200});
      CHECK(Send(i, "harmless").status == 200);
    }
    CHECK(Crashes() == crashes_before);
  }

  int Crashes() {
    int crashes = 0;
    for (const auto& each : endpoints) {
      crashes += each->CrashCount();
    }
    return crashes;
  }

  // Sends the request that crashes endpoints, and plays the store's part after a crash.
  CallerAnswer SendCrashing(std::size_t daemon) {
    std::vector<int> counts_before;
    for (const auto& each : endpoints) {
      counts_before.push_back(each->CrashCount());
    }
    CallerAnswer answer = Send(daemon, "crash");
    std::this_thread::sleep_for(kEntryTimeToLive);
    std::size_t i = 0;
    for (const auto& each : endpoints) {
      if (each->CrashCount() > counts_before[i++]) {
        deployment.DeregisterEndpoint(*each);
      }
    }
    std::this_thread::sleep_for(milliseconds{200});
    return answer;
  }

  RouterDeployment deployment{static_cast<int>(kDaemons), kOwners, kEndpoints};
  const bool keyed;
  const std::vector<std::unique_ptr<fakes::KeyEndpoint>>& endpoints;
};

}  // namespace

// Guards against a count of crashes that starts anew whenever an endpoint refuses the request.
TEST_CASE("a refusal by an endpoint that is full does not clear a request that crashes others") {
  CrashSetup setup;
  REQUIRE(setup.deployment.WaitUntilServed());
  CHECK(setup.SendCrashing(0).status == 502);
  CHECK(setup.SendCrashing(1).status == 502);
  for (const auto& each : setup.deployment.pumps) {
    each->SetFault(fakes::EndpointFault::kFull);
  }
  for (std::size_t i = 0; i < kDaemons; ++i) {
    CHECK(setup.Send(i, "crash").status == 503);
  }
  for (const auto& each : setup.deployment.pumps) {
    each->SetFault(fakes::EndpointFault::kNone);
  }
  CHECK(setup.SendCrashing(2).status == 502);
  std::this_thread::sleep_for(kStableTime);
  for (std::size_t i = 0; i < kDaemons; ++i) {
    CHECK(setup.Send(i, "crash").status == 503);
  }
  CHECK(setup.Crashes() == 3);
}

// Guards against a request that comes again at any machine, crashes each endpoint that runs it, and
// ends the requests of other callers there.
TEST_CASE("a request that crashes endpoints is refused at every daemon, also after restarts") {
  CrashSetup setup;
  REQUIRE(setup.deployment.WaitUntilServed());
  for (std::size_t i = 0; i < kDaemons; ++i) {
    CHECK(setup.SendCrashing(i).status == 502);
  }
  CHECK(setup.Crashes() == 3);
  std::this_thread::sleep_for(kStableTime);
  setup.CheckIsRefused();
  setup.CheckIsRefused();
  // Restarted daemons hear of it from those that go on.
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    setup.deployment.SendSignal(daemon, SIGKILL);
    setup.deployment.WaitForExit(daemon, 5);
    setup.deployment.StartDaemon(daemon);
    REQUIRE(setup.deployment.WaitUntilServed());
    std::this_thread::sleep_for(milliseconds{2500});
  }
  setup.CheckIsRefused();
  // If all end at once, the store tells them.
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    setup.deployment.SendSignal(daemon, SIGKILL);
  }
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    setup.deployment.WaitForExit(daemon, 5);
    setup.deployment.StartDaemon(daemon);
  }
  REQUIRE(setup.deployment.WaitUntilServed());
  setup.CheckIsRefused();
}

TEST_CASE(
    "a safe request that crashes the owners of its key is refused, and others for it are not") {
  CrashSetup setup{true};
  REQUIRE(setup.deployment.WaitUntilServed());
  for (std::size_t i = 0; i < kDaemons; ++i) {
    CHECK(setup.SendCrashing(i).status != 200);
    REQUIRE(setup.WaitUntilHarmlessIsServed(i));
  }
  CHECK(setup.Crashes() == 3);
  std::this_thread::sleep_for(kStableTime);
  setup.CheckIsRefused();
}

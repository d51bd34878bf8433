#include "core/crashing_requests.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

using namespace sycamorestall;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr RequestFingerprint kRequest{7};
constexpr RequestFingerprint kOther{8};

EndpointRun Run(int number) { return {InstanceId{"e" + std::to_string(number)}, {1}}; }

// A history with its own clock.
struct Setup {
  void Crash(RequestFingerprint request, int endpoint) {
    requests.RecordBreak(request, Run(endpoint), now);
    now += milliseconds{900};
    requests.RecordEnd(Run(endpoint), now);
  }
  bool IsBlocked(RequestFingerprint request) const {
    return requests.BlockedFor(request, now) > Duration{};
  }

  Instant now = Instant{} + std::chrono::hours{1};
  CrashingRequests requests;
};

}  // namespace

// Guards against a request that crashes the endpoints that run it and is sent on without end.
TEST_CASE("a request is blocked once it has crashed three endpoints, and only that one") {
  Setup setup;
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(setup.IsBlocked(kRequest));
    setup.Crash(kRequest, i);
  }
  CHECK(setup.IsBlocked(kRequest));
  CHECK_FALSE(setup.IsBlocked(kOther));
  setup.now += std::chrono::minutes{5};
  setup.requests.DiscardOld(setup.now);
  CHECK(setup.IsBlocked(kRequest));
  // When the block ends, one more crash renews it.
  setup.now += setup.requests.BlockedFor(kRequest, setup.now);
  CHECK_FALSE(setup.IsBlocked(kRequest));
  setup.requests.DiscardOld(setup.now);
  setup.Crash(kRequest, 3);
  CHECK(setup.IsBlocked(kRequest));
}

TEST_CASE("a harmless request is not blocked, whatever happens to the endpoints that run it") {
  using Step = std::function<void(Setup&, int)>;
  struct Row {
    const char* name;
    Step step;
  };
  const Row rows[] = {
      {"connections are closed by endpoints that go on answering",
       [](Setup& setup, int i) {
         setup.requests.RecordBreak(kRequest, Run(i), setup.now);
         setup.now += milliseconds{300};
         setup.requests.RecordAnswer(Run(i).endpoint, setup.now);
         setup.requests.RecordEnd(Run(i), setup.now);
       }},
      {"connections are closed by endpoints that refuse others for a moment",
       [](Setup& setup, int i) {
         setup.requests.RecordBreak(kRequest, Run(i), setup.now);
         setup.requests.RecordRefusal(Run(i).endpoint, setup.now + milliseconds{10});
         setup.requests.RecordAnswer(Run(i).endpoint, setup.now + milliseconds{60});
         setup.requests.RecordEnd(Run(i), setup.now + milliseconds{70});
       }},
      {"it runs beside one that crashes endpoints, and is answered elsewhere",
       [](Setup& setup, int i) {
         setup.requests.RecordBreak(kRequest, Run(i), setup.now);
         setup.Crash(kOther, i);
         setup.requests.RecordCompletion(kRequest, setup.now);
       }},
      {"the same endpoint ends its connections again and again",
       [](Setup& setup, int) {
         setup.requests.RecordBreak(kRequest, Run(0), setup.now);
         setup.now += milliseconds{1000};
         setup.requests.RecordEnd(Run(0), setup.now);
       }},
      {"endpoints are removed long after they closed a connection",
       [](Setup& setup, int i) {
         setup.requests.RecordBreak(kRequest, Run(i), setup.now);
         setup.now += std::chrono::seconds{11};
         setup.requests.RecordEnd(Run(i), setup.now);
       }},
      {"another daemon reports crashes from before it was answered",
       [](Setup& setup, int i) {
         setup.Crash(kRequest, i);
         const auto reports = setup.requests.TakeReports(setup.now);
         setup.requests.RecordCompletion(kRequest, setup.now);
         for (const CrashReport& each : reports) {
           setup.requests.ApplyReport(each, setup.now);
         }
       }},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    Setup setup;
    for (int i = 0; i < 6; ++i) {
      row.step(setup, i);
      setup.now += milliseconds{1000};
      CHECK_FALSE(setup.IsBlocked(kRequest));
    }
  }
}

TEST_CASE(
    "answers that a crashed endpoint had sent before, or after its new start, clear nothing") {
  for (const int answered_ms : {5, 1500}) {
    CAPTURE(answered_ms);
    Setup setup;
    for (int i = 0; i < 3; ++i) {
      setup.requests.RecordBreak(kRequest, Run(i), setup.now);
      setup.now += milliseconds{answered_ms};
      setup.requests.RecordAnswer(Run(i).endpoint, setup.now);
      setup.now += milliseconds{2000};
      setup.requests.RecordEnd(Run(i), setup.now);
    }
    CHECK(setup.IsBlocked(kRequest));
  }
}

TEST_CASE("daemons learn from each other which requests crash endpoints, also after a restart") {
  Setup daemons[3];
  // Each saw one crash.
  for (int i = 0; i < 3; ++i) {
    daemons[i].Crash(kRequest, i);
  }
  const auto exchange = [&] {
    for (Setup& sender : daemons) {
      for (const CrashReport& report : sender.requests.TakeReports(sender.now)) {
        for (Setup& receiver : daemons) {
          receiver.requests.ApplyReport(report, receiver.now);
        }
      }
    }
  };
  exchange();
  for (const Setup& each : daemons) {
    CHECK(each.IsBlocked(kRequest));
  }
  // A long time later a daemon that has restarted is told as well.
  for (Setup& each : daemons) {
    each.now += std::chrono::minutes{2};
  }
  daemons[0].requests = {};
  CHECK_FALSE(daemons[0].IsBlocked(kRequest));
  exchange();
  CHECK(daemons[0].IsBlocked(kRequest));
}

// Guards against a history that is full of harmless requests and takes up no other.
TEST_CASE("a request is blocked however many others ran at endpoints that crashed") {
  constexpr int kCrashes = 40;
  constexpr std::uint64_t kOthersPerCrash = 60;
  Setup setup;
  for (int i = 0; i < kCrashes; ++i) {
    for (std::uint64_t other = 0; other < kOthersPerCrash; ++other) {
      setup.requests.RecordBreak({1000 + kOthersPerCrash * static_cast<std::uint64_t>(i) + other},
                                 Run(i), setup.now);
    }
    setup.now += milliseconds{900};
    setup.requests.RecordEnd(Run(i), setup.now);
  }
  for (int i = 0; i < 3; ++i) {
    setup.Crash(kRequest, kCrashes + i);
  }
  CHECK(setup.IsBlocked(kRequest));
  CHECK(setup.requests.TakeReports(setup.now).size() <= 64);
}

// Guards against reports that are full of harmless requests and never tell of the other.
TEST_CASE("daemons learn of a request that crashes endpoints among many that ran beside it") {
  constexpr int kExchanges = 20;
  Setup daemons[3];
  for (int i = 0; i < 3; ++i) {
    for (std::uint64_t other = 0; other < 300; ++other) {
      daemons[i].requests.RecordBreak({100 + other}, Run(i), daemons[i].now);
    }
    daemons[i].Crash({100'000}, i);
    // Only the one has no answer in the end.
    for (std::uint64_t other = 0; other < 300; other += 2) {
      daemons[i].requests.RecordCompletion({100 + other}, daemons[i].now);
    }
  }
  for (int exchange = 0; exchange < kExchanges; ++exchange) {
    for (Setup& sender : daemons) {
      const auto reports = sender.requests.TakeReports(sender.now);
      CHECK(reports.size() <= 64);
      for (const CrashReport& report : reports) {
        for (Setup& receiver : daemons) {
          receiver.requests.ApplyReport(report, receiver.now);
        }
      }
      sender.now += milliseconds{400};
    }
  }
  for (const Setup& each : daemons) {
    CHECK(each.IsBlocked({100'000}));
  }
}

TEST_CASE("a third crash counts before it is certain, as the first two are") {
  Setup setup;
  setup.requests.RecordBreak(kRequest, Run(0), setup.now);
  setup.requests.RecordBreak(kRequest, Run(1), setup.now);
  setup.now += milliseconds{600};
  CHECK_FALSE(setup.IsBlocked(kRequest));
  setup.requests.RecordRefusal(Run(0).endpoint, setup.now);
  setup.requests.RecordRefusal(Run(1).endpoint, setup.now);
  CHECK_FALSE(setup.IsBlocked(kRequest));
  setup.requests.RecordBreak(kRequest, Run(2), setup.now);
  CHECK_FALSE(setup.IsBlocked(kRequest));
  setup.now += milliseconds{600};
  CHECK(setup.IsBlocked(kRequest));
}

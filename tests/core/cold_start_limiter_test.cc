// Cold endpoints: how many requests reach one from all daemons together, and when one is cold.

#include "core/cold_start_limiter.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/endpoint_choice.h"

using namespace sycamorestall;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceName kService{"soil"};
constexpr ColdRateLimit kLimit{1.5, 8};
constexpr double kColdRate = 4;
constexpr double kMaxPerSecond = kColdRate * kLimit.factor + kLimit.slack;
constexpr std::size_t kDomains = 3;
constexpr std::size_t kDaemonCounts[] = {5, 34, 93, 300};

Instant At(double seconds) {
  return Instant{std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds))};
}

DomainName Domain(std::size_t number) { return DomainName{"d" + std::to_string(number)}; }

EndpointEntry Entry(const std::string& id, std::uint64_t incarnation, Duration warm_up_left = {}) {
  EndpointEntry entry;
  entry.id = InstanceId{id};
  entry.service = kService;
  entry.domain = Domain(0);
  entry.address = {"10.0.0.1", 80};
  entry.slots = 6;
  entry.incarnation = {incarnation};
  entry.warm_up_left = warm_up_left;
  return entry;
}

// Daemons that all have requests for the same cold endpoints.
class ColdSimulation {
 public:
  using View = std::map<InstanceId, DomainName>;

  ColdSimulation(std::size_t daemons, std::size_t endpoints, std::size_t warm_endpoints = 0) {
    fleet_.SetColdTerms(kService, {seconds{60}, kColdRate});
    for (std::size_t i = 0; i < endpoints; ++i) {
      fleet_.Put(Entry("e" + std::to_string(i), 1, seconds{60}), At(0));
      arrivals_[InstanceId{"e" + std::to_string(i)}] = {};
    }
    for (std::size_t i = 0; i < warm_endpoints; ++i) {
      fleet_.Put(Entry("w" + std::to_string(i), 1), At(0));
    }
    // All are as fast, so that nothing but the limit keeps requests from the cold ones.
    const auto endpoints_of_service = fleet_.EndpointsOfService(kService);
    for (const auto& [id, endpoint] : endpoints_of_service) {
      fleet_.EndRequest(id, AttemptResult::kServed, milliseconds{410}, 1, At(0));
    }
    for (std::size_t i = 0; i < daemons; ++i) {
      all_[Id(i)] = Domain(i % kDomains);
      limiters_.push_back(std::make_unique<ColdStartLimiter>(Id(i), kLimit));
    }
  }

  static InstanceId Id(std::size_t daemon) { return InstanceId{"r" + std::to_string(daemon)}; }
  const View& all() const { return all_; }
  std::mt19937_64& random() { return random_; }

  void SetView(std::size_t daemon, View view, double now_s) {
    view[Id(daemon)] = all_.at(Id(daemon));
    limiters_[daemon]->SetDaemons(std::move(view), At(now_s));
  }
  void SetFullViews(double now_s) {
    for (std::size_t i = 0; i < limiters_.size(); ++i) {
      SetView(i, all_, now_s);
    }
  }
  void Restart(std::size_t daemon) {
    limiters_[daemon] = std::make_unique<ColdStartLimiter>(Id(daemon), kLimit);
  }

  // Each daemon tries every cold endpoint in each 20 ms. A request takes up to 0.4 s to arrive.
  void Run(double from_s, double to_s) {
    for (double now_s = from_s; now_s < to_s; now_s += 0.02) {
      for (const auto& [id, arrivals] : arrivals_) {
        for (const auto& limiter : limiters_) {
          if (limiter->MaySend(*fleet_.Find(id), At(now_s))) {
            Send(*limiter, id, now_s);
          }
        }
      }
    }
  }
  // Each daemon chooses an endpoint for one request in each 20 ms. Returns how many found none.
  std::size_t RunChoices(double from_s, double to_s) {
    std::size_t refused = 0;
    const DomainReachability domains;
    for (double now_s = from_s; now_s < to_s; now_s += 0.02) {
      for (const auto& limiter : limiters_) {
        EndpointChoiceRequest request{kService, Domain(0), {}, 1.2, domains, At(now_s)};
        request.cold_limiter = limiter.get();
        const auto choice = LeastLatencyChooser{}.Choose(fleet_, request);
        refused += choice ? 0 : 1;
        if (choice) {
          Send(*limiter, choice->endpoint, now_s);
        }
      }
    }
    return refused;
  }

  // The most requests that reached an endpoint within one second.
  std::size_t MaxInOneSecond() {
    std::size_t max = 0;
    for (auto& [id, arrivals] : arrivals_) {
      std::sort(arrivals.begin(), arrivals.end());
      for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto end = std::lower_bound(first, arrivals.end(), *first + 1);
        max = std::max(max, static_cast<std::size_t>(end - first));
      }
    }
    return max;
  }
  // Requests per second and endpoint.
  double MeanRate(double time_s) const {
    std::size_t total = 0;
    for (const auto& [id, arrivals] : arrivals_) {
      total += arrivals.size();
    }
    return static_cast<double>(total) / time_s / static_cast<double>(arrivals_.size());
  }

 private:
  void Send(ColdStartLimiter& limiter, const InstanceId& id, double now_s) {
    limiter.RecordSend(*fleet_.Find(id), At(now_s));
    const auto arrivals = arrivals_.find(id);
    if (arrivals != arrivals_.end()) {
      arrivals->second.push_back(now_s + std::uniform_real_distribution<double>{0, 0.4}(random_));
    }
  }

  std::mt19937_64 random_{1};
  EndpointFleet fleet_;
  View all_;
  std::vector<std::unique_ptr<ColdStartLimiter>> limiters_;
  std::map<InstanceId, std::vector<double>> arrivals_;
};

}  // namespace

// Guards against daemons whose shares add up to more than a cold endpoint bears, and against shares
// so small that it gets next to nothing.
TEST_CASE("a burst at cold endpoints of a whole domain stays at the rate that they bear") {
  for (const std::size_t daemons : kDaemonCounts) {
    CAPTURE(daemons);
    ColdSimulation simulation{daemons, 40};
    simulation.SetFullViews(0);
    simulation.Run(0, 20);
    CHECK(simulation.MaxInOneSecond() <= kColdRate);
    CHECK(simulation.MeanRate(18) >= kColdRate / 2);
    MESSAGE(daemons << " daemons: at most " << simulation.MaxInOneSecond() << ", mean "
                    << simulation.MeanRate(18));
  }
}

// Guards against requests that are refused, or sent to cold endpoints, while warm ones take them.
TEST_CASE("requests without keys are served elsewhere when a whole domain returns") {
  for (const std::size_t daemons : kDaemonCounts) {
    CAPTURE(daemons);
    ColdSimulation simulation{daemons, 40, 80};
    simulation.SetFullViews(0);
    CHECK(simulation.RunChoices(0, 5) == 0);
    CHECK(simulation.MaxInOneSecond() <= kColdRate);
    CHECK(simulation.MeanRate(5) > 0);
  }
}

// Guards against a second share used by a daemon that does not know what it sent before its
// restart, and against shares of those that started before they knew one another.
TEST_CASE("the limit holds when half of the daemons restart") {
  for (const std::size_t daemons : kDaemonCounts) {
    CAPTURE(daemons);
    ColdSimulation simulation{daemons, 40};
    simulation.SetFullViews(0);
    simulation.Run(0, 5);
    // The survivors still count those that restart; these see the survivors first, and the others
    // of their kind 1.5 s later.
    ColdSimulation::View survivors;
    for (std::size_t i = 1; i < daemons; i += 2) {
      survivors[ColdSimulation::Id(i)] = simulation.all().at(ColdSimulation::Id(i));
    }
    for (std::size_t i = 0; i < daemons; i += 2) {
      simulation.Restart(i);
      simulation.SetView(i, survivors, 5);
    }
    simulation.Run(5, 6.5);
    simulation.SetFullViews(6.5);
    simulation.Run(6.5, 12);
    CHECK(simulation.MaxInOneSecond() <= kColdRate);
    MESSAGE(daemons << " daemons: at most " << simulation.MaxInOneSecond());
  }
}

// Guards against a sum of shares over the limit while daemons know different daemons.
TEST_CASE("the limit holds while the daemons' views differ by a factor of three") {
  enum class Views { kSeparateThirds, kRandomSizes };
  struct Row {
    std::string name;
    Views views;
  };
  const Row rows[] = {{"each third knows only itself", Views::kSeparateThirds},
                      {"each knows a random third to all", Views::kRandomSizes}};
  for (const Row& row : rows) {
    for (const std::size_t daemons : kDaemonCounts) {
      CAPTURE(row.name);
      CAPTURE(daemons);
      ColdSimulation simulation{daemons, 40};
      std::uniform_real_distribution<double> share{1.0 / 3, 1};
      for (std::size_t i = 0; i < daemons; ++i) {
        const double own_share = share(simulation.random());
        ColdSimulation::View view;
        for (std::size_t j = 0; j < daemons; ++j) {
          const bool known =
              row.views == Views::kSeparateThirds
                  ? j / kDomains % 3 == i / kDomains % 3
                  : std::uniform_real_distribution<double>{}(simulation.random()) < own_share;
          if (known) {
            view[ColdSimulation::Id(j)] = simulation.all().at(ColdSimulation::Id(j));
          }
        }
        simulation.SetView(i, std::move(view), 0);
      }
      simulation.Run(0, 10);
      CHECK(simulation.MaxInOneSecond() <= kMaxPerSecond);
      MESSAGE(row.name << ", " << daemons << " daemons: at most " << simulation.MaxInOneSecond());
    }
  }
}

// Guards against an allowance that breaks the limit at rates where the slack weighs little.
TEST_CASE("three times the allowance is within the limit") {
  struct Row {
    double rate;
    ColdRateLimit limit;
    std::size_t requests;
    Duration period;
  };
  const Row rows[] = {{4, {1.5, 8}, 4, seconds{1}},   {100, {1.5, 8}, 52, seconds{1}},
                      {4.9, {1.5, 8}, 4, seconds{1}}, {0.5, {1.5, 8}, 1, seconds{2}},
                      {2, {1.5, 0}, 1, seconds{1}},   {1, {1.5, 0}, 0, seconds{1}},
                      {0.5, {1.5, 0}, 0, seconds{2}}};
  for (const Row& row : rows) {
    CAPTURE(row.rate);
    CAPTURE(row.limit.slack);
    CHECK(AllowanceFor(row.rate, row.limit) == ColdAllowance{row.requests, row.period});
  }
}

// Guards against restarts that are taken for warm endpoints, and warm ones for restarts.
TEST_CASE("an endpoint is cold after a start, when its entry says so, and after a refusal") {
  EndpointFleet fleet;
  fleet.SetColdTerms(kService, {seconds{8}, kColdRate});
  fleet.Put(Entry("warm", 1), At(0));
  fleet.Put(Entry("starting", 1, seconds{5}), At(0));
  fleet.FinishLoading();
  const auto cold_until_s = [&](const std::string& id) {
    return std::chrono::duration<double>(fleet.Find(InstanceId{id})->ColdUntil().time_since_epoch())
        .count();
  };
  CHECK(cold_until_s("warm") == 0);
  CHECK(cold_until_s("starting") == 5);

  SUBCASE("a new start counts as cold though its entry names no warm-up") {
    fleet.Put(Entry("warm", 2), At(20));
    CHECK(cold_until_s("warm") == 28);
  }
  SUBCASE("the same start that lapsed from the list is not a new one") {
    fleet.Remove(InstanceId{"warm"}, At(20));
    fleet.Put(Entry("warm", 1), At(25));
    CHECK(cold_until_s("warm") == 0);
  }
  SUBCASE("a warm-up that runs down is no change, and one that begins anew is") {
    CHECK_FALSE(fleet.HasBecomeCold(Entry("starting", 1, milliseconds{4200}), At(1.7)));
    CHECK_FALSE(fleet.HasBecomeCold(Entry("warm", 1), At(30)));
    CHECK(fleet.HasBecomeCold(Entry("warm", 1, seconds{8}), At(30)));
    fleet.Put(Entry("warm", 1, seconds{8}), At(30));
    CHECK(cold_until_s("warm") == 38);
    // An entry that is read late neither ends the warm-up early nor prolongs it without end.
    fleet.Put(Entry("warm", 1, milliseconds{7100}), At(30.9));
    CHECK(cold_until_s("warm") == 38);
  }
  SUBCASE("a refused connection limits the endpoint until a restart would be listed") {
    const InstanceId id{"warm"};
    fleet.HandleRefusedConnection(id, At(20));
    CHECK(fleet.Find(id)->LimitedUntil() == At(22));
    CHECK_FALSE(fleet.Find(id)->IsCold(At(20.5)));
    CHECK_FALSE(fleet.HandleAcceptedConnection(id, At(19.9), At(20.1)));
    CHECK(fleet.HandleAcceptedConnection(id, At(20.1), At(20.5)));
    CHECK(cold_until_s("warm") == 28.5);
    CHECK_FALSE(fleet.HandleAcceptedConnection(id, At(20.6), At(21)));
    CHECK(cold_until_s("warm") == 28.5);
  }
  SUBCASE("without terms no endpoint is cold") {
    fleet.SetColdTerms(kService, {});
    fleet.HandleRefusedConnection(InstanceId{"starting"}, At(1));
    CHECK(fleet.Find(InstanceId{"starting"})->LimitedUntil() == Instant{});
    CHECK_FALSE(fleet.HandleAcceptedConnection(InstanceId{"starting"}, At(1), At(2)));
  }
}

// Guards against requests for a cold endpoint beside the limiter, and against a service that stands
// still because one of its endpoints is cold.
TEST_CASE("a request goes to another endpoint when the chosen one is cold") {
  EndpointFleet fleet;
  fleet.SetColdTerms(kService, {seconds{8}, kColdRate});
  fleet.Put(Entry("cold", 1, seconds{8}), At(0));
  ColdStartLimiter limiter{InstanceId{"r0"}, kLimit};
  // As many daemons share the allowance as it has requests.
  limiter.SetDaemons({{InstanceId{"r0"}, Domain(0)},
                      {InstanceId{"r1"}, Domain(0)},
                      {InstanceId{"r2"}, Domain(1)},
                      {InstanceId{"r3"}, Domain(1)}},
                     At(0));
  DomainReachability domains;
  const LeastLatencyChooser chooser;
  const auto choose = [&](double now_s) {
    EndpointChoiceRequest request{kService, Domain(0), {}, 1.2, domains, At(now_s)};
    request.cold_limiter = &limiter;
    const auto choice = chooser.Choose(fleet, request);
    if (choice) {
      limiter.RecordSend(*fleet.Find(choice->endpoint), At(now_s));
    }
    return choice ? choice->endpoint.value() : "";
  };
  CHECK(choose(1) == "");
  CHECK(limiter.TimeUntilSend(fleet, kService, At(1)) == seconds{1});
  CHECK(choose(3) == "cold");
  CHECK(choose(3.1) == "");
  CHECK(limiter.TimeUntilSend(fleet, kService, At(3.1)) == milliseconds{1300});
  // A request of which no byte was sent does not count.
  limiter.RecordUnsent(InstanceId{"cold"}, At(3));
  CHECK(choose(3.1) == "cold");
  fleet.Put(Entry("other", 1), At(3.2));
  CHECK(choose(3.2) == "other");
  CHECK(choose(8.1) != "");
}

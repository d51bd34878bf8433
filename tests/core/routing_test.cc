#include <doctest/doctest.h>

#include <cmath>
#include <map>
#include <string>

#include "core/admission.h"
#include "core/domain_reachability.h"
#include "core/endpoint_choice.h"
#include "core/route_table.h"
#include "core/sliding_window_retry_budget.h"

using namespace sycamorestall;    // NOLINT
using std::chrono::milliseconds;  // NOLINT
using std::chrono::seconds;       // NOLINT

namespace {

const Instant kStart{seconds{1000}};

Route MakeRoute(const std::string& host, const std::string& prefix,
                std::vector<WeightedService> services) {
  Route route;
  route.name = prefix;
  route.host = host;
  route.prefix = prefix;
  route.services = std::move(services);
  return route;
}

EndpointEntry MakeEndpoint(const std::string& id, const std::string& domain = "north") {
  EndpointEntry entry;
  entry.id = InstanceId{id};
  entry.service = ServiceName{"pumps"};
  entry.address = {"127.0.0.1", 1};
  entry.domain = DomainName{domain};
  entry.slots = 4;
  return entry;
}

// Records count finished requests of an endpoint, each with the given latency and result.
void RecordAnswers(EndpointFleet& fleet, const std::string& id, milliseconds latency, int count,
                   AttemptResult result = AttemptResult::kServed) {
  for (int i = 0; i < count; ++i) {
    fleet.BeginRequest(InstanceId{id});
    fleet.EndRequest(InstanceId{id}, result, latency, 1, kStart);
  }
}

}  // namespace

TEST_CASE("the route with the longest matching prefix of the host is found") {
  RoutingConfig config;
  config.routes = {MakeRoute("a.example", "/x/", {{ServiceName{"short"}, 1}}),
                   MakeRoute("a.example", "/x/y/", {{ServiceName{"long"}, 1}}),
                   MakeRoute("b.example", "/x/", {{ServiceName{"other"}, 1}})};
  const RouteTable table{config};
  struct Row {
    std::string host;
    std::string path;
    std::string service;
  };
  const Row rows[] = {{"a.example", "/x/1", "short"}, {"a.example", "/x/y/1", "long"},
                      {"a.example", "/x/y", "short"}, {"b.example", "/x/y/1", "other"},
                      {"a.example", "/x", ""},        {"c.example", "/x/1", ""}};
  for (const Row& row : rows) {
    CAPTURE(row.host);
    CAPTURE(row.path);
    const Route* route = table.Find(row.host, row.path);
    CHECK((route == nullptr ? "" : route->services.front().service.value()) == row.service);
  }
}

TEST_CASE("services of a route get requests by weight, also in short sequences") {
  struct Row {
    std::string name;
    std::vector<double> weights;
  };
  const Row rows[] = {{"even", {1, 1}}, {"ninety to ten", {90, 10}}, {"three", {5, 3, 2}}};
  constexpr int kRequests = 100;
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RoutingConfig config;
    std::vector<WeightedService> services;
    double total = 0;
    for (std::size_t i = 0; i < row.weights.size(); ++i) {
      services.push_back({ServiceName{std::to_string(i)}, row.weights[i]});
      total += row.weights[i];
    }
    config.routes = {MakeRoute("a", "/", services)};
    RouteTable table{config};
    std::map<std::string, int> counts;
    for (int i = 0; i < kRequests; ++i) {
      ++counts[table.SelectService(*table.Find("a", "/")).value()];
    }
    for (std::size_t i = 0; i < row.weights.size(); ++i) {
      CHECK(std::abs(counts[std::to_string(i)] - kRequests * row.weights[i] / total) <= 1);
    }
  }
}

TEST_CASE("the retries of all daemons together stay within the limits") {
  struct Row {
    std::string name;
    // Requests per second at each daemon.
    std::vector<int> rates;
  };
  const Row rows[] = {
      {"even", {50, 50, 50, 50}}, {"all at one", {200, 0, 0, 0}}, {"uneven", {150, 30, 15, 5}}};
  const RetryLimits limits{0.2, 56, seconds{10}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::vector<SlidingWindowRetryBudget> daemons(row.rates.size(),
                                                  SlidingWindowRetryBudget{limits});
    int requests = 0;
    int retries = 0;
    // Every request asks for a retry, for the length of one window.
    for (int second = 0; second < 10; ++second) {
      for (std::size_t i = 0; i < daemons.size(); ++i) {
        for (int n = 0; n < row.rates[i]; ++n) {
          const Instant now = kStart + seconds{second} + milliseconds{n};
          daemons[i].CountRequest(ServiceName{"pumps"}, now);
          ++requests;
          retries += daemons[i].TryConsumeRetry(ServiceName{"pumps"}, daemons.size(), now) ? 1 : 0;
        }
      }
    }
    CHECK(retries <= limits.share * requests + limits.extra);
    CHECK(retries > 0);
  }
}

TEST_CASE("the endpoint with the lowest expected cost is chosen") {
  struct Row {
    std::string name;
    milliseconds latency_a;
    milliseconds latency_b;
    int in_flight_a;
    AttemptResult last_result_of_a;
    std::string expected;
  };
  using Result = AttemptResult;
  const Row rows[] = {
      {"the faster one", milliseconds{50}, milliseconds{200}, 0, Result::kServed, "a"},
      {"not the slow one", milliseconds{400}, milliseconds{100}, 0, Result::kServed, "b"},
      {"not the full one", milliseconds{100}, milliseconds{120}, 8, Result::kServed, "b"},
      {"not the unreachable one", milliseconds{50}, milliseconds{200}, 0, Result::kUnreachable,
       "b"},
      {"not the failing one", milliseconds{100}, milliseconds{120}, 0, Result::kFailed, "b"}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EndpointFleet fleet;
    fleet.Put(MakeEndpoint("a"), kStart);
    fleet.Put(MakeEndpoint("b"), kStart);
    RecordAnswers(fleet, "a", row.latency_a, 30);
    RecordAnswers(fleet, "b", row.latency_b, 30);
    RecordAnswers(fleet, "a", row.latency_a, 3, row.last_result_of_a);
    for (int i = 0; i < row.in_flight_a; ++i) {
      fleet.BeginRequest(InstanceId{"a"});
    }
    const DomainReachability reachability;
    const auto choice = LeastLatencyChooser{}.Choose(
        fleet, {ServiceName{"pumps"}, DomainName{"north"}, {}, 1.2, reachability, kStart});
    REQUIRE(choice.has_value());
    CHECK(choice->endpoint.value() == row.expected);
  }
}

TEST_CASE("draining endpoints, tried ones and those of other services are not chosen") {
  EndpointFleet fleet;
  EndpointEntry draining = MakeEndpoint("draining");
  draining.draining = true;
  EndpointEntry of_other_service = MakeEndpoint("other service");
  of_other_service.service = ServiceName{"photos"};
  fleet.Put(draining, kStart);
  fleet.Put(of_other_service, kStart);
  fleet.Put(MakeEndpoint("tried"), kStart);
  const DomainReachability reachability;
  const auto choice = LeastLatencyChooser{}.Choose(fleet, {ServiceName{"pumps"},
                                                           DomainName{"north"},
                                                           {InstanceId{"tried"}},
                                                           1.2,
                                                           reachability,
                                                           kStart});
  CHECK_FALSE(choice.has_value());
}

TEST_CASE("a restart resets the measurements of an endpoint") {
  EndpointFleet fleet;
  EndpointEntry entry = MakeEndpoint("a");
  fleet.Put(entry, kStart);
  RecordAnswers(fleet, "a", milliseconds{900}, 20);
  RecordAnswers(fleet, "a", milliseconds{0}, 3, AttemptResult::kUnreachable);
  entry.incarnation = {2};
  fleet.Put(entry, kStart);
  CHECK(fleet.Find(InstanceId{"a"})->mean_service_time_s == 0);
  CHECK(fleet.Find(InstanceId{"a"})->avoid_until <= kStart);
  CHECK(fleet.MeanServiceTimeSeconds(ServiceName{"pumps"}) == 0);
}

TEST_CASE("requests that cannot be served in time are refused, low priorities first") {
  struct Row {
    std::string name;
    int in_flight;
    std::size_t peers_in_flight;
    int priority;
    milliseconds time_left;
    std::size_t daemons;
    bool admitted;
  };
  const Row rows[] = {{"idle", 0, 0, 0, milliseconds{1000}, 1, true},
                      {"no time left", 0, 0, 0, milliseconds{50}, 1, false},
                      {"queueing, high priority", 8, 0, 0, milliseconds{1000}, 1, true},
                      {"queueing, low priority", 8, 0, 2, milliseconds{1000}, 1, false},
                      {"filled by other daemons", 0, 12, 0, milliseconds{1000}, 4, false},
                      {"share of the daemon used up", 3, 0, 0, milliseconds{1000}, 26, false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EndpointFleet fleet;
    fleet.Put(MakeEndpoint("a"), kStart);
    RecordAnswers(fleet, "a", milliseconds{100}, 20);
    for (int i = 0; i < row.in_flight; ++i) {
      fleet.BeginRequest(InstanceId{"a"});
    }
    fleet.SetPeersInFlight(InstanceId{"a"}, row.peers_in_flight);
    const EndpointState& endpoint = *fleet.Find(InstanceId{"a"});
    const AdmissionDecision decision =
        CheckAdmission(endpoint, ExpectedLatencySeconds(endpoint, 0.1, kStart),
                       {row.time_left, row.priority, row.daemons});
    CHECK(decision.admitted == row.admitted);
    if (!decision.admitted) {
      CHECK(decision.retry_after >= milliseconds{50});
      CHECK(decision.retry_after <= seconds{1});
    }
  }
}

TEST_CASE("the time to retry grows with the requests that callers have in excess") {
  struct Row {
    std::string name;
    double demand_ratio;
    milliseconds min;
    milliseconds max;
  };
  // At 11 open requests on 4 slots the endpoint is full.
  const Row rows[] = {{"not known", 0, milliseconds{50}, milliseconds{1000}},
                      {"as many as it runs", 1, milliseconds{50}, milliseconds{1000}},
                      {"three times as many", 3, milliseconds{400}, milliseconds{1500}},
                      {"a hundred times as many", 100, milliseconds{5000}, milliseconds{10'000}}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EndpointFleet fleet;
    fleet.Put(MakeEndpoint("a"), kStart);
    RecordAnswers(fleet, "a", milliseconds{100}, 20);
    fleet.SetPeersInFlight(InstanceId{"a"}, 11);
    const EndpointState& endpoint = *fleet.Find(InstanceId{"a"});
    const AdmissionDecision decision =
        CheckAdmission(endpoint, ExpectedLatencySeconds(endpoint, 0.1, kStart),
                       {seconds{5}, 0, 1, row.demand_ratio});
    REQUIRE_FALSE(decision.admitted);
    CHECK(decision.retry_after >= row.min);
    CHECK(decision.retry_after <= row.max);
  }
}

TEST_CASE("requests for an endpoint or a service are compared with what it can run") {
  EndpointFleet fleet;
  fleet.Put(MakeEndpoint("a"), kStart);
  fleet.Put(MakeEndpoint("b"), kStart);
  CHECK(fleet.DemandRatio(InstanceId{"a"}, kStart) == 0);
  // Both run 40 requests a second.
  RecordAnswers(fleet, "a", milliseconds{100}, 20);
  RecordAnswers(fleet, "b", milliseconds{100}, 20);
  Instant now = kStart;
  for (int i = 0; i < 600; ++i) {
    now += milliseconds{10};
    fleet.CountDemand(InstanceId{"a"}, now);
    fleet.CountDemand(ServiceName{"pumps"}, now);
  }
  CHECK(fleet.DemandRatio(InstanceId{"a"}, now) == doctest::Approx(2.5).epsilon(0.05));
  CHECK(fleet.DemandRatio(ServiceName{"pumps"}, now) == doctest::Approx(1.25).epsilon(0.05));
  CHECK(fleet.DemandRatio(InstanceId{"b"}, now) == 0);
  CHECK(fleet.DemandRatio(InstanceId{"a"}, now + seconds{10}) < 0.01);
  fleet.Remove(InstanceId{"b"}, now);
  CHECK(fleet.DemandRatio(ServiceName{"pumps"}, now) == doctest::Approx(2.5).epsilon(0.05));
}

TEST_CASE("service times that other daemons measured count like own ones") {
  EndpointFleet own;
  EndpointFleet leader;
  for (EndpointFleet* fleet : {&own, &leader}) {
    fleet->Put(MakeEndpoint("slow"), kStart);
    fleet->Put(MakeEndpoint("fast"), kStart);
  }
  constexpr int kAnswers = 120;
  RecordAnswers(own, "slow", milliseconds{200}, kAnswers);
  RecordAnswers(own, "fast", milliseconds{100}, kAnswers);
  // The leader had seen one unusual answer of its own.
  RecordAnswers(leader, "fast", milliseconds{500}, 1);
  const auto measured = own.DrainServiceTimes(ServiceName{"pumps"});
  CHECK(measured.size() == 2);
  CHECK(own.DrainServiceTimes(ServiceName{"pumps"}).empty());
  for (const auto& [id, times] : measured) {
    CHECK(times.count == kAnswers);
    leader.AddServiceTimes(id, times);
  }
  const auto mean = [&leader](const std::string& id) {
    return leader.Find(InstanceId{id})->mean_service_time_s;
  };
  CHECK(mean("slow") == doctest::Approx(0.2));
  CHECK(mean("fast") == doctest::Approx(0.1).epsilon(0.2));
  // A report of nothing, or of an endpoint that is gone, changes nothing.
  leader.AddServiceTimes(InstanceId{"slow"}, {0, 9});
  leader.AddServiceTimes(InstanceId{"gone"}, {5, 9});
  CHECK(mean("slow") == doctest::Approx(0.2));
}

TEST_CASE("a domain is unreachable when neither daemons nor endpoints are heard") {
  struct Row {
    std::string name;
    int last_daemon_message_ms;
    int last_answer_ms;
    int now_ms;
    bool unreachable;
  };
  const Row rows[] = {{"both heard", 1000, 1000, 1100, false},
                      {"daemon lost, endpoints answer", 0, 1000, 1100, false},
                      {"endpoints not asked, daemon heard", 1000, 0, 1100, false},
                      {"both silent", 1000, 1000, 1600, true}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    DomainReachability reachability;
    const DomainName domain{"south"};
    reachability.RecordDaemonMessage(domain, milliseconds{100},
                                     kStart + milliseconds{row.last_daemon_message_ms});
    reachability.RecordEndpointAnswer(domain, kStart + milliseconds{row.last_answer_ms});
    const Instant now = kStart + milliseconds{row.now_ms};
    CHECK(reachability.IsUnreachable(domain, now) == row.unreachable);
    // One request is still allowed as a probe, to detect the domain's return.
    CHECK(reachability.AllowRequest(domain, now));
    CHECK(reachability.AllowRequest(domain, now) == !row.unreachable);
  }
  CHECK_FALSE(DomainReachability{}.IsUnreachable(DomainName{"never heard"}, kStart));
}

TEST_CASE("another domain is chosen only if its cost is lower despite the factor") {
  struct Row {
    std::string name;
    milliseconds own;
    milliseconds other;
    double factor;
    std::string expected;
  };
  const Row rows[] = {{"equal", milliseconds{100}, milliseconds{100}, 1.2, "own"},
                      {"a little slower", milliseconds{110}, milliseconds{100}, 1.2, "own"},
                      {"much slower", milliseconds{150}, milliseconds{100}, 1.2, "other"},
                      {"much slower, high factor", milliseconds{150}, milliseconds{100}, 2, "own"}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EndpointFleet fleet;
    fleet.Put(MakeEndpoint("own", "north"), kStart);
    fleet.Put(MakeEndpoint("other", "south"), kStart);
    RecordAnswers(fleet, "own", row.own, 10);
    RecordAnswers(fleet, "other", row.other, 10);
    const DomainReachability reachability;
    const auto choice = LeastLatencyChooser{}.Choose(
        fleet, {ServiceName{"pumps"}, DomainName{"north"}, {}, row.factor, reachability, kStart});
    CHECK(choice->endpoint.value() == row.expected);
  }
}

TEST_CASE("a draining owner accepts requests only for a grace period") {
  struct Row {
    std::string name;
    bool draining;
    int elapsed_ms;
    bool accepts;
  };
  const Row rows[] = {{"not draining", false, 5000, true},
                      {"draining, in the grace period", true, 900, true},
                      {"draining, after the grace period", true, 1100, false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EndpointFleet fleet;
    EndpointEntry entry = MakeEndpoint("a");
    fleet.Put(entry, kStart);
    entry.draining = row.draining;
    fleet.Put(entry, kStart);
    // Later entries of the same endpoint do not restart the grace period.
    const Instant now = kStart + milliseconds{row.elapsed_ms};
    fleet.Put(entry, now);
    CHECK(fleet.Find(InstanceId{"a"})->AcceptsOwnedKeys(now) == row.accepts);
  }
}

TEST_CASE("an endpoint that announced its leaving is not used again until it restarts") {
  enum class Event {
    kEntry,
    kRestart,
    kRemoved,
    kAnnounced,
    kOldAnswer,
    kAnswerToFirstRequest,
    kReported,
    kOldReport
  };
  struct Row {
    std::string name;
    std::vector<Event> events;
    bool draining;
  };
  using E = Event;
  const Row rows[] = {
      {"never announced", {E::kEntry, E::kEntry}, false},
      {"announced", {E::kEntry, E::kAnnounced}, true},
      {"its entry says ready", {E::kEntry, E::kAnnounced, E::kEntry}, true},
      {"its entry lapses and comes back", {E::kEntry, E::kAnnounced, E::kRemoved, E::kEntry}, true},
      {"announced after its entry lapsed",
       {E::kEntry, E::kRemoved, E::kAnnounced, E::kEntry},
       true},
      {"announced in an answer to a request from before its entry lapsed",
       {E::kEntry, E::kRemoved, E::kEntry, E::kAnswerToFirstRequest},
       true},
      {"restarted", {E::kEntry, E::kAnnounced, E::kRestart}, false},
      {"restarted after it was removed",
       {E::kEntry, E::kAnnounced, E::kRemoved, E::kRestart},
       false},
      {"answer from before the restart", {E::kEntry, E::kRestart, E::kOldAnswer}, false},
      {"reported by another daemon", {E::kEntry, E::kReported, E::kEntry}, true},
      {"report of an earlier start", {E::kEntry, E::kRestart, E::kOldReport}, false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EndpointFleet fleet;
    EndpointEntry entry = MakeEndpoint("a");
    entry.incarnation = {1};
    Instant now = kStart;
    for (const Event event : row.events) {
      now += milliseconds{100};
      switch (event) {
        case Event::kRestart:
          ++entry.incarnation.value;
          [[fallthrough]];
        case Event::kEntry:
          fleet.Put(entry, now);
          break;
        case Event::kRemoved:
          fleet.Remove(entry.id, now);
          break;
        case Event::kAnnounced:
          CHECK(fleet.HandleNotice(entry.id, {.draining = true}, now, now).began_draining);
          // A repeated announcement is not new.
          CHECK_FALSE(fleet.HandleNotice(entry.id, {.draining = true}, now, now).began_draining);
          break;
        case Event::kOldAnswer:
          CHECK_FALSE(fleet.HandleNotice(entry.id, {.draining = true}, kStart, now).began_draining);
          break;
        case Event::kAnswerToFirstRequest:
          // Sent right after the first entry.
          CHECK(fleet.HandleNotice(entry.id, {.draining = true}, kStart + milliseconds{150}, now)
                    .began_draining);
          break;
        case Event::kReported:
          CHECK(fleet.HandleDrainReport(entry.id, entry.incarnation, now));
          break;
        case Event::kOldReport:
          CHECK_FALSE(fleet.HandleDrainReport(entry.id, {1}, now));
          break;
      }
    }
    const EndpointState& endpoint = *fleet.Find(entry.id);
    CHECK(endpoint.draining() == row.draining);
    CHECK(endpoint.AcceptsOwnedKeys(now));
    CHECK(endpoint.AcceptsOwnedKeys(now + seconds{2}) == !row.draining);
    const DomainReachability domains;
    const auto choice = LeastLatencyChooser{}.Choose(
        fleet, {ServiceName{"pumps"}, DomainName{"north"}, {}, 1.2, domains, now});
    CHECK(choice.has_value() == !row.draining);
  }
}

TEST_CASE("an endpoint that wants no requests for some time is not chosen until that has passed") {
  struct Row {
    std::string name;
    // The pauses that it asks for at the start, one after the other.
    std::vector<int> pauses_ms;
    bool relisted;
    bool restarted;
    int elapsed_ms;
    int left_ms;
  };
  const Row rows[] = {
      {"no pause", {}, false, false, 0, 0},
      {"a pause of zero", {0}, false, false, 0, 0},
      {"during the pause", {2000}, false, false, 1500, 500},
      {"after the pause", {2000}, false, false, 2000, 0},
      {"a shorter pause does not end a longer one", {2000, 100}, false, false, 1500, 500},
      {"a longer pause extends a shorter one", {100, 2000}, false, false, 1500, 500},
      {"its entry lapses and comes back", {2000}, true, false, 1500, 500},
      {"restarted", {2000}, false, true, 1500, 0}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EndpointFleet fleet;
    EndpointEntry entry = MakeEndpoint("a");
    fleet.Put(entry, kStart);
    bool began = false;
    for (const int pause_ms : row.pauses_ms) {
      const EndpointNotice notice{.pause = milliseconds{pause_ms}};
      began = fleet.HandleNotice(entry.id, notice, kStart, kStart).began_pause || began;
    }
    CHECK(began == (!row.pauses_ms.empty() && row.pauses_ms.front() > 0));
    const Instant now = kStart + milliseconds{row.elapsed_ms};
    if (row.relisted) {
      fleet.Remove(entry.id, now);
    }
    entry.incarnation.value += row.restarted ? 1 : 0;
    fleet.Put(entry, now);
    CHECK(fleet.Find(entry.id)->PauseLeft(now) == milliseconds{row.left_ms});
    CHECK(fleet.ShortestPause(entry.service, now) == milliseconds{row.left_ms});
    const DomainReachability domains;
    const auto choice = LeastLatencyChooser{}.Choose(
        fleet, {ServiceName{"pumps"}, DomainName{"north"}, {}, 1.2, domains, now});
    CHECK(choice.has_value() == (row.left_ms == 0));
    // Another endpoint takes the requests meanwhile.
    fleet.Put(MakeEndpoint("b"), now);
    CHECK(fleet.ShortestPause(entry.service, now) == Duration{});
  }
}

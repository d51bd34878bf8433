#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <csignal>
#include <future>
#include <map>
#include <regex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "router/router_deployment.h"

using namespace sycamorestall;           // NOLINT
using namespace sycamorestall::testing;  // NOLINT
using sycamorestall::fakes::EndpointFault;
using sycamorestall::fakes::StoreFault;

namespace {

using Clock = std::chrono::steady_clock;

// Repeats a request until it gets the status and returns how long that took; empty after
// 20 s.
std::optional<std::chrono::milliseconds> TimeUntilStatus(RouterDeployment& deployment,
                                                         const CallerRequest& call, int status) {
  const auto begin = Clock::now();
  while (Clock::now() - begin < std::chrono::seconds{20}) {
    if (deployment.SendRequest(0, call).status == status) {
      return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
  }
  return std::nullopt;
}

// How often all endpoints together ran the request with the id.
std::size_t CountExecutions(RouterDeployment& deployment, const std::string& id) {
  std::size_t runs = 0;
  for (const auto* endpoints : {&deployment.soil, &deployment.pumps}) {
    for (const auto& endpoint : *endpoints) {
      const auto execution_counts = endpoint->ExecutionCounts();
      const auto entry = execution_counts.find(id);
      runs += entry == execution_counts.end() ? 0 : static_cast<std::size_t>(entry->second);
    }
  }
  return runs;
}

}  // namespace

TEST_CASE("requests are routed by path and key, with and without a body") {
  RouterDeployment deployment{2, 3, 2};
  REQUIRE(deployment.WaitUntilServed());
  struct Row {
    std::string name;
    CallerRequest call;
    int status;
    std::string body;
  };
  const Row rows[] = {
      {"by key", {.path = "/soil/1", .id = "a", .key = 40'000}, 200, "ran a"},
      {"without key", {.path = "/pumps/1", .method = "POST", .id = "b"}, 200, "ran b"},
      {"with a body",
       {.path = "/pumps/1", .method = "POST", .id = "c", .body = std::string(100'000, 'x')},
       200,
       "ran c"},
      {"no route", {.path = "/nowhere/1", .id = "d"}, 404, ""},
      {"prefix without its slash", {.path = "/soil", .id = "e"}, 404, ""}};
  for (const Row& row : rows) {
    for (std::size_t daemon = 0; daemon < 2; ++daemon) {
      CAPTURE(row.name);
      const CallerAnswer answer = deployment.SendRequest(daemon, row.call);
      CHECK(answer.status == row.status);
      CHECK(answer.id == row.call.id);
      if (!row.body.empty()) {
        CHECK(answer.body == row.body);
      }
    }
  }
  CHECK(deployment.FetchMetrics(0).find("sycamorestall_request_seconds") != std::string::npos);
  CHECK(deployment.ReadLog(0).find("id=a status=200") != std::string::npos);
}

TEST_CASE("metrics use the Prometheus text format and histogram buckets match their counts") {
  RouterDeployment deployment{1, 1, 1};
  REQUIRE(deployment.WaitUntilServed());
  for (int i = 0; i < 5; ++i) {
    CHECK(deployment.SendRequest(0, {.key = 7}).status == 200);
  }
  CHECK(deployment.SendRequest(0, {.path = "/nowhere/1"}).status == 404);
  // Each line is a name, optional labels and a number.
  std::map<std::string, double> metrics;
  std::istringstream lines{deployment.FetchMetrics(0)};
  const std::regex line_format{
      R"re(([a-z_]+(?:\{[a-z]+="[^"]*"(?:,[a-z]+="[^"]*")*\})?) ([-+0-9.e]+))re"};
  for (std::string line; std::getline(lines, line);) {
    CAPTURE(line);
    std::smatch match;
    REQUIRE(std::regex_match(line, match, line_format));
    metrics[match[1]] = std::stod(match[2]);
  }
  const std::string prefix = "sycamorestall_";
  CHECK(metrics[prefix + R"(requests_total{kind="safe",status="200"})"] >= 5);
  CHECK(metrics[prefix + R"(request_failures_total{cause="no route"})"] == 1);
  CHECK(metrics[prefix + R"(endpoint_answers_total{evidence="served"})"] >= 5);
  CHECK(metrics[prefix + R"(store_calls_total{call="read"})"] >= 1);
  CHECK(metrics[prefix + "endpoints_listed"] == 2);
  const std::string largest_bucket =
      prefix + R"(endpoint_seconds_bucket{endpoint="soil-0",le="+Inf"})";
  CHECK(metrics[largest_bucket] >= 5);
  CHECK(metrics[largest_bucket] ==
        metrics[prefix + R"(endpoint_seconds_count{endpoint="soil-0"})"]);
}

TEST_CASE("an unsafe request runs at most once, and a 503 means that it did not run") {
  struct Row {
    std::string name;
    EndpointFault fault;
    int status;
    std::size_t runs;
  };
  const Row rows[] = {{"full", EndpointFault::kFull, 503, 0},
                      {"another request's answer", EndpointFault::kWrongRequestId, 502, 1},
                      {"failing", EndpointFault::kFailing, 500, 1},
                      {"silent", EndpointFault::kSilent, 504, 1}};
  RouterDeployment deployment{1, 1, 2};
  REQUIRE(deployment.WaitUntilServed());
  for (const Row& row : rows) {
    CAPTURE(row.name);
    for (const auto& endpoint : deployment.pumps) {
      endpoint->SetFault(row.fault);
    }
    const CallerAnswer answer = deployment.SendRequest(
        0, {.path = "/pumps/1", .method = "POST", .id = row.name, .timeout_ms = 1500});
    CHECK(answer.status == row.status);
    CHECK(CountExecutions(deployment, row.name) == row.runs);
    CHECK(answer.retry_after.empty() == (row.status != 503));
  }
}

TEST_CASE("a request is resent to the key's owner when it was full or the call broke") {
  struct Row {
    std::string name;
    EndpointFault fault;
    int status;
    std::size_t runs;
  };
  const Row rows[] = {{"full-at-first", EndpointFault::kFullOnFirstAttempt, 200, 1},
                      {"broken-at-first", EndpointFault::kWrongIdOnFirstAttempt, 200, 2},
                      {"full-each-time", EndpointFault::kFull, 503, 0},
                      {"another-one", EndpointFault::kMisdirected, 503, 0}};
  RouterDeployment deployment{1, 2, 1};
  REQUIRE(deployment.WaitUntilServed());
  for (const Row& row : rows) {
    CAPTURE(row.name);
    for (const auto& endpoint : deployment.soil) {
      endpoint->SetFault(row.fault);
    }
    const CallerAnswer answer = deployment.SendRequest(
        0, {.path = "/soil/1", .id = row.name, .key = 5, .timeout_ms = 1500});
    CHECK(answer.status == row.status);
    CHECK(CountExecutions(deployment, row.name) == row.runs);
  }
  // A request is not resent to an endpoint that says it is not the owner.
  std::this_thread::sleep_for(std::chrono::milliseconds{500});
  const std::string log = deployment.ReadLog(0);
  const std::size_t line = log.find("id=another-one ");
  REQUIRE(line != std::string::npos);
  CHECK(log.substr(line, log.find('\n', line) - line).find(" arrivals=1 ") != std::string::npos);
}

TEST_CASE("a request ends at the route's timeout or the caller's, whichever is earlier") {
  struct Row {
    std::string name;
    int timeout_ms;
    int min_ms;
    int max_ms;
  };
  // The route allows 1 s.
  const Row rows[] = {{"route", 5000, 900, 1500}, {"caller", 400, 300, 900}};
  RouterDeployment deployment{1, 1, 1};
  REQUIRE(deployment.WaitUntilServed());
  deployment.pumps.front()->SetFault(EndpointFault::kSilent);
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const auto begin = Clock::now();
    const CallerAnswer answer = deployment.SendRequest(
        0, {.path = "/pumps/1", .method = "POST", .timeout_ms = row.timeout_ms});
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin);
    CHECK(answer.status == 504);
    CHECK(took.count() >= row.min_ms);
    CHECK(took.count() <= row.max_ms);
  }
}

TEST_CASE("keys of an endpoint that drains or restarts are served again within the bound") {
  struct Row {
    std::string name;
    bool drains;
    // The required bound for draining endpoints; restarts are detected from the endpoint
    // list.
    int bound_ms;
  };
  const Row rows[] = {{"drains", true, 2000}, {"restarts", false, 3000}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RouterDeployment deployment{2, 2, 1};
    REQUIRE(deployment.WaitUntilServed());
    const std::size_t owner = deployment.soil[0]->HoldsKey(7) ? 0 : 1;
    if (row.drains) {
      deployment.RegisterEndpoint(*deployment.soil[owner], "draining");
    } else {
      deployment.soil[owner] =
          std::make_unique<fakes::KeyEndpoint>("soil-" + std::to_string(owner), true);
      deployment.RegisterEndpoint(*deployment.soil[owner], "ready", 2);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{row.bound_ms});
    CHECK(deployment.SendRequest(0, {.key = 7}).status == 200);
    CHECK(deployment.SendRequest(1, {.key = 7}).status == 200);
    if (row.drains) {
      const std::size_t other = 1 - owner;
      CHECK(deployment.soil[other]->HoldsKey(7));
      CHECK_FALSE(deployment.soil[owner]->HoldsKey(7));
      CHECK(deployment.soil[other]->LastHandoverState() == "from-" + deployment.soil[owner]->id());
    }
  }
}

TEST_CASE("requests are served while the store is unreachable, with the last known state") {
  struct Row {
    std::string name;
    StoreFault fault;
  };
  const Row rows[] = {{"refuses", StoreFault::kBusy}, {"silent", StoreFault::kSilent}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RouterDeployment deployment{2, 2, 1};
    REQUIRE(deployment.WaitUntilServed());
    deployment.store.SetFault(row.fault);
    // Longer than a grant's time to live: grants are renewed without the store.
    std::this_thread::sleep_for(std::chrono::milliseconds{5500});
    CHECK(deployment.SendRequest(0, {.key = 7}).status == 200);
    CHECK(deployment.SendRequest(1, {.key = 65'000}).status == 200);
    CHECK(deployment.SendRequest(0, {.path = "/pumps/1", .method = "POST"}).status == 200);
    deployment.store.SetFault(StoreFault::kNone);
    deployment.WriteConfig(2, "/pumps2/");
    CHECK(TimeUntilStatus(deployment, {.path = "/pumps2/1", .method = "POST"}, 200).has_value());
  }
}

TEST_CASE("a configuration applies within two seconds and older versions are ignored") {
  RouterDeployment deployment{1, 1, 1};
  REQUIRE(deployment.WaitUntilServed());
  deployment.WriteConfig(5, "/new/");
  std::this_thread::sleep_for(std::chrono::milliseconds{2000});
  CHECK(deployment.SendRequest(0, {.path = "/new/1", .method = "POST"}).status == 200);
  CHECK(deployment.SendRequest(0, {.path = "/pumps/1", .method = "POST"}).status == 404);
  deployment.WriteConfig(4, "/old/");
  std::this_thread::sleep_for(std::chrono::milliseconds{1500});
  CHECK(deployment.SendRequest(0, {.path = "/old/1", .method = "POST"}).status == 404);
  CHECK(deployment.SendRequest(0, {.path = "/new/1", .method = "POST"}).status == 200);
  deployment.store.CompactHistory();
  deployment.WriteConfig(6, "/newer/");
  CHECK(TimeUntilStatus(deployment, {.path = "/newer/1", .method = "POST"}, 200).has_value());
}

TEST_CASE("without a configuration requests get 503 until the store answers again") {
  RouterDeployment deployment{1, 1, 1};
  REQUIRE(deployment.WaitUntilServed());
  deployment.store.SetFault(StoreFault::kBusy);
  deployment.SendSignal(0, SIGKILL);
  deployment.WaitForExit(0);
  deployment.StartDaemon(0);
  CHECK(TimeUntilStatus(deployment, {.key = 7}, 503).has_value());
  CHECK(deployment.ReadinessStatus(0) == 503);
  deployment.store.SetFault(StoreFault::kNone);
  CHECK(deployment.WaitUntilServed());
}

TEST_CASE("a stopping daemon finishes running requests and its keys stay served") {
  RouterDeployment deployment{2, 2, 1};
  REQUIRE(deployment.WaitUntilServed());
  deployment.pumps.front()->SetServiceTime(std::chrono::milliseconds{700});
  for (std::size_t daemon = 0; daemon < 2; ++daemon) {
    CAPTURE(daemon);
    auto pending_answer = std::async(std::launch::async, [&deployment, daemon] {
      return deployment.SendRequest(daemon, {.path = "/pumps/1", .method = "POST"});
    });
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    deployment.SendSignal(daemon, SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    CHECK(deployment.ReadinessStatus(daemon) == 503);
    CHECK(pending_answer.get().status == 200);
    CHECK(deployment.WaitForExit(daemon) == 0);
    const std::size_t other = 1 - daemon;
    CHECK(deployment.SendRequest(other, {.key = 7}).status == 200);
    deployment.StartDaemon(daemon);
    REQUIRE(deployment.WaitUntilServed());
  }
}

TEST_CASE("a stopping daemon cuts no request although callers keep sending") {
  RouterDeployment deployment{1, 1, 2};
  REQUIRE(deployment.WaitUntilServed());
  for (const auto& endpoint : deployment.pumps) {
    endpoint->SetServiceTime(std::chrono::milliseconds{700});
  }
  constexpr int kCallers = 8;
  // The stop timeout of 6 s, with a margin.
  constexpr std::chrono::seconds kStopBound{7};
  std::atomic<bool> stopped{false};
  std::vector<std::future<std::vector<std::string>>> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    // Returns the requests without an answer.
    callers.push_back(std::async(std::launch::async, [&deployment, &stopped, caller] {
      std::vector<std::string> unanswered;
      for (int number = 0; !stopped; ++number) {
        const std::string id = std::to_string(caller) + "-" + std::to_string(number);
        if (deployment.SendRequest(0, {.path = "/pumps/1", .method = "POST", .id = id}).status ==
            0) {
          unanswered.push_back(id);
        }
      }
      return unanswered;
    }));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds{300});
  deployment.SendSignal(0, SIGTERM);
  CHECK(deployment.WaitForExit(0, kStopBound.count()) == 0);
  stopped = true;
  for (auto& caller : callers) {
    for (const std::string& id : caller.get()) {
      CAPTURE(id);
      CHECK(CountExecutions(deployment, id) == 0);
    }
  }
}

TEST_CASE("a stopping daemon answers callers that are still sending a request") {
  struct Row {
    std::string name;
    // After the signal: when the connection is opened, and the halves of the request are sent.
    std::chrono::milliseconds connected;
    std::chrono::milliseconds first_half_sent;
    std::chrono::milliseconds second_half_sent;
  };
  using std::chrono::milliseconds;
  const Row rows[] = {
      {"sent in two halves", milliseconds{-200}, milliseconds{500}, milliseconds{2900}},
      {"new connection", milliseconds{2500}, milliseconds{2900}, milliseconds{2900}},
      {"new connection, in two halves", milliseconds{2500}, milliseconds{2600}, milliseconds{4000}},
      {"kept connection", milliseconds{2000}, milliseconds{2900}, milliseconds{2900}}};
  const std::string request =
      "POST /pumps/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: late\r\n"
      "X-Deadline-Ms: 2000\r\nContent-Length: 4\r\n\r\nbody";
  RouterDeployment deployment{1, 1, 1};
  REQUIRE(deployment.WaitUntilServed());
  const auto signal_at = Clock::now() + milliseconds{300};
  std::vector<std::future<std::string>> answers;
  for (const Row& row : rows) {
    answers.push_back(std::async(std::launch::async, [&deployment, &row, &request, signal_at] {
      namespace asio = boost::asio;
      std::this_thread::sleep_until(signal_at + row.connected);
      asio::io_context context;
      asio::ip::tcp::socket socket{context};
      socket.connect({asio::ip::address_v4::loopback(), deployment.CallerPort(0)});
      boost::system::error_code error;
      const std::size_t half = request.size() / 2;
      std::this_thread::sleep_until(signal_at + row.first_half_sent);
      asio::write(socket, asio::buffer(request.substr(0, half)), error);
      std::this_thread::sleep_until(signal_at + row.second_half_sent);
      asio::write(socket, asio::buffer(request.substr(half)), error);
      std::string answer;
      asio::read(socket, asio::dynamic_buffer(answer), error);
      return answer;
    }));
  }
  std::this_thread::sleep_until(signal_at);
  deployment.SendSignal(0, SIGTERM);
  for (std::size_t i = 0; i < answers.size(); ++i) {
    CAPTURE(rows[i].name);
    CHECK(answers[i].get().starts_with("HTTP/1.1 503 "));
  }
  CHECK(CountExecutions(deployment, "late") == 0);
  CHECK(deployment.WaitForExit(0) == 0);
}

TEST_CASE("requests that are open at the end of the time to stop are answered, not cut") {
  struct Row {
    std::string name;
    CallerRequest call;
    std::chrono::milliseconds sent_after_signal;
  };
  const CallerRequest command{.path = "/pumps/1", .method = "POST", .timeout_ms = 9000};
  const CallerRequest read{.key = 7, .timeout_ms = 9000};
  const Row rows[] = {{"command before the signal", command, std::chrono::milliseconds{-200}},
                      {"command late in the grace", command, std::chrono::milliseconds{2000}},
                      {"read late in the grace", read, std::chrono::milliseconds{2000}}};
  constexpr int kRouteTimeoutS = 9;
  constexpr std::chrono::milliseconds kSignalDelay{300};
  // The daemon would be killed 6 s after the signal.
  constexpr std::chrono::milliseconds kStopTimeout{6000};
  RouterDeployment deployment{1, 1, 1};
  REQUIRE(deployment.WaitUntilServed());
  deployment.WriteConfig(2, "/valves/", 0, kRouteTimeoutS);
  REQUIRE(deployment.ServesPumpsWithin(0, "/valves/", std::chrono::seconds{2}));
  deployment.WriteConfig(3, "/pumps/", 0, kRouteTimeoutS);
  REQUIRE(deployment.ServesPumpsWithin(0, "/pumps/", std::chrono::seconds{2}));
  deployment.pumps.front()->SetFault(EndpointFault::kSilent);
  deployment.soil.front()->SetFault(EndpointFault::kSilent);
  const auto signal_at = Clock::now() + kSignalDelay;
  std::vector<std::future<CallerAnswer>> answers;
  for (const Row& row : rows) {
    CallerRequest call = row.call;
    call.id = row.name;
    std::replace(call.id.begin(), call.id.end(), ' ', '-');
    answers.push_back(std::async(std::launch::async, [&deployment, &row, call, signal_at] {
      std::this_thread::sleep_until(signal_at + row.sent_after_signal);
      return deployment.SendRequest(0, call);
    }));
  }
  std::this_thread::sleep_until(signal_at);
  deployment.SendSignal(0, SIGTERM);
  CHECK(deployment.WaitForExit(0) == 0);
  CHECK(Clock::now() - signal_at < kStopTimeout);
  for (std::size_t i = 0; i < answers.size(); ++i) {
    CAPTURE(rows[i].name);
    const CallerAnswer answer = answers[i].get();
    // Not 503: the request runs at its endpoint.
    CHECK(answer.status == 504);
    CHECK(CountExecutions(deployment, answer.id) <= 1);
  }
}

TEST_CASE("after all daemons are killed the recorded owners serve their keys again") {
  RouterDeployment deployment{2, 3, 1};
  REQUIRE(deployment.WaitUntilServed());
  const std::size_t owner = deployment.soil[0]->HoldsKey(7)   ? 0
                            : deployment.soil[1]->HoldsKey(7) ? 1
                                                              : 2;
  for (std::size_t daemon = 0; daemon < 2; ++daemon) {
    deployment.SendSignal(daemon, SIGKILL);
    deployment.WaitForExit(daemon);
  }
  for (std::size_t daemon = 0; daemon < 2; ++daemon) {
    deployment.StartDaemon(daemon);
  }
  // A quarter of the required bound of 15 s.
  const auto took = TimeUntilStatus(deployment, {.key = 7}, 200);
  REQUIRE(took.has_value());
  CHECK(took->count() < 3750);
  CHECK(deployment.soil[owner]->HoldsKey(7));
}

TEST_CASE("no request reaches an endpoint that said it leaves, though its entry says ready") {
  struct Row {
    std::string name;
    // Requests go to the first daemon until the endpoint has said that it leaves, and then to this
    // one.
    std::size_t daemon;
    StoreFault store_fault;
  };
  const Row rows[] = {{"told by the endpoint", 0, StoreFault::kNone},
                      {"told by another daemon", 1, StoreFault::kNone},
                      {"store unreachable", 0, StoreFault::kSilent}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RouterDeployment deployment{2, 1, 2};
    REQUIRE(deployment.WaitUntilServed());
    deployment.store.SetFault(row.store_fault);
    fakes::KeyEndpoint& leaving = *deployment.pumps[0];
    leaving.SetLeaving(true);
    const CallerRequest call{.path = "/pumps/1", .method = "POST"};
    for (int i = 0; i < 100 && leaving.ExecutionCounts().empty(); ++i) {
      CHECK(deployment.SendRequest(0, call).status == 200);
    }
    REQUIRE_FALSE(leaving.ExecutionCounts().empty());
    std::this_thread::sleep_for(std::chrono::milliseconds{500});
    const std::size_t runs = leaving.ExecutionCounts().size();
    for (int i = 0; i < 30; ++i) {
      CHECK(deployment.SendRequest(row.daemon, call).status == 200);
    }
    CHECK(leaving.ExecutionCounts().size() == runs);
    CHECK(deployment.ReadLog(row.daemon).find("endpoint drains id=pump-0 ") != std::string::npos);
  }
}

TEST_CASE("keys of an endpoint that said it leaves are served by another within the bound") {
  RouterDeployment deployment{2, 2, 1};
  REQUIRE(deployment.WaitUntilServed());
  const std::size_t owner = deployment.soil[0]->HoldsKey(7) ? 0 : 1;
  deployment.soil[owner]->SetLeaving(true);
  CHECK(deployment.SendRequest(0, {.key = 7}).status == 200);
  std::this_thread::sleep_for(std::chrono::milliseconds{2000});
  CHECK_FALSE(deployment.soil[owner]->HoldsKey(7));
  CHECK(deployment.soil[1 - owner]->HoldsKey(7));
  for (std::size_t daemon = 0; daemon < 2; ++daemon) {
    CHECK(deployment.SendRequest(daemon, {.key = 7}).status == 200);
  }
}

TEST_CASE("keys of an endpoint that said it leaves are refused while the store is unreachable") {
  RouterDeployment deployment{2, 2, 1};
  REQUIRE(deployment.WaitUntilServed());
  const std::size_t owner = deployment.soil[0]->HoldsKey(7) ? 0 : 1;
  deployment.store.SetFault(StoreFault::kBusy);
  std::this_thread::sleep_for(std::chrono::milliseconds{1000});
  deployment.soil[owner]->SetLeaving(true);
  for (std::size_t daemon = 0; daemon < 2; ++daemon) {
    deployment.SendRequest(daemon, {.id = "first", .key = 7});
  }
  std::this_thread::sleep_for(std::chrono::milliseconds{2000});
  // The route's requests may wait 160 ms for an owner.
  for (std::size_t daemon = 0; daemon < 2; ++daemon) {
    deployment.SendRequest(daemon, {.id = "waits", .key = 7});
    const auto begin = Clock::now();
    const CallerAnswer answer = deployment.SendRequest(daemon, {.id = "refused", .key = 7});
    CHECK(answer.status == 503);
    CHECK(Clock::now() - begin < std::chrono::milliseconds{100});
  }
  CHECK(CountExecutions(deployment, "waits") == 0);
  CHECK(CountExecutions(deployment, "refused") == 0);
}

TEST_CASE("an endpoint that refuses with a time to retry gets no request until then") {
  RouterDeployment deployment{1, 1, 2};
  REQUIRE(deployment.WaitUntilServed());
  fakes::KeyEndpoint& refusing = *deployment.pumps[0];
  refusing.SetFault(EndpointFault::kFull);
  refusing.SetRetryAfter("2.5");
  const CallerRequest call{.path = "/pumps/1", .method = "POST"};
  for (int i = 0; i < 100 && refusing.ArrivalCount() == 0; ++i) {
    deployment.SendRequest(0, call);
  }
  const auto refused_at = Clock::now();
  REQUIRE(refusing.ArrivalCount() == 1);
  while (Clock::now() - refused_at < std::chrono::milliseconds{2000}) {
    CHECK(deployment.SendRequest(0, call).status == 200);
  }
  CHECK(refusing.ArrivalCount() == 1);
  // Once both endpoints refuse, callers are told at once when the first one takes requests again.
  deployment.pumps[1]->SetFault(EndpointFault::kFull);
  deployment.pumps[1]->SetRetryAfter("30");
  deployment.SendRequest(0, call);
  const CallerAnswer refusal = deployment.SendRequest(0, call);
  CHECK(refusal.status == 503);
  CHECK(std::stod(refusal.retry_after) <= 0.5);
  CHECK(deployment.pumps[1]->ArrivalCount() > 1);
  const int arrivals = deployment.pumps[1]->ArrivalCount();
  refusing.SetFault(EndpointFault::kNone);
  CHECK(TimeUntilStatus(deployment, call, 200).has_value());
  CHECK(deployment.pumps[1]->ArrivalCount() == arrivals);
  // A new start of an endpoint has asked for nothing.
  deployment.pumps[1]->SetFault(EndpointFault::kNone);
  deployment.RegisterEndpoint(*deployment.pumps[1], "ready", 2);
  std::this_thread::sleep_for(std::chrono::milliseconds{1500});
  refusing.SetFault(EndpointFault::kFull);
  CHECK(deployment.SendRequest(0, call).status == 200);
  CHECK(deployment.ReadLog(0).find("endpoint pauses id=pump-0 ms=2500") != std::string::npos);
}

TEST_CASE("requests for keys of an owner that refuses with a time to retry get 503 until then") {
  RouterDeployment deployment{1, 1, 1};
  REQUIRE(deployment.WaitUntilServed());
  fakes::KeyEndpoint& owner = *deployment.soil[0];
  owner.SetFault(EndpointFault::kFull);
  owner.SetRetryAfter("2");
  const int arrivals = owner.ArrivalCount();
  for (int i = 0; i < 10; ++i) {
    const auto begin = Clock::now();
    const CallerAnswer answer = deployment.SendRequest(0, {.key = 7});
    CHECK(answer.status == 503);
    CHECK(Clock::now() - begin < std::chrono::milliseconds{100});
    CHECK(std::stod(answer.retry_after) > 1);
    CHECK(std::stod(answer.retry_after) <= 2);
  }
  CHECK(owner.ArrivalCount() == arrivals + 1);
  owner.SetFault(EndpointFault::kNone);
  const auto took = TimeUntilStatus(deployment, {.key = 7}, 200);
  REQUIRE(took.has_value());
  CHECK(took->count() <= 2500);
  CHECK(owner.HoldsKey(7));
}

TEST_CASE("an answer to another request says nothing about the endpoint that sent it") {
  RouterDeployment deployment{1, 1, 1};
  REQUIRE(deployment.WaitUntilServed());
  fakes::KeyEndpoint& endpoint = *deployment.pumps.front();
  endpoint.SetFault(EndpointFault::kWrongRequestId);
  endpoint.SetLeaving(true);
  const CallerRequest call{.path = "/pumps/1", .method = "POST"};
  for (int i = 0; i < 5; ++i) {
    CHECK(deployment.SendRequest(0, call).status == 502);
  }
  CHECK(deployment.ReadLog(0).find("endpoint drains") == std::string::npos);
  endpoint.SetFault(EndpointFault::kNone);
  CHECK(deployment.SendRequest(0, call).status == 200);
  std::this_thread::sleep_for(std::chrono::milliseconds{100});
  CHECK(deployment.ReadLog(0).find("endpoint drains id=pump-0 ") != std::string::npos);
}

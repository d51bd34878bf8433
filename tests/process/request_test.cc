#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "clock/system_clock.h"
#include "core/uuid_v7.h"
#include "http/http_client.h"
#include "process/deployment.h"

using namespace sycamorestall;           // NOLINT
using namespace sycamorestall::testing;  // NOLINT

namespace {

std::string MakeIdempotencyKey(std::chrono::milliseconds clock_offset = {}) {
  static std::mt19937_64 random(7);
  return ToString(MakeUuidV7(WallNow() + clock_offset, random(), random()));
}

http::CallResult SendRequest(const std::string& url, http::Method method,
                             const std::vector<http::Header>& headers,
                             const std::string& body = {}) {
  http::Call call;
  call.url = url;
  call.method = method;
  call.headers = headers;
  call.body = body;
  call.timeout = std::chrono::seconds{3};
  call.idempotent = false;
  return http::CallAndWait(std::move(call));
}

std::string OutcomeOf(const http::CallResult& result) {
  const std::string* outcome = http::FindHeader(result.headers, "Sycamorestall-Outcome");
  return outcome == nullptr ? "" : *outcome;
}

std::string CodeOf(const http::CallResult& result) {
  const auto body = nlohmann::json::parse(result.body, nullptr, false);
  return body.is_object() && body.contains("error") ? body["error"].value("code", "") : "";
}

}  // namespace

TEST_CASE("every answer states the outcome of its request") {
  Deployment deployment{DeploymentOptions{{"north"}, 1, 1, true, 1000, 6}};
  REQUIRE(deployment.WaitUntilServed());
  const std::string origin = deployment.origins().front();
  const http::Header customer_header{"Sycamorestall-Customer", "cafe"};
  struct Row {
    std::string name;
    http::Method method;
    std::string path;
    std::vector<http::Header> headers;
    std::string body;
    int status;
    std::string outcome;
    std::string code;
  };
  const std::string soil = "/v1/services/soil/keys/";
  const std::string pumps = "/v1/services/pumps/keys/";
  const Row rows[] = {
      {"read", http::Method::kGet, soil + "a", {customer_header}, "", 200, "run", ""},
      {"key in UTF-8",
       http::Method::kGet,
       soil + "d%C5%B5r%2F1",
       {customer_header},
       "",
       200,
       "run",
       ""},
      {"command",
       http::Method::kPost,
       pumps + "a",
       {customer_header, {"Idempotency-Key", MakeIdempotencyKey()}},
       "x",
       200,
       "run",
       ""},
      {"read of commands", http::Method::kGet, pumps + "a", {customer_header}, "", 200, "run", ""},
      {"key not UTF-8",
       http::Method::kGet,
       soil + "%FF",
       {customer_header},
       "",
       400,
       "not-run",
       "bad-key"},
      {"bad percent",
       http::Method::kGet,
       soil + "%4",
       {customer_header},
       "",
       400,
       "not-run",
       "bad-key"},
      {"no key", http::Method::kGet, soil, {customer_header}, "", 400, "not-run", "bad-key"},
      {"long key",
       http::Method::kGet,
       soil + std::string(513, 'k'),
       {customer_header},
       "",
       400,
       "not-run",
       "key-too-long"},
      {"unknown service",
       http::Method::kGet,
       "/v1/services/tea/keys/a",
       {customer_header},
       "",
       404,
       "not-run",
       "unknown-service"},
      {"no customer", http::Method::kGet, soil + "a", {}, "", 400, "not-run", "customer-missing"},
      {"unknown customer",
       http::Method::kGet,
       soil + "a",
       {{"Sycamorestall-Customer", "bar"}},
       "",
       403,
       "not-run",
       "unknown-customer"},
      {"no idempotency key",
       http::Method::kPost,
       pumps + "a",
       {customer_header},
       "x",
       400,
       "not-run",
       "idempotency-key-missing"},
      {"bad idempotency key",
       http::Method::kPost,
       pumps + "a",
       {customer_header, {"Idempotency-Key", "1"}},
       "x",
       400,
       "not-run",
       "idempotency-key-bad"},
      {"version 4",
       http::Method::kPost,
       pumps + "a",
       {customer_header, {"Idempotency-Key", "0193a5f0-0000-4000-8000-000000000000"}},
       "x",
       400,
       "not-run",
       "idempotency-key-bad"},
      {"key from the future",
       http::Method::kPost,
       pumps + "a",
       {customer_header, {"Idempotency-Key", MakeIdempotencyKey(std::chrono::hours{1})}},
       "x",
       400,
       "not-run",
       "idempotency-key-in-future"},
      // Whether a command with so old a key has run is no longer known.
      {"old key",
       http::Method::kPost,
       pumps + "a",
       {customer_header, {"Idempotency-Key", MakeIdempotencyKey(std::chrono::hours{-1})}},
       "x",
       400,
       "unknown",
       "idempotency-key-too-old"},
      {"bad timeout",
       http::Method::kGet,
       soil + "a",
       {customer_header, {"Sycamorestall-Timeout-Ms", "soon"}},
       "",
       400,
       "not-run",
       "bad-timeout"},
      {"large body",
       http::Method::kPut,
       soil + "a",
       {customer_header},
       std::string(70000, 'x'),
       413,
       "not-run",
       "body-too-large"},
      {"unknown path",
       http::Method::kGet,
       "/v1/service/soil",
       {customer_header},
       "",
       404,
       "not-run",
       "unknown-path"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const http::CallResult result =
        SendRequest(origin + row.path, row.method, row.headers, row.body);
    CHECK(result.status == row.status);
    CHECK(OutcomeOf(result) == row.outcome);
    CHECK(CodeOf(result) == row.code);
  }
}

TEST_CASE("malformed requests are answered as malformed and not run") {
  Deployment deployment{DeploymentOptions{{"north"}, 1, 1, true, 1000, 6}};
  REQUIRE(deployment.WaitUntilServed());
  struct Row {
    std::string name;
    std::string request_head;
    std::string status;
  };
  const std::string line = "PUT /v1/services/soil/keys/a HTTP/1.1\r\n";
  const Row rows[] = {
      {"negative", line + "Content-Length: -1\r\n\r\n", " 400 "},
      {"huge", line + "Content-Length: 18446744073709551615\r\n\r\n", " 413 "},
      {"a chunk without a size", line + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", " 400 "},
      {"chunks over the limit", line + "Transfer-Encoding: chunked\r\n\r\n99999999\r\n", " 413 "},
      {"garbage", "soil\r\n\r\n", " 400 "}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const std::string answer =
        deployment.SendRaw(deployment.DaemonNames().front(), row.request_head);
    CHECK(answer.find(row.status) != std::string::npos);
    CHECK(answer.find("Sycamorestall-Outcome: not-run") != std::string::npos);
    CHECK(answer.find(R"({"error":{"code":"malformed-request")") != std::string::npos);
  }
}

TEST_CASE("callers get their own answers while others disconnect early") {
  DeploymentOptions options{{"north", "south"}, 1, 2, true, 10'000, 64};
  Deployment deployment{options};
  REQUIRE(deployment.WaitUntilServed());
  fakes::CallerLoad waiting_load;
  waiting_load.origins = deployment.origins();
  waiting_load.service = "soil";
  waiting_load.rate = 500;
  waiting_load.duration = std::chrono::milliseconds{4000};
  fakes::CallerLoad disconnecting_load = waiting_load;
  disconnecting_load.seed = 2;
  // Answers take at least 10 ms, so these callers disconnect before.
  disconnecting_load.disconnects_after = std::chrono::milliseconds{9};
  auto pending_report =
      std::async(std::launch::async, [&] { return RunCallers(disconnecting_load); });
  const fakes::CallerReport waiting_report = RunCallers(waiting_load);
  const fakes::CallerReport disconnecting_report = pending_report.get();
  MESSAGE("waiting callers ", FormatReport(waiting_report), "; disconnecting callers ",
          FormatReport(disconnecting_report));
  CHECK(waiting_report.run == waiting_report.sent);
  CHECK(waiting_report.wrong == 0U);
  CHECK(disconnecting_report.wrong == 0U);
  CHECK(disconnecting_report.no_answer * 2 > disconnecting_report.sent);
  for (const std::string& name : deployment.DaemonNames()) {
    CHECK(deployment.Terminate(name) == 0);
  }
}

TEST_CASE("a daemon serves health checks and metrics and changes its log level") {
  Deployment deployment{DeploymentOptions{{"north"}, 1, 1, true, 1000, 6}};
  REQUIRE(deployment.WaitUntilServed());
  const std::string origin = deployment.origins().front();
  CHECK(deployment.TimeUntilServed("soil", "a", origin) < std::chrono::seconds{5});
  std::this_thread::sleep_for(std::chrono::milliseconds{1200});
  CHECK(SendRequest(origin + "/healthz", http::Method::kGet, {}).status == 200);
  CHECK(SendRequest(origin + "/readyz", http::Method::kGet, {}).status == 200);
  const std::string metrics = SendRequest(origin + "/metrics", http::Method::kGet, {}).body;
  for (const std::string line :
       {"request_seconds_count{rank=\"reads\",outcome=\"run\"} 1", "queue_seconds_count",
        "store_calls_total{cause=\"group write\"}", "orders_total",
        "group_shards_unserved{group=\"soil/north\"} 0", "group_imbalance{group=\"soil/north\"} 1",
        "config_version{list=\"plans\"} 1", "daemons_alive 1"}) {
    CAPTURE(line);
    CHECK(metrics.find("sycamorestall_" + line) != std::string::npos);
  }
  const auto set_log_level = [&](const std::string& body) {
    return SendRequest(origin + "/v1/log-level", http::Method::kPut, {}, body).status;
  };
  CHECK(set_log_level(R"({"level":"loud"})") == 400);
  CHECK(set_log_level(R"({"level":"error"})") == 200);
  std::this_thread::sleep_for(std::chrono::milliseconds{300});
  const std::size_t log_size = deployment.ReadLog(deployment.DaemonNames().front()).size();
  CHECK(log_size > 0U);
  CHECK(deployment.TimeUntilServed("soil", "b", origin) < std::chrono::seconds{5});
  std::this_thread::sleep_for(std::chrono::milliseconds{300});
  CHECK(deployment.ReadLog(deployment.DaemonNames().front()).size() == log_size);
}

TEST_CASE("a repeated command gets the first answer and runs once") {
  Deployment deployment{DeploymentOptions{{"north"}, 2, 1, true, 1000, 6}};
  REQUIRE(deployment.WaitUntilServed());
  const std::string path = "/v1/services/pumps/keys/fern";
  for (int i = 0; i < 20; ++i) {
    const std::vector<http::Header> headers{{"Sycamorestall-Customer", "cafe"},
                                            {"Idempotency-Key", MakeIdempotencyKey()}};
    std::vector<std::string> bodies;
    for (const std::string& origin : deployment.origins()) {
      const http::CallResult result = SendRequest(origin + path, http::Method::kPost, headers, "x");
      CHECK(OutcomeOf(result) == "run");
      bodies.push_back(result.body);
    }
    CHECK(bodies.front() == bodies.back());
  }
  CHECK(deployment.FindInvariantViolation() == std::string{});
}

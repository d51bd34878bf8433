#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>

#include "endpoint/order_json.h"
#include "fakes/fake_endpoint.h"
#include "fakes/fake_platform.h"
#include "fakes/free_port.h"
#include "http/http_client.h"

using namespace sycamorestall;  // NOLINT

namespace {

using nlohmann::json;

struct Reply {
  int status = 0;
  json body;
};

Reply SendRequest(http::Method method, const std::string& url, const std::string& body = {},
                  const std::vector<http::Header>& headers = {}, int timeout_ms = 1000) {
  http::Call call;
  call.method = method;
  call.url = url;
  call.body = body;
  call.headers = headers;
  call.timeout = std::chrono::milliseconds{timeout_ms};
  const http::CallResult result = http::CallAndWait(std::move(call));
  return {result.error ? 0 : result.status, json::parse(result.body, nullptr, false)};
}

// Grants shard 1 under term 1 and epoch 1.
void GrantShard(const std::string& origin) {
  EndpointOrder order;
  order.group = {ServiceName{"soil"}, DomainName{"north"}};
  order.term = Term{1};
  order.sequence = 1;
  order.time_to_live = std::chrono::seconds{10};
  const auto send = [&] {
    http::Call call;
    call.method = http::Method::kPost;
    call.url = origin + "/control/orders";
    call.body = FormatOrder(order);
    return ParseReply(http::CallAndWait(std::move(call)).body).value();
  };
  order.stamp = send().stamp;
  order.sequence = 2;
  order.grants.push_back({ShardId{1}, Epoch{1}});
  REQUIRE(send().held.size() == 1U);
}

std::vector<http::Header> RequestHeaders(const std::string& request_id, int deadline_ms = 1000) {
  return {{"Endpoint-Shard", "1"},
          {"Endpoint-Epoch", "1"},
          {"Endpoint-Term", "1"},
          {"Endpoint-Request", request_id},
          {"Endpoint-Deadline-Ms", std::to_string(deadline_ms)}};
}

}  // namespace

TEST_CASE("the fake platform stores values, leases and watches and simulates faults") {
  fakes::FakePlatform platform{http::ServerSettings{}};
  platform.Start();
  const std::string origin = "http://127.0.0.1:" + std::to_string(platform.port());
  const auto put = [&](const std::string& key, const json& body) {
    return SendRequest(http::Method::kPut, origin + "/kv/" + key, body.dump());
  };
  const auto set_faults = [&](const json& body) {
    CHECK(SendRequest(http::Method::kPost, origin + "/faults", body.dump()).status == 200);
  };
  CHECK(SendRequest(http::Method::kGet, origin + "/kv/a").status == 404);
  const Reply first = put("a", {{"value", "1"}, {"expected", 0}});
  CHECK(first.status == 200);
  const Reply conflict = put("a", {{"value", "2"}, {"expected", 0}});
  CHECK(conflict.status == 409);
  CHECK(conflict.body["value"] == "1");

  auto watch = std::async(std::launch::async, [&] {
    return SendRequest(http::Method::kGet,
                       origin + "/watch/a?wait_ms=2000&above=" + first.body["revision"].dump(), {},
                       {}, 3000);
  });
  std::this_thread::sleep_for(std::chrono::milliseconds{100});
  CHECK(put("a", {{"value", "2"}, {"expected", first.body["revision"]}}).status == 200);
  CHECK(watch.get().body["value"] == "2");

  const Reply lease = SendRequest(http::Method::kPost, origin + "/leases", R"({"ttl_ms":200})");
  put("b", {{"value", "x"}, {"expected", 0}, {"lease", lease.body["lease"]}});
  CHECK(SendRequest(http::Method::kGet, origin + "/kv/b").status == 200);
  std::this_thread::sleep_for(std::chrono::milliseconds{300});
  CHECK(SendRequest(http::Method::kGet, origin + "/kv/b").status == 404);

  set_faults({{"read_lag_ms", 60000}});
  CHECK(SendRequest(http::Method::kGet, origin + "/kv/a").status == 404);
  set_faults({{"read_lag_ms", 0}, {"loses_write_replies", true}});
  CHECK(SendRequest(http::Method::kPut, origin + "/kv/c", R"({"value":"1","expected":0})", {}, 300)
            .status == 0);
  CHECK(SendRequest(http::Method::kGet, origin + "/kv/c").body["value"] == "1");
  set_faults({{"loses_write_replies", false}, {"list_lag_ms", 300}});
  SendRequest(http::Method::kPut, origin + "/admin/instances/d1",
              R"({"domain":"n","address":"x:1"})");
  CHECK(SendRequest(http::Method::kGet, origin + "/instances").body["instances"].empty());
  std::this_thread::sleep_for(std::chrono::milliseconds{400});
  CHECK(SendRequest(http::Method::kGet, origin + "/instances").body["instances"].size() == 1U);
  set_faults({{"outage", true}});
  CHECK(SendRequest(http::Method::kGet, origin + "/kv/a").status == 503);
  CHECK(SendRequest(http::Method::kGet, origin + "/counts").body["watch read"] == 1);
  platform.Stop();
}

TEST_CASE("the fake endpoint changes its behaviour while it runs") {
  fakes::EndpointBehaviour behaviour;
  behaviour.slots = 1;
  fakes::FakeEndpoint endpoint{"e1", http::ServerSettings{}, behaviour};
  endpoint.Start();
  const std::string origin = "http://127.0.0.1:" + std::to_string(endpoint.port());
  const auto set_faults = [&](const json& body) {
    CHECK(SendRequest(http::Method::kPost, origin + "/faults", body.dump()).status == 200);
  };
  const auto read_record = [&](const char* field) {
    return SendRequest(http::Method::kGet, origin + "/record").body[field];
  };
  CHECK(SendRequest(http::Method::kGet, origin + "/run/k", {}, RequestHeaders("r0")).status == 409);
  GrantShard(origin);
  CHECK(SendRequest(http::Method::kGet, origin + "/run/k", {}, RequestHeaders("r1")).status == 200);
  CHECK(read_record("runs") == 1);
  CHECK(read_record("ownership").size() == 1U);

  set_faults({{"service_us", 300'000}});
  CHECK(SendRequest(http::Method::kGet, origin + "/run/k", {}, RequestHeaders("r2", 100)).status ==
        503);
  CHECK(read_record("too_late") == 1);
  auto running = std::async(std::launch::async, [&] {
    return SendRequest(http::Method::kGet, origin + "/run/k", {}, RequestHeaders("r3"));
  });
  std::this_thread::sleep_for(std::chrono::milliseconds{100});
  CHECK(SendRequest(http::Method::kGet, origin + "/run/k", {}, RequestHeaders("r4")).status == 503);
  CHECK(read_record("shed") == 1);
  CHECK(read_record("load") == 1);
  set_faults({{"lies", true}});
  CHECK(read_record("load") == 0);
  CHECK(SendRequest(http::Method::kDelete, origin + "/requests/r3").status == 200);
  CHECK(running.get().status == 200);
  CHECK(read_record("cancelled") == 1);

  set_faults({{"service_us", 1000}, {"sheds", true}});
  CHECK(SendRequest(http::Method::kGet, origin + "/run/k", {}, RequestHeaders("r5")).status == 503);
  set_faults({{"sheds", false}, {"frozen", true}});
  CHECK(SendRequest(http::Method::kGet, origin + "/run/k", {}, RequestHeaders("r6"), 200).status ==
        0);
  set_faults({{"frozen", false}});
  // The request that was held while frozen runs first.
  std::this_thread::sleep_for(std::chrono::milliseconds{100});
  CHECK(SendRequest(http::Method::kGet, origin + "/run/k", {}, RequestHeaders("r7")).status == 200);
  endpoint.Stop();
}

TEST_CASE("the fake endpoint is slower until it has warmed up") {
  fakes::EndpointBehaviour behaviour;
  behaviour.service_us = 20'000;
  behaviour.cold_factor = 10;
  behaviour.warm_up_ms = 600;
  fakes::FakeEndpoint endpoint{"e1", http::ServerSettings{}, behaviour};
  endpoint.Start();
  const std::string origin = "http://127.0.0.1:" + std::to_string(endpoint.port());
  GrantShard(origin);
  const auto measure_request = [&] {
    const auto start = std::chrono::steady_clock::now();
    CHECK(SendRequest(http::Method::kGet, origin + "/run/k", {}, RequestHeaders("r")).status ==
          200);
    return std::chrono::steady_clock::now() - start;
  };
  const auto cold_time = measure_request();
  std::this_thread::sleep_for(std::chrono::milliseconds{700});
  CHECK(cold_time > 2 * measure_request());
  endpoint.Stop();
}

// Guards against deployments of which two daemons are to listen at the same port.
TEST_CASE("free ports are not picked twice") {
  constexpr int kPorts = 1000;
  std::set<std::uint16_t> ports;
  for (int i = 0; i < kPorts; ++i) {
    ports.insert(fakes::PickFreePort());
  }
  CHECK(ports.size() == kPorts);
}

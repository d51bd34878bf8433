#include "app/endpoint_client.h"

#include <algorithm>
#include <utility>

#include "app/caller_request.h"
#include "endpoint/order_json.h"
#include "http/status.h"
#include "http/url.h"

namespace sycamorestall {

namespace {

constexpr std::chrono::milliseconds kCancelTimeout{500};

std::string HeaderOrEmpty(const http::CallResult& result, const char* name) {
  const std::string* value = http::FindHeader(result.headers, name);
  return value == nullptr ? std::string{} : *value;
}

EndpointResult ToEndpointResult(http::CallResult result) {
  EndpointResult endpoint_result;
  if (result.error && !result.perhaps_sent) {
    endpoint_result.proved_not_run = true;
    endpoint_result.connection_failed = true;
    endpoint_result.answer =
        MakeErrorAnswer(http::kServiceUnavailable, Outcome::kNotRun, "endpoint-not-reached",
                        "the endpoint could not be reached");
    return endpoint_result;
  }
  if (result.error) {
    endpoint_result.connection_failed = true;
    endpoint_result.answer =
        MakeErrorAnswer(http::kGatewayTimeout, Outcome::kUnknown, "endpoint-silent",
                        "the endpoint gave no whole answer; the request may have been run");
    return endpoint_result;
  }
  const std::string outcome = HeaderOrEmpty(result, "Endpoint-Outcome");
  if (outcome == ToString(Outcome::kNotRun)) {
    const bool not_owner = result.status == http::kConflict;
    endpoint_result.proved_not_run = true;
    endpoint_result.answer = MakeErrorAnswer(http::kServiceUnavailable, Outcome::kNotRun,
                                             not_owner ? "not-owner" : "endpoint-shed",
                                             "the endpoint did not take the request");
    return endpoint_result;
  }
  if (outcome != ToString(Outcome::kRun)) {
    endpoint_result.answer =
        MakeErrorAnswer(http::kBadGateway, Outcome::kUnknown, "endpoint-answer-bad",
                        "the endpoint's answer does not say whether it ran");
    return endpoint_result;
  }
  endpoint_result.answer.outcome = Outcome::kRun;
  endpoint_result.answer.status = result.status;
  endpoint_result.answer.content_type = HeaderOrEmpty(result, "Content-Type");
  endpoint_result.answer.body = std::move(result.body);
  return endpoint_result;
}

http::Call MakeRequestCall(const std::string& address, const ShardRoute& route,
                           const ForwardRequest& request, std::chrono::milliseconds timeout) {
  http::Call call;
  call.method = static_cast<http::Method>(request.method);
  call.url = "http://" + address + "/run/" + http::EncodePercent(request.key);
  call.body = request.body;
  call.timeout = timeout;
  call.idempotent = !request.command.has_value();
  call.headers = {{"Endpoint-Shard", std::to_string(request.shard.value)},
                  {"Endpoint-Epoch", std::to_string(route.epoch.value)},
                  {"Endpoint-Term", std::to_string(route.term.value)},
                  {"Endpoint-Request", request.request_id},
                  {"Endpoint-Customer", request.customer.value()},
                  {"Endpoint-Deadline-Ms", std::to_string(timeout.count())}};
  if (request.command) {
    call.headers.push_back({"Idempotency-Key", ToString(*request.command)});
  }
  if (!request.content_type.empty()) {
    call.headers.push_back({"Content-Type", request.content_type});
  }
  return call;
}

}  // namespace

EndpointClient::EndpointClient(EventLoop& loop, std::size_t rank_count)
    : loop_(loop), control_client_(http::ClientSettings{}) {
  for (std::size_t i = 0; i < rank_count; ++i) {
    request_clients_.push_back(std::make_unique<http::HttpClient>(http::ClientSettings{}));
  }
}

void EndpointClient::SendOrder(const std::string& address, const EndpointOrder& order,
                               std::chrono::milliseconds timeout, OrderCallback callback) {
  http::Call call;
  call.method = http::Method::kPost;
  call.url = "http://" + address + "/control/orders";
  call.body = FormatOrder(order);
  call.timeout = timeout;
  control_client_.StartCall(std::move(call),
                            [this, callback = std::move(callback)](const http::CallResult& result) {
                              std::optional<EndpointReply> reply;
                              if (!result.error && result.status == http::kOk) {
                                reply = ParseReply(result.body);
                              }
                              loop_.Post([callback, reply = std::move(reply)] { callback(reply); });
                            });
}

void EndpointClient::Probe(const std::string& address, std::chrono::milliseconds timeout,
                           std::function<void(bool)> callback) {
  http::Call call;
  call.url = "http://" + address + "/control/health";
  call.timeout = timeout;
  control_client_.StartCall(std::move(call),
                            [this, callback = std::move(callback)](const http::CallResult& result) {
                              const bool reached = !result.error && result.status == http::kOk;
                              loop_.Post([callback, reached] { callback(reached); });
                            });
}

std::uint64_t EndpointClient::SendRequest(std::size_t rank, const std::string& address,
                                          const ShardRoute& route, const ForwardRequest& request,
                                          std::chrono::milliseconds timeout, bool fresh_connection,
                                          ResultCallback callback) {
  http::Call call = MakeRequestCall(address, route, request, timeout);
  call.fresh_connection = fresh_connection;
  return request_clients_[rank]->StartCall(
      std::move(call), [this, callback = std::move(callback)](http::CallResult result) {
        loop_.Post([callback, endpoint_result = ToEndpointResult(std::move(result))]() mutable {
          callback(std::move(endpoint_result));
        });
      });
}

void EndpointClient::Cancel(const std::string& address, const std::string& request_id) {
  http::Call call;
  call.method = http::Method::kDelete;
  call.url = "http://" + address + "/requests/" + http::EncodePercent(request_id);
  call.timeout = kCancelTimeout;
  control_client_.StartCall(std::move(call), [](const http::CallResult&) {});
}

void EndpointClient::Stop() {
  control_client_.Stop();
  for (const auto& client : request_clients_) {
    client->Stop();
  }
}

}  // namespace sycamorestall

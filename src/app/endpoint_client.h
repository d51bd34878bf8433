#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/event_loop.h"
#include "core/endpoint_order.h"
#include "core/group_leader.h"
#include "http/http_client.h"
#include "peer/peer_message.h"

namespace sycamorestall {

// Result of a request to an endpoint.
struct EndpointResult {
  Answer answer;
  // The endpoint refused the request or was never reached, so another endpoint may
  // run it.
  bool proved_not_run = false;
  // The connection failed or timed out, so the state of the endpoint is unknown.
  bool connection_failed = false;
};

// Sends orders, health checks and requests to endpoints over HTTP. Requests of each
// rank use an HTTP client of their own, everything else another one. Callbacks run
// on the event loop.
class EndpointClient {
 public:
  using OrderCallback = std::function<void(std::optional<EndpointReply>)>;
  using ResultCallback = std::function<void(EndpointResult)>;

  EndpointClient(EventLoop& loop, std::size_t rank_count);

  // Sends an order; the reply is empty when no valid one came.
  void SendOrder(const std::string& address, const EndpointOrder& order,
                 std::chrono::milliseconds timeout, OrderCallback callback);
  // Sends a health check; passes to the callback whether the endpoint is healthy.
  void Probe(const std::string& address, std::chrono::milliseconds timeout,
             std::function<void(bool)> callback);
  // Sends a request; returns the call number for Abandon. fresh_connection opens a new
  // connection instead of using an idle one.
  std::uint64_t SendRequest(std::size_t rank, const std::string& address, const ShardRoute& route,
                            const ForwardRequest& request, std::chrono::milliseconds timeout,
                            bool fresh_connection, ResultCallback callback);
  // Closes the connection of a request, which ends with the outcome unknown.
  void Abandon(std::size_t rank, std::uint64_t call_number) {
    request_clients_[rank]->Cancel(call_number);
  }
  // Tells an endpoint that a request was cancelled; its reply is ignored.
  void Cancel(const std::string& address, const std::string& request_id);
  // Ends all calls and the clients' threads.
  void Stop();

 private:
  EventLoop& loop_;
  http::HttpClient control_client_;
  std::vector<std::unique_ptr<http::HttpClient>> request_clients_;
};

}  // namespace sycamorestall

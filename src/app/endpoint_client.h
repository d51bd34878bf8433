#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/loop.h"
#include "core/endpoint_order.h"
#include "core/group_leader.h"
#include "http/http_client.h"
#include "peer/peer_message.h"

namespace sycamorestall {

// How a request to an endpoint ended.
struct EndpointResult {
  Answer answer;
  // The endpoint refused it or was never reached: it may be sent elsewhere.
  bool proved_not_run = false;
  // The connection failed or fell silent, so nothing is known of the endpoint.
  bool connection_failed = false;
};

// Talks to endpoints over HTTP: orders and health checks on one client,
// requests on one client for each rank. Results come on the loop.
class EndpointClient {
 public:
  using OrderCallback = std::function<void(std::optional<EndpointReply>)>;
  using ResultCallback = std::function<void(EndpointResult)>;

  EndpointClient(Loop& loop, std::size_t ranks);

  // Sends an order; an empty reply says that none came.
  void SendOrder(const std::string& address, const EndpointOrder& order,
                 std::chrono::milliseconds timeout, OrderCallback callback);
  // Asks whether an endpoint can be reached at all.
  void Probe(const std::string& address, std::chrono::milliseconds timeout,
             std::function<void(bool)> callback);
  // Sends a request; gives the number by which it can be abandoned.
  std::uint64_t SendRequest(std::size_t rank, const std::string& address, const ShardRoute& route,
                            const ForwardRequest& request, std::chrono::milliseconds timeout,
                            bool fresh_connection, ResultCallback callback);
  // Gives a request up: its connection is closed, and its result says that
  // nothing is known of it.
  void Abandon(std::size_t rank, std::uint64_t number) { by_rank_[rank]->Cancel(number); }
  // Tells an endpoint that nobody waits for a request any more.
  void Cancel(const std::string& address, const std::string& request_id);
  // Ends all calls.
  void Stop();

 private:
  Loop& loop_;
  http::HttpClient control_;
  std::vector<std::unique_ptr<http::HttpClient>> by_rank_;
};

}  // namespace sycamorestall

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "http/http_message.h"

namespace sycamorestall::http {

// An HTTP call to be made.
struct Call {
  Method method = Method::kGet;
  std::string url;
  std::vector<Header> headers;
  std::string body;
  std::chrono::milliseconds timeout{1000};
  // Whether the request may be sent again when a kept connection turns out dead.
  bool idempotent = true;
  // Whether to pass over kept connections.
  bool fresh_connection = false;
};

// How a call ended.
struct CallResult {
  // Empty when there is an answer, whatever its status.
  std::error_code error;
  // False when provably not a byte of the request left this machine.
  bool perhaps_sent = true;
  std::uint16_t status = 0;
  std::vector<Header> headers;
  std::string body;
};

// Limits of a client.
struct ClientSettings {
  std::chrono::milliseconds connect_timeout{500};
  // Further calls to a host wait until one of its connections is free.
  std::size_t max_connections_per_host = 100;
};

// Makes HTTP calls, many at a time, on one thread of its own, by the same
// connections as the routing daemon.
class HttpClient {
 public:
  // Takes the result of a call; called on the client's thread.
  using Callback = std::function<void(CallResult)>;

  explicit HttpClient(ClientSettings settings);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call from any thread; gives its number.
  std::uint64_t Start(Call call, Callback callback);
  // Gives a call up: its connection is closed and the callback gets kStopped.
  void Abandon(std::uint64_t number);
  // Gives up all calls and ends the thread.
  void Stop();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

// Makes one call and waits for its end; for the command line and for tests.
CallResult CallAndWait(Call call);

}  // namespace sycamorestall::http

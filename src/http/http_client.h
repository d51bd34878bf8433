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

// An HTTP request and how it is sent.
struct Call {
  Method method = Method::kGet;
  std::string url;
  std::vector<Header> headers;
  std::string body;
  std::chrono::milliseconds timeout{1000};
  // Whether the request may be sent again if a reused connection proves to be closed.
  bool idempotent = true;
  // Whether to open a new connection instead of reusing an idle one.
  bool fresh_connection = false;
};

// Result of a call: a response or an error.
struct CallResult {
  // Not set if there is a response, whatever its status.
  std::error_code error;
  // False only if certainly no byte of the request left this machine.
  bool perhaps_sent = true;
  std::uint16_t status = 0;
  std::vector<Header> headers;
  std::string body;
};

// Limits of an HttpClient.
struct ClientSettings {
  std::chrono::milliseconds connect_timeout{500};
  // Further calls to a host wait until one of its connections is free.
  std::size_t max_connections_per_host = 100;
};

// Makes concurrent HTTP calls on its own thread, with the connection pool that the
// routing daemon uses.
class HttpClient {
 public:
  // Receives the result of a call, on the client's thread.
  using Callback = std::function<void(CallResult)>;

  explicit HttpClient(ClientSettings settings);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call and returns its number. May be called from any thread.
  std::uint64_t StartCall(Call call, Callback callback);
  // Cancels a call: closes its connection and passes kStopped to the callback.
  void Cancel(std::uint64_t number);
  // Cancels all calls and joins the thread.
  void Stop();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

// Makes one call and blocks until it ends; for the command line and tests.
CallResult CallAndWait(Call call);

}  // namespace sycamorestall::http

#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "http/http_message.h"

namespace sycamorestall {
class CallerExchange;
}  // namespace sycamorestall

namespace sycamorestall::http {

class ServerImplementation;

// Sends the response to one request, once and from any thread. The server's event loop
// writes it to the connection of the request, or drops it if that is closed.
class Responder {
 public:
  Responder() = default;
  Responder(std::shared_ptr<boost::asio::io_context> context,
            std::shared_ptr<CallerExchange> exchange, std::uint64_t number);

  // Sends the response; does nothing if the caller has disconnected.
  void Send(Response response) const;
  // Number of the request, unique within its server.
  std::uint64_t number() const { return number_; }

 private:
  std::shared_ptr<boost::asio::io_context> context_;
  std::shared_ptr<CallerExchange> exchange_;
  std::uint64_t number_ = 0;
};

// Handles the requests of a server. Its functions are called on the server's
// thread and must not block.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;

  // Handles a complete request; the response is sent through the responder.
  virtual void Handle(Request request, Responder responder) = 0;
  // Called when the caller of an unanswered request has closed its connection.
  virtual void HandleCallerDisconnect(std::uint64_t number);
  // Returns the response to a malformed request.
  virtual Response MakeMalformedResponse(std::uint16_t status, const std::string& reason);
};

// Address and limits of a server.
struct ServerSettings {
  std::string host = "127.0.0.1";
  // 0 lets the system choose a free port.
  std::uint16_t port = 0;
  std::uint64_t max_body_bytes = 8ULL << 20;
  std::chrono::milliseconds idle_timeout{std::chrono::seconds{60}};
  // Longest pause while a request arrives.
  std::chrono::milliseconds arrival_timeout{std::chrono::seconds{30}};
};

// HTTP/1.1 server with its own thread, built on the connections that the routing daemon
// uses.
class HttpServer {
 public:
  HttpServer(ServerSettings settings, RequestHandler& handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts listening. Throws std::runtime_error if the address is in use.
  void Start();
  // Stops listening and joins the thread; unanswered requests get no response.
  void Stop();
  // The port that the server listens on.
  std::uint16_t port() const;

 private:
  std::unique_ptr<ServerImplementation> implementation_;
};

}  // namespace sycamorestall::http

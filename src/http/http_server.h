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

// Answers one request, from any thread, once. The answer is handed to the
// server's loop and written to the request's connection or to none.
class Responder {
 public:
  Responder() = default;
  Responder(std::shared_ptr<boost::asio::io_context> context,
            std::shared_ptr<CallerExchange> exchange, std::uint64_t number);

  // Sends the answer; a caller that has left is passed over silently.
  void Send(Response response) const;
  // Distinguishes the request from all others of this server.
  std::uint64_t number() const { return number_; }

 private:
  std::shared_ptr<boost::asio::io_context> context_;
  std::shared_ptr<CallerExchange> exchange_;
  std::uint64_t number_ = 0;
};

// Takes the requests of a server. Its functions are called on the server's
// thread and must not block.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;

  // Takes a whole request; the answer goes through the responder.
  virtual void Handle(Request request, Responder responder) = 0;
  // The caller of a request that is still open has closed its connection.
  virtual void CallerLeft(std::uint64_t number);
  // The answer to a request that cannot be understood.
  virtual Response Malformed(std::uint16_t status, const std::string& why);
};

// Where a server listens and what it takes.
struct ServerSettings {
  std::string host = "127.0.0.1";
  // 0 lets the system choose.
  std::uint16_t port = 0;
  std::uint64_t max_body_bytes = 8ULL << 20;
  std::chrono::milliseconds idle_timeout{std::chrono::seconds{60}};
  // How long a request may pause while it arrives.
  std::chrono::milliseconds arrival_timeout{std::chrono::seconds{30}};
};

// Serves HTTP/1.1 to callers on one thread of its own, by the same connections
// as the routing daemon.
class HttpServer {
 public:
  HttpServer(ServerSettings settings, RequestHandler& handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts listening; throws std::runtime_error when the address is taken.
  void Start();
  // Stops listening and ends the thread; open requests get no answer.
  void Stop();
  // The port listened on.
  std::uint16_t port() const;

 private:
  std::unique_ptr<ServerImplementation> implementation_;
};

}  // namespace sycamorestall::http

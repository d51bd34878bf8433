#include "router/keep_alive_caller.h"

#include <sys/socket.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>

namespace sycamorestall::testing {

namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;

constexpr std::chrono::milliseconds kReceiveSlack{1500};

void SetReceiveTimeout(asio::ip::tcp::socket& socket, std::chrono::milliseconds time) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
  const std::chrono::microseconds microseconds = time - seconds;
  const timeval timeout{seconds.count(), microseconds.count()};
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
}

}  // namespace

bool KeepAliveCaller::Connect() {
  if (socket_) {
    return true;
  }
  socket_ = std::make_unique<asio::ip::tcp::socket>(*context_);
  buffer_.clear();
  boost::system::error_code error;
  socket_->connect({asio::ip::address_v4::loopback(), port_}, error);
  if (error) {
    socket_.reset();
  }
  return !error;
}

CallerAnswer KeepAliveCaller::SendRequest(const CallerRequest& call) {
  if (!Connect()) {
    return {};
  }
  beast_http::request<beast_http::string_body> request{beast_http::string_to_verb(call.method),
                                                       call.path, 11};
  request.set(beast_http::field::host, "h.example");
  request.set("X-Request-Id", call.id);
  request.set("X-Deadline-Ms", std::to_string(call.timeout_ms));
  if (call.key) {
    request.set("X-Shard-Key", std::to_string(*call.key));
  }
  request.body() = call.body;
  if (!call.body.empty()) {
    request.prepare_payload();
  }
  SetReceiveTimeout(*socket_, std::chrono::milliseconds{call.timeout_ms} + kReceiveSlack);
  boost::system::error_code error;
  beast_http::write(*socket_, request, error);
  beast_http::response<beast_http::string_body> response;
  if (!error) {
    beast_http::read(*socket_, buffer_, response, error);
  }
  if (error || !response.keep_alive()) {
    socket_.reset();
  }
  if (error) {
    return {};
  }
  return {static_cast<int>(response.result_int()), std::string{response["X-Request-Id"]},
          response.body(), std::string{response["Retry-After"]}};
}

}  // namespace sycamorestall::testing

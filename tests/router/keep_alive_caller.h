#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>

#include "router/router_deployment.h"

namespace sycamorestall::testing {

// A caller that reuses its connection until the daemon closes it or a request fails.
class KeepAliveCaller {
 public:
  explicit KeepAliveCaller(std::uint16_t port) : port_(port) {}

  // Sends a request and waits for the answer; status 0 means that none arrived.
  CallerAnswer SendRequest(const CallerRequest& call);

 private:
  bool Connect();

  const std::uint16_t port_;
  std::unique_ptr<boost::asio::io_context> context_ = std::make_unique<boost::asio::io_context>();
  std::unique_ptr<boost::asio::ip::tcp::socket> socket_;
  boost::beast::flat_buffer buffer_;
};

}  // namespace sycamorestall::testing

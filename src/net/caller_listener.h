#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

#include "core/network_address.h"
#include "net/caller_connection.h"

namespace sycamorestall {

// Accepts callers' connections at one address and owns them until they are closed.
class CallerListener {
 public:
  // Binds to the address and starts accepting; throws boost::system::system_error if binding
  // fails.
  CallerListener(boost::asio::io_context& context, const NetworkAddress& address,
                 CallerHandler& handler);

  // Closes connections that have been idle, or sending a request, for too long.
  void CheckTimeouts(Instant now);
  // Closes connections that have been idle for a while, and the others as soon as all requests that
  // were read are answered.
  void CloseConnectionsWhenIdle(Instant now);
  // Stops accepting connections; existing ones stay open.
  void StopAccepting();
  // Stops accepting connections and closes all existing ones at once.
  void CloseAll();
  // Returns the port it listens on.
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // Number of connections that neither side has closed completely.
  std::size_t open_connections() const;

 private:
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  CallerHandler& handler_;
  std::vector<std::shared_ptr<CallerConnection>> connections_;
};

}  // namespace sycamorestall

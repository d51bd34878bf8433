#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <vector>

#include "core/network_address.h"
#include "net/caller_connection.h"

namespace sycamorestall {

// Accepts callers' connections at one address and owns them until they are closed.
class CallerListener {
 public:
  // Binds to the address and starts accepting; throws boost::system::system_error if binding
  // fails. At max_connections, if that is not 0, the connection that has been idle longest is
  // closed for a new one, and without idle ones the one whose request makes no progress for
  // longest; one on which a request is open is never closed. What callers make the
  // connections hold counts in the account, if there is one.
  CallerListener(boost::asio::io_context& context, const NetworkAddress& address,
                 CallerHandler& handler, std::size_t max_connections = 0,
                 std::shared_ptr<MemoryAccount> account = nullptr);

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
  // Connections that were closed to make room.
  std::uint64_t evicted_connections() const { return evicted_connections_; }

 private:
  void Accept();
  void Accepted(boost::asio::ip::tcp::socket socket);
  // Accepts again after a while, as no connection can be accepted now.
  void AcceptLater();
  // Closes the connection that has been idle longest or, if none is idle, the one whose request is
  // being read without progress for longest. Returns false if there is neither.
  bool EvictConnection();

  boost::asio::ip::tcp::acceptor acceptor_;
  CallerHandler& handler_;
  const std::size_t max_connections_;
  const std::shared_ptr<MemoryAccount> account_;
  boost::asio::steady_timer retry_timer_;
  std::uint64_t evicted_connections_ = 0;
  std::vector<std::shared_ptr<CallerConnection>> connections_;
};

}  // namespace sycamorestall

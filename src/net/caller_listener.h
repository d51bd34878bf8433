#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

#include "core/network_address.h"
#include "net/caller_connection.h"

namespace sycamorestall {

// Accepts connections at one address and keeps them until they end.
class CallerListener {
 public:
  CallerListener(boost::asio::io_context& context, const NetworkAddress& address,
                 CallerHandler& handler);

  // Ends connections that idle or take too long.
  void CheckTimeouts(Instant now);
  // Closes connections that have no open request, and the others after it.
  void CloseIdle();
  // Takes no further connections.
  void Stop();
  // The same, and ends all that there are.
  void CloseAll();
  // The port listened on.
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // Requests whose answers are not wholly written.
  std::size_t open_requests() const;

 private:
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  CallerHandler& handler_;
  std::vector<std::shared_ptr<CallerConnection>> connections_;
};

}  // namespace sycamorestall

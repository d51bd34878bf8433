#include "net/caller_listener.h"

#include <algorithm>

#include "clock/system_clock.h"
#include "net/socket_options.h"

namespace sycamorestall {

namespace asio = boost::asio;

CallerListener::CallerListener(asio::io_context& context, const NetworkAddress& address,
                               CallerHandler& handler)
    : acceptor_(context, {asio::ip::make_address(address.host), address.port}), handler_(handler) {
  Accept();
}

void CallerListener::Accept() {
  acceptor_.async_accept(
      [this](const boost::system::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          SetTcpOptions(socket);
          auto connection = std::make_shared<CallerConnection>(std::move(socket), handler_);
          connections_.push_back(connection);
          connection->Start(BootNow());
        }
        Accept();
      });
}

void CallerListener::CheckTimeouts(Instant now) {
  for (const auto& connection : connections_) {
    connection->CheckTimeouts(now);
  }
  std::erase_if(connections_, [](const auto& each) { return each->closed(); });
}

void CallerListener::CloseConnectionsWhenIdle(Instant now) {
  for (const auto& connection : connections_) {
    connection->CloseWhenIdle(now);
  }
}

void CallerListener::StopAccepting() {
  boost::system::error_code ignored;  // An acceptor that fails to close accepts nothing either.
  acceptor_.close(ignored);
}

void CallerListener::CloseAll() {
  StopAccepting();
  for (const auto& connection : connections_) {
    connection->Close();
  }
  connections_.clear();
}

std::size_t CallerListener::open_connections() const {
  return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                [](const auto& each) { return !each->closed(); }));
}

}  // namespace sycamorestall

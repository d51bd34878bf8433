#include "router/daemon_link.h"

#include <boost/asio/buffer.hpp>
#include <utility>

namespace sycamorestall {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxDatagramBytes = 65536;

}  // namespace

DaemonLink::DaemonLink(asio::io_context& context, const NetworkAddress& address, Handler handler)
    : socket_(context, {asio::ip::make_address(address.host), address.port}),
      handler_(std::move(handler)),
      buffer_(kMaxDatagramBytes, '\0') {
  socket_.non_blocking(true);
  Receive();
}

void DaemonLink::Receive() {
  socket_.async_receive_from(asio::buffer(buffer_), sender_,
                             [this](const boost::system::error_code& error, std::size_t size) {
                               if (error == asio::error::operation_aborted) {
                                 return;
                               }
                               if (!error) {
                                 if (const auto message = DecodeMessage(buffer_.substr(0, size))) {
                                   handler_(*message);
                                 }
                               }
                               Receive();
                             });
}

void DaemonLink::Send(const std::string& bytes, const NetworkAddress& address) {
  boost::system::error_code ignored;  // A datagram may be lost in any case.
  const auto host = asio::ip::make_address(address.host, ignored);
  socket_.send_to(asio::buffer(bytes), {host, address.port}, 0, ignored);
}

void DaemonLink::SendToAll(const DaemonMessage& message) {
  const std::string bytes = EncodeMessage(message);
  for (const auto& [id, address] : peers_) {
    Send(bytes, address);
  }
}

void DaemonLink::SendTo(const InstanceId& peer, const DaemonMessage& message) {
  const auto found = peers_.find(peer);
  if (found != peers_.end()) {
    Send(EncodeMessage(message), found->second);
  }
}

}  // namespace sycamorestall

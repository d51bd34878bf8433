#include "router/daemon_transport.h"

#include <boost/asio/buffer.hpp>
#include <utility>

namespace sycamorestall {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxDatagramBytes = 65536;

}  // namespace

DaemonTransport::DaemonTransport(asio::io_context& context, const NetworkAddress& address,
                                 MessageHandler handler)
    : socket_(context, {asio::ip::make_address(address.host), address.port}),
      message_handler_(std::move(handler)),
      receive_buffer_(kMaxDatagramBytes, '\0') {
  socket_.non_blocking(true);
  ReceiveNext();
}

void DaemonTransport::ReceiveNext() {
  socket_.async_receive_from(
      asio::buffer(receive_buffer_), sender_endpoint_,
      [this](const boost::system::error_code& error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          if (const auto message = DecodeMessage(receive_buffer_.substr(0, size))) {
            message_handler_(*message);
          }
        }
        ReceiveNext();
      });
}

void DaemonTransport::Send(const std::string& datagram, const NetworkAddress& address) {
  boost::system::error_code ignored;  // Send errors count as lost datagrams.
  const auto host = asio::ip::make_address(address.host, ignored);
  socket_.send_to(asio::buffer(datagram), {host, address.port}, 0, ignored);
}

void DaemonTransport::SendToAll(const DaemonMessage& message) {
  const std::string datagram = EncodeMessage(message);
  for (const auto& [id, address] : peers_) {
    Send(datagram, address);
  }
}

std::size_t DaemonTransport::SendTo(const InstanceId& peer, const DaemonMessage& message) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) {
    return 0;
  }
  const std::string datagram = EncodeMessage(message);
  Send(datagram, found->second);
  return datagram.size();
}

}  // namespace sycamorestall

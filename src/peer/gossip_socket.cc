#include "peer/gossip_socket.h"

#include <boost/asio/buffer.hpp>
#include <charconv>
#include <utility>

#include "peer/peer_codec.h"

namespace sycamorestall {

using boost::asio::ip::udp;

GossipSocket::GossipSocket(boost::asio::io_context& context, const udp::endpoint& endpoint,
                           Callback callback)
    : socket_(context, endpoint), callback_(std::move(callback)) {
  socket_.non_blocking(true);
  Receive();
}

void GossipSocket::Send(const std::string& address, const GossipMessage& message) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return;
  }
  boost::system::error_code error;
  const auto host = boost::asio::ip::make_address(address.substr(0, colon), error);
  std::uint16_t port = 0;
  std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
  if (error || port == 0) {
    return;
  }
  const std::string bytes = EncodeGossip(message);
  sent_bytes_ += bytes.size();
  socket_.send_to(boost::asio::buffer(bytes), udp::endpoint{host, port}, 0, error);
}

void GossipSocket::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_, [this](const auto& error, std::size_t count) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          std::optional<GossipMessage> message = DecodeGossip({buffer_.data(), count});
          if (message) {
            callback_(std::move(*message));
          }
        }
        Receive();
      });
}

void GossipSocket::Stop() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace sycamorestall

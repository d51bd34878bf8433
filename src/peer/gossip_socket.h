#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "core/gossip.h"

namespace sycamorestall {

// Sends and receives membership datagrams over UDP.
class GossipSocket {
 public:
  using Callback = std::function<void(GossipMessage)>;

  // Binds to the address; throws boost::system::system_error when it cannot.
  GossipSocket(boost::asio::io_context& context, const boost::asio::ip::udp::endpoint& endpoint,
               Callback callback);

  // Sends a datagram; losses are the protocol's business.
  void Send(const std::string& address, const GossipMessage& message);
  // Closes the socket.
  void Stop();

  // Bytes sent so far.
  std::uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  static constexpr std::size_t kMostDatagramBytes = 65536;

  void Receive();

  boost::asio::ip::udp::socket socket_;
  Callback callback_;
  boost::asio::ip::udp::endpoint from_;
  std::array<char, kMostDatagramBytes> buffer_{};
  std::uint64_t sent_bytes_ = 0;
};

}  // namespace sycamorestall

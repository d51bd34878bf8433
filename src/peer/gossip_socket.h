#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "core/gossip.h"

namespace sycamorestall {

// Sends and receives gossip messages as UDP datagrams. Not thread-safe: used only on the thread of
// its io_context.
class GossipSocket {
 public:
  using Callback = std::function<void(GossipMessage)>;

  // Binds to the endpoint and calls back for each message received; throws
  // boost::system::system_error when binding fails.
  GossipSocket(boost::asio::io_context& context, const boost::asio::ip::udp::endpoint& endpoint,
               Callback callback);

  // Sends a datagram to HOST:PORT. Errors and invalid addresses are ignored: the gossip protocol
  // tolerates lost datagrams.
  void Send(const std::string& address, const GossipMessage& message);
  // Stops receiving and closes the socket.
  void Stop();

  // Total bytes of all datagrams sent.
  std::uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  static constexpr std::size_t kMaxDatagramBytes = 65536;

  void Receive();

  boost::asio::ip::udp::socket socket_;
  Callback callback_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, kMaxDatagramBytes> buffer_{};
  std::uint64_t sent_bytes_ = 0;
};

}  // namespace sycamorestall

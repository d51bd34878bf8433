#pragma once

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>

#include "core/network_address.h"
#include "router/daemon_message.h"

namespace sycamorestall {

// Exchanges messages with other daemons over UDP. Lost datagrams are not resent; the
// next periodic message replaces them.
class DaemonTransport {
 public:
  using MessageHandler = std::function<void(const DaemonMessage&)>;

  // Binds to the address and starts receiving; datagrams that cannot be decoded are
  // dropped. Throws boost::system::system_error if the address cannot be bound.
  DaemonTransport(boost::asio::io_context& context, const NetworkAddress& address,
                  MessageHandler handler);

  // Replaces the addresses of the other daemons.
  void SetPeers(std::map<InstanceId, NetworkAddress> peers) { peers_ = std::move(peers); }
  std::size_t peer_count() const { return peers_.size(); }
  // Sends a message to every peer.
  void SendToAll(const DaemonMessage& message);
  // Sends a message to one peer; does nothing if its address is not known. Returns the number of
  // bytes sent.
  std::size_t SendTo(const InstanceId& peer, const DaemonMessage& message);

 private:
  void ReceiveNext();
  void Send(const std::string& datagram, const NetworkAddress& address);

  boost::asio::ip::udp::socket socket_;
  MessageHandler message_handler_;
  std::map<InstanceId, NetworkAddress> peers_;
  std::string receive_buffer_;
  boost::asio::ip::udp::endpoint sender_endpoint_;
};

}  // namespace sycamorestall

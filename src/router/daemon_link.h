#pragma once

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>

#include "core/network_address.h"
#include "router/daemon_message.h"

namespace sycamorestall {

// Datagrams between daemons. What is lost is made up for by the next message.
class DaemonTransport {
 public:
  using MessageHandler = std::function<void(const DaemonMessage&)>;

  DaemonTransport(boost::asio::io_context& context, const NetworkAddress& address,
                  MessageHandler handler);

  // Sets where the other daemons are.
  void SetPeers(std::map<InstanceId, NetworkAddress> peers) { peers_ = std::move(peers); }
  std::size_t peer_count() const { return peers_.size(); }
  // Sends a message to all others, or to one.
  void SendToAll(const DaemonMessage& message);
  void SendTo(const InstanceId& peer, const DaemonMessage& message);

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

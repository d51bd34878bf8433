#pragma once

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>

#include "core/network_address.h"
#include "router/daemon_message.h"

namespace sycamorestall {

// Datagrams between daemons. What is lost is made up for by the next message.
class DaemonLink {
 public:
  using Handler = std::function<void(const DaemonMessage&)>;

  DaemonLink(boost::asio::io_context& context, const NetworkAddress& address, Handler handler);

  // Sets where the other daemons are.
  void SetPeers(std::map<InstanceId, NetworkAddress> peers) { peers_ = std::move(peers); }
  std::size_t peer_count() const { return peers_.size(); }
  // Sends a message to all others, or to one.
  void SendToAll(const DaemonMessage& message);
  void SendTo(const InstanceId& peer, const DaemonMessage& message);

 private:
  void Receive();
  void Send(const std::string& bytes, const NetworkAddress& address);

  boost::asio::ip::udp::socket socket_;
  Handler handler_;
  std::map<InstanceId, NetworkAddress> peers_;
  std::string buffer_;
  boost::asio::ip::udp::endpoint sender_;
};

}  // namespace sycamorestall

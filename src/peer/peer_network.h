#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/boot_clock.h"
#include "peer/peer_message.h"

namespace sycamorestall {

// Selects one of the connections to a peer: one for control messages and one for each rank, so that
// a large upload never delays a command.
using PeerChannel = std::size_t;
inline constexpr PeerChannel kControlChannel = 0;
// The channel of a rank, given its index in the order of ranks.
inline PeerChannel ChannelOfRank(std::size_t rank) { return rank + 1; }

class PeerConnection;

// The connection that a message arrived on, used to send the reply.
using PeerSource = std::weak_ptr<PeerConnection>;

// Receives the events of a PeerNetwork, on the thread of its io_context.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  // Called for each message received, except pings and pongs.
  virtual void HandleMessage(const PeerSource& source, PeerMessage message) = 0;
  // Called when a connection opened by this daemon is lost, with everything in flight on it;
  // never_connected is true when it was never established.
  virtual void HandleConnectionLost(const std::string& address, PeerChannel channel,
                                    bool never_connected) = 0;
};

// Manages the TCP connections between daemons. Not thread-safe: all functions must be called on the
// thread that runs the io_context.
class PeerNetwork {
 public:
  PeerNetwork(boost::asio::io_context& context, PeerHandler& handler);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  // Starts listening; throws boost::system::system_error on failure.
  void Listen(const boost::asio::ip::tcp::endpoint& endpoint);
  // Queues a message for a peer (HOST:PORT), opening the connection first if needed. Returns false,
  // with nothing sent, if the address is invalid, the peer is behind a simulated partition, or too
  // much unsent data is queued.
  bool Send(const std::string& address, PeerChannel channel, const PeerMessage& message);
  // Replies on the connection that a message came from; does nothing if that is closed.
  void Reply(const PeerSource& source, const PeerMessage& message);
  // Pings connections that are silent while data is expected, and closes those that stay silent.
  void Tick(Instant now);
  // Simulates a network partition from these peers, replacing the previous one; for tests.
  void SimulatePartition(std::set<std::string> addresses);
  // Whether the peer is behind the simulated partition.
  bool IsPartitioned(const std::string& address) const {
    return partitioned_addresses_.contains(address);
  }
  // Stops listening and closes all connections, without calling the handler.
  void Stop();

 private:
  friend class PeerConnection;
  struct ConnectionKey {
    std::string address;
    PeerChannel channel = kControlChannel;

    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const ConnectionKey&, const ConnectionKey&) = default;
  };

  void Accept();
  void RemoveConnection(const PeerConnection* connection, bool never_connected);

  boost::asio::io_context& context_;
  PeerHandler& handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::map<ConnectionKey, std::shared_ptr<PeerConnection>> outgoing_connections_;
  std::set<std::shared_ptr<PeerConnection>> incoming_connections_;
  std::set<std::string> partitioned_addresses_;
};

}  // namespace sycamorestall

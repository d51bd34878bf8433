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

// Which of a peer's connections a message travels on: one for each rank, so
// that an upload never stands in front of a command, and one for control.
using PeerChannel = std::size_t;
inline constexpr PeerChannel kControlChannel = 0;
// The channel of a rank, given its place in the order.
inline PeerChannel ChannelOfRank(std::size_t rank) { return rank + 1; }

class PeerSocket;

// Tells where a message came from, so that the answer goes back the same way.
using PeerSource = std::weak_ptr<PeerSocket>;

// Takes what the network brings; called on the network's own thread.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  // A message has come in.
  virtual void TakeMessage(const PeerSource& source, PeerMessage message) = 0;
  // A connection that this daemon had opened is gone, with all that was under
  // way on it; refused says that it never came about.
  virtual void LinkLost(const std::string& address, PeerChannel channel, bool refused) = 0;
};

// The TCP connections between daemons. Runs on one thread, that of its
// io_context, which also carries all calls of its functions.
class PeerNetwork {
 public:
  PeerNetwork(boost::asio::io_context& context, PeerHandler& handler);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  // Starts listening; throws boost::system::system_error when it cannot.
  void Listen(const boost::asio::ip::tcp::endpoint& endpoint);
  // Sends to a peer, opening the connection first if need be. False when the
  // connection is too far behind to take more, or cut; then nothing was sent.
  bool Send(const std::string& address, PeerChannel channel, const PeerMessage& message);
  // Sends back to where a message came from; passed over when that is gone.
  void Reply(const PeerSource& source, const PeerMessage& message);
  // Pings idle connections and gives up those that have gone silent.
  void Tick(Instant now);
  // Acts as if these peers were cut off; for tests.
  void Cut(std::set<std::string> addresses);
  // Whether the peer is cut off by Cut.
  bool IsCut(const std::string& address) const { return cut_.contains(address); }
  // Closes everything.
  void Stop();

 private:
  friend class PeerSocket;
  struct LinkKey {
    std::string address;
    PeerChannel channel = kControlChannel;

    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const LinkKey&, const LinkKey&) = default;
  };

  void Accept();
  void Forget(const PeerSocket* socket, bool refused);

  boost::asio::io_context& context_;
  PeerHandler& handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::map<LinkKey, std::shared_ptr<PeerSocket>> links_;
  std::set<std::shared_ptr<PeerSocket>> sessions_;
  std::set<std::string> cut_;
};

}  // namespace sycamorestall

#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/boot_clock.h"
#include "peer/peer_message.h"
#include "peer/peer_network.h"

namespace sycamorestall {

// One TCP connection to or from another daemon. Messages that are sent while a
// write is under way are gathered and go out together.
class PeerSocket : public std::enable_shared_from_this<PeerSocket> {
 public:
  PeerSocket(PeerNetwork& network, boost::asio::ip::tcp::socket socket);

  // Connects to a peer; messages can be sent at once and wait for it.
  void Connect(const boost::asio::ip::tcp::endpoint& endpoint);
  // Reads from a connection that was accepted.
  void Begin();
  // Sends a message; false when too much waits already.
  bool Send(const PeerMessage& message);
  // Closes the connection without a word to the handler.
  void Close();
  // Pings when idle; closes when nothing has come back for too long.
  void Tick(Instant now);

 private:
  void Read();
  void TakeBytes(std::size_t count);
  void Write();
  void Fail(bool refused);

  PeerNetwork& network_;
  boost::asio::ip::tcp::socket socket_;
  bool connected_ = false;
  bool closed_ = false;
  bool writing_ = false;
  std::string outgoing_;
  std::string being_written_;
  std::string inbox_;
  std::vector<char> chunk_;
  Instant last_heard_;
  Instant pinged_;
  bool awaits_pong_ = false;
  // Something was sent since the peer was last heard.
  bool awaits_word_ = false;
};

}  // namespace sycamorestall

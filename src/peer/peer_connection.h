#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/boot_clock.h"
#include "peer/peer_message.h"
#include "peer/peer_network.h"

namespace sycamorestall {

// One TCP connection to or from another daemon. Messages sent while a write is in progress are
// collected and written together.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  PeerConnection(PeerNetwork& network, boost::asio::ip::tcp::socket socket);

  // Connects to a peer; messages can be sent immediately and are queued until it is connected.
  void Connect(const boost::asio::ip::tcp::endpoint& endpoint);
  // Starts reading and writing once the socket is connected.
  void Start();
  // Queues a message; returns false when closed or when too many bytes are queued already.
  bool Send(const PeerMessage& message);
  // Closes the connection without notifying the handler.
  void Close();
  // Sends a ping when the peer has been silent while data is expected; closes the connection when
  // the ping gets no response in time.
  void Tick(Instant now);

 private:
  void Read();
  void HandleReceivedBytes(std::size_t count);
  void Write();
  void Fail(bool never_connected);

  PeerNetwork& network_;
  boost::asio::ip::tcp::socket socket_;
  bool connected_ = false;
  bool closed_ = false;
  bool writing_ = false;
  std::string unsent_;
  std::string write_buffer_;
  std::string unparsed_;
  std::vector<char> read_buffer_;
  Instant last_received_at_;
  Instant pinged_at_;
  bool awaits_pong_ = false;
  // Whether anything was sent since data was last received.
  bool awaits_data_ = false;
};

}  // namespace sycamorestall

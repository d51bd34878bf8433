#pragma once

#include <map>
#include <memory>
#include <vector>

#include "net/http_connection.h"

namespace sycamorestall {

// Keeps connections to peers open for reuse, by the name of the peer: a new peer
// at an old address gets connections of its own.
class ConnectionPool {
 public:
  explicit ConnectionPool(boost::asio::io_context& context) : context_(context) {}

  // A handle to a running call, by which it can be cancelled.
  using CallHandle = std::weak_ptr<HttpConnection>;

  // Sends a request to a peer over the connection that was used last, or a new one.
  CallHandle Call(const std::string& peer, const NetworkAddress& address, OutgoingCall call,
                  Instant now, HttpConnection::Callback callback);
  // Ends a running call and resets its connection.
  static void Cancel(const CallHandle& handle);
  // Forgets the idle connections of a peer that is gone.
  void Forget(const std::string& peer);
  // Ends calls that took too long and drops connections that idled too long.
  void CheckTimeouts(Instant now);

  // Connections opened so far.
  std::uint64_t opened() const { return opened_; }

 private:
  struct Peer {
    NetworkAddress address;
    std::vector<std::shared_ptr<HttpConnection>> connections;
  };

  // Whether an idle connection is young enough for its peer to keep it still.
  static bool IsFresh(const HttpConnection& connection, Instant now);

  boost::asio::io_context& context_;
  std::map<std::string, Peer> peers_;
  std::uint64_t opened_ = 0;
};

}  // namespace sycamorestall

#pragma once

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "net/http_connection.h"

namespace sycamorestall {

// Keeps connections open for reuse. They are keyed by the peer's name, so that a new peer at the
// address of an earlier one gets new connections.
class ConnectionPool {
 public:
  // The answers that are being received count in the account, if there is one.
  explicit ConnectionPool(boost::asio::io_context& context,
                          std::shared_ptr<MemoryAccount> account = nullptr)
      : context_(context), answer_memory_(std::make_shared<AnswerMemory>(std::move(account))) {}

  // The event loop that runs the connections and their callbacks.
  boost::asio::io_context& context() { return context_; }

  // Identifies a running call for Cancel().
  using CallHandle = std::weak_ptr<HttpConnection>;

  // Sends a request to a peer over its most recently used idle connection, or a new one. A request
  // that is repeated never uses a connection that has carried it before.
  CallHandle Call(const std::string& peer, const NetworkAddress& address, OutgoingCall call,
                  Instant now, HttpConnection::Callback callback);
  // Cancels a running call without calling back and resets its connection.
  static void Cancel(const CallHandle& handle);
  // Fails a running call and resets its connection if the peer has not confirmed the receipt of
  // the whole request, which may otherwise be delivered later.
  static void FailIfUndelivered(const CallHandle& handle);
  // Whether a byte of the answer to a running call has arrived.
  static bool HasAnswerBegun(const CallHandle& handle);
  // Closes the idle connections of a peer.
  void CloseIdleConnections(const std::string& peer);
  // Fails calls that have timed out and closes connections that have been idle for too long.
  void CheckTimeouts(Instant now);

  // Number of connections opened so far.
  std::uint64_t opened_connections() const { return opened_connections_; }

 private:
  struct Peer {
    NetworkAddress address;
    std::vector<std::shared_ptr<HttpConnection>> connections;
  };

  // The idle connection of a peer that is best for a call; null if there is none.
  static std::shared_ptr<HttpConnection> FindIdleConnection(
      const std::vector<std::shared_ptr<HttpConnection>>& connections, const OutgoingCall& call,
      Instant now);
  // Whether an idle connection may carry further calls: the peer probably still keeps it open, and
  // it has not carried too many.
  static bool IsReusable(const HttpConnection& connection, Instant now);

  boost::asio::io_context& context_;
  std::shared_ptr<AnswerMemory> answer_memory_;
  std::map<std::string, Peer> peers_;
  std::uint64_t opened_connections_ = 0;
};

}  // namespace sycamorestall

#include "net/connection_pool.h"

#include <algorithm>
#include <utility>

namespace sycamorestall {

namespace {

// Idle timeout of connections whose peer has not announced its own.
constexpr std::chrono::milliseconds kDefaultIdleTimeout{4000};
// How long before the peer's announced idle timeout a connection is no longer used.
constexpr std::chrono::milliseconds kIdleMargin{1500};
// A connection remembers the ids of its requests, and is replaced after this many.
constexpr std::size_t kMaxCarriedRequests = 128;

}  // namespace

bool ConnectionPool::IsReusable(const HttpConnection& connection, Instant now) {
  if (connection.carried_requests() >= kMaxCarriedRequests) {
    return false;
  }
  const Duration idle_time = now - connection.idle_since();
  const auto timeout = connection.peer_idle_timeout();
  return idle_time < (timeout ? *timeout - kIdleMargin : Duration{kDefaultIdleTimeout});
}

std::shared_ptr<HttpConnection> ConnectionPool::FindIdleConnection(
    const std::vector<std::shared_ptr<HttpConnection>>& connections, const OutgoingCall& call,
    Instant now) {
  std::shared_ptr<HttpConnection> selected;
  for (const auto& connection : connections) {
    const bool usable = !call.fresh_connection && connection->idle() &&
                        IsReusable(*connection, now) && !connection->HasCarried(call.request_id);
    if (usable && (!selected || connection->idle_since() > selected->idle_since())) {
      selected = connection;
    }
  }
  return selected;
}

ConnectionPool::CallHandle ConnectionPool::Call(const std::string& peer,
                                                const NetworkAddress& address, OutgoingCall call,
                                                Instant now, HttpConnection::Callback callback) {
  Peer& known_peer = peers_[peer];
  if (known_peer.address != address) {
    CloseIdleConnections(peer);
    peers_[peer].address = address;
  }
  std::vector<std::shared_ptr<HttpConnection>>& connections = peers_[peer].connections;
  std::shared_ptr<HttpConnection> selected = FindIdleConnection(connections, call, now);
  // What arrived before the request was sent cannot be its answer.
  while (selected && selected->HasUnreadInput()) {
    selected->Reset();
    selected = FindIdleConnection(connections, call, now);
  }
  if (!selected) {
    ++opened_connections_;
    selected =
        std::make_shared<HttpConnection>(context_, address, opened_connections_, answer_memory_);
    connections.push_back(selected);
  }
  selected->Call(std::move(call), now, std::move(callback));
  return selected;
}

void ConnectionPool::Cancel(const CallHandle& handle) {
  if (const auto connection = handle.lock()) {
    connection->Reset();
  }
}

void ConnectionPool::FailIfUndelivered(const CallHandle& handle) {
  if (const auto connection = handle.lock()) {
    connection->FailIfUndelivered();
  }
}

bool ConnectionPool::HasAnswerBegun(const CallHandle& handle) {
  const auto connection = handle.lock();
  return connection && connection->answering();
}

void ConnectionPool::CloseIdleConnections(const std::string& peer) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) {
    return;
  }
  for (const auto& connection : found->second.connections) {
    if (connection->idle()) {
      connection->Reset();
    }
  }
}

void ConnectionPool::CheckTimeouts(Instant now) {
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    auto& connections = peer->second.connections;
    // A timeout runs the call's callback, which may append connections.
    for (std::size_t i = 0; i < connections.size(); ++i) {
      const std::shared_ptr<HttpConnection> connection = connections[i];
      connection->CheckTimeouts(now);
      if (connection->idle() && !IsReusable(*connection, now)) {
        connection->Reset();
      }
    }
    std::erase_if(peer->second.connections, [](const auto& each) { return each->closed(); });
    peer = peer->second.connections.empty() ? peers_.erase(peer) : std::next(peer);
  }
}

}  // namespace sycamorestall

#include "net/connection_pool.h"

#include <algorithm>
#include <utility>

namespace sycamorestall {

namespace {

// For how long connections are reused whose peer has not said how long it keeps
// them, and how much sooner than the peer a connection is given up.
constexpr std::chrono::milliseconds kUnknownIdleTimeout{4000};
constexpr std::chrono::milliseconds kIdleMargin{1500};

}  // namespace

bool ConnectionPool::IsFresh(const HttpConnection& connection, Instant now) {
  const Duration idle = now - connection.idle_since();
  const auto timeout = connection.peer_idle_timeout();
  return idle < (timeout ? *timeout - kIdleMargin : Duration{kUnknownIdleTimeout});
}

ConnectionPool::CallHandle ConnectionPool::Call(const std::string& peer,
                                                const NetworkAddress& address, OutgoingCall call,
                                                Instant now, HttpConnection::Callback callback) {
  Peer& entry = peers_[peer];
  if (entry.address != address) {
    Forget(peer);
    peers_[peer].address = address;
  }
  std::vector<std::shared_ptr<HttpConnection>>& connections = peers_[peer].connections;
  std::shared_ptr<HttpConnection> chosen;
  for (const auto& connection : connections) {
    const bool usable = !call.fresh_connection && connection->idle() && IsFresh(*connection, now);
    if (usable && (!chosen || connection->idle_since() > chosen->idle_since())) {
      chosen = connection;
    }
  }
  if (!chosen) {
    chosen = std::make_shared<HttpConnection>(context_, address);
    connections.push_back(chosen);
    ++opened_;
  }
  chosen->Call(std::move(call), now, std::move(callback));
  return chosen;
}

void ConnectionPool::Cancel(const CallHandle& handle) {
  if (const auto connection = handle.lock()) {
    connection->Reset();
  }
}

void ConnectionPool::Forget(const std::string& peer) {
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
    // Timeouts call back, and a callback may add connections at the end.
    for (std::size_t i = 0; i < connections.size(); ++i) {
      const std::shared_ptr<HttpConnection> connection = connections[i];
      connection->CheckTimeouts(now);
      if (connection->idle() && !IsFresh(*connection, now)) {
        connection->Reset();
      }
    }
    std::erase_if(peer->second.connections, [](const auto& each) { return each->closed(); });
    peer = peer->second.connections.empty() ? peers_.erase(peer) : std::next(peer);
  }
}

}  // namespace sycamorestall

#include "peer/peer_network.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "peer/peer_connection.h"

namespace sycamorestall {

namespace {

using boost::asio::ip::tcp;

std::optional<tcp::endpoint> ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto host = boost::asio::ip::make_address(address.substr(0, colon), error);
  std::uint16_t port = 0;
  const auto parsed =
      std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
  if (error || parsed.ec != std::errc{}) {
    return std::nullopt;
  }
  return tcp::endpoint{host, port};
}

}  // namespace

PeerNetwork::PeerNetwork(boost::asio::io_context& context, PeerHandler& handler)
    : context_(context), handler_(handler), acceptor_(context) {}

PeerNetwork::~PeerNetwork() = default;

void PeerNetwork::Listen(const tcp::endpoint& endpoint) {
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  Accept();
}

void PeerNetwork::Accept() {
  acceptor_.async_accept([this](const auto& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    if (!error) {
      auto connection = std::make_shared<PeerConnection>(*this, std::move(socket));
      incoming_connections_.insert(connection);
      connection->Start();
    }
    Accept();
  });
}

bool PeerNetwork::Send(const std::string& address, PeerChannel channel,
                       const PeerMessage& message) {
  if (partitioned_addresses_.contains(address)) {
    return false;
  }
  const ConnectionKey key{address, channel};
  auto found = outgoing_connections_.find(key);
  if (found == outgoing_connections_.end()) {
    const std::optional<tcp::endpoint> endpoint = ParseEndpoint(address);
    if (!endpoint) {
      return false;
    }
    auto connection = std::make_shared<PeerConnection>(*this, tcp::socket{context_});
    found = outgoing_connections_.emplace(key, connection).first;
    connection->Connect(*endpoint);
  }
  return found->second->Send(message);
}

void PeerNetwork::Reply(const PeerSource& source, const PeerMessage& message) {
  const std::shared_ptr<PeerConnection> connection = source.lock();
  if (connection) {
    connection->Send(message);
  }
}

void PeerNetwork::Tick(Instant now) {
  std::vector<std::shared_ptr<PeerConnection>> connections(incoming_connections_.begin(),
                                                           incoming_connections_.end());
  for (const auto& [key, connection] : outgoing_connections_) {
    connections.push_back(connection);
  }
  for (const auto& connection : connections) {
    connection->Tick(now);
  }
}

void PeerNetwork::SimulatePartition(std::set<std::string> addresses) {
  partitioned_addresses_ = std::move(addresses);
  std::vector<ConnectionKey> partitioned;
  for (const auto& [key, connection] : outgoing_connections_) {
    if (partitioned_addresses_.contains(key.address)) {
      partitioned.push_back(key);
    }
  }
  for (const ConnectionKey& key : partitioned) {
    outgoing_connections_.at(key)->Close();
    outgoing_connections_.erase(key);
    handler_.HandleConnectionLost(key.address, key.channel, false);
  }
}

void PeerNetwork::RemoveConnection(const PeerConnection* connection, bool never_connected) {
  const auto outgoing =
      std::find_if(outgoing_connections_.begin(), outgoing_connections_.end(),
                   [connection](const auto& entry) { return entry.second.get() == connection; });
  if (outgoing != outgoing_connections_.end()) {
    const ConnectionKey key = outgoing->first;
    outgoing_connections_.erase(outgoing);
    handler_.HandleConnectionLost(key.address, key.channel, never_connected);
    return;
  }
  std::erase_if(incoming_connections_,
                [connection](const auto& each) { return each.get() == connection; });
}

void PeerNetwork::Stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& [key, connection] : outgoing_connections_) {
    connection->Close();
  }
  for (const auto& connection : incoming_connections_) {
    connection->Close();
  }
  outgoing_connections_.clear();
  incoming_connections_.clear();
}

}  // namespace sycamorestall

#include "peer/peer_network.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "peer/peer_socket.h"

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
      auto session = std::make_shared<PeerSocket>(*this, std::move(socket));
      sessions_.insert(session);
      session->Begin();
    }
    Accept();
  });
}

bool PeerNetwork::Send(const std::string& address, PeerChannel channel,
                       const PeerMessage& message) {
  if (cut_.contains(address)) {
    return false;
  }
  const LinkKey key{address, channel};
  auto found = links_.find(key);
  if (found == links_.end()) {
    const std::optional<tcp::endpoint> endpoint = ParseEndpoint(address);
    if (!endpoint) {
      return false;
    }
    auto link = std::make_shared<PeerSocket>(*this, tcp::socket{context_});
    found = links_.emplace(key, link).first;
    link->Connect(*endpoint);
  }
  return found->second->Send(message);
}

void PeerNetwork::Reply(const PeerSource& source, const PeerMessage& message) {
  const std::shared_ptr<PeerSocket> socket = source.lock();
  if (socket) {
    socket->Send(message);
  }
}

void PeerNetwork::Tick(Instant now) {
  std::vector<std::shared_ptr<PeerSocket>> sockets(sessions_.begin(), sessions_.end());
  for (const auto& [key, link] : links_) {
    sockets.push_back(link);
  }
  for (const auto& socket : sockets) {
    socket->Tick(now);
  }
}

void PeerNetwork::Cut(std::set<std::string> addresses) {
  cut_ = std::move(addresses);
  std::vector<LinkKey> lost;
  for (const auto& [key, link] : links_) {
    if (cut_.contains(key.address)) {
      lost.push_back(key);
    }
  }
  for (const LinkKey& key : lost) {
    links_.at(key)->Close();
    links_.erase(key);
    handler_.LinkLost(key.address, key.channel, false);
  }
}

void PeerNetwork::Forget(const PeerSocket* socket, bool refused) {
  const auto link = std::find_if(links_.begin(), links_.end(), [socket](const auto& entry) {
    return entry.second.get() == socket;
  });
  if (link != links_.end()) {
    const LinkKey key = link->first;
    links_.erase(link);
    handler_.LinkLost(key.address, key.channel, refused);
    return;
  }
  std::erase_if(sessions_, [socket](const auto& each) { return each.get() == socket; });
}

void PeerNetwork::Stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& [key, link] : links_) {
    link->Close();
  }
  for (const auto& session : sessions_) {
    session->Close();
  }
  links_.clear();
  sessions_.clear();
}

}  // namespace sycamorestall

#include "net/caller_listener.h"

#include <algorithm>
#include <utility>

#include "clock/system_clock.h"
#include "net/socket_options.h"

namespace sycamorestall {

namespace asio = boost::asio;

namespace {

// The pause after a failure to accept, for example for want of descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{20};

}  // namespace

CallerListener::CallerListener(asio::io_context& context, const NetworkAddress& address,
                               CallerHandler& handler, std::size_t max_connections,
                               std::shared_ptr<MemoryAccount> account)
    : acceptor_(context, {asio::ip::make_address(address.host), address.port}),
      handler_(handler),
      max_connections_(max_connections),
      account_(std::move(account)),
      retry_timer_(context) {
  Accept();
}

void CallerListener::Accept() {
  acceptor_.async_accept(
      [this](const boost::system::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (error) {
          EvictConnection();
          AcceptLater();
          return;
        }
        Accepted(std::move(socket));
        Accept();
      });
}

void CallerListener::AcceptLater() {
  retry_timer_.expires_after(kAcceptRetryDelay);
  retry_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && acceptor_.is_open()) {
      Accept();
    }
  });
}

void CallerListener::Accepted(asio::ip::tcp::socket socket) {
  const bool full = max_connections_ != 0 && connections_.size() >= max_connections_;
  if (full) {
    EvictConnection();
  }
  SetTcpOptions(socket);
  auto connection = std::make_shared<CallerConnection>(std::move(socket), handler_, account_);
  connections_.push_back(connection);
  connection->Start(BootNow());
}

bool CallerListener::EvictConnection() {
  std::erase_if(connections_, [](const auto& each) { return each->closed(); });
  std::shared_ptr<CallerConnection> longest_idle;
  std::shared_ptr<CallerConnection> slowest;
  for (const auto& connection : connections_) {
    const bool longer =
        longest_idle == nullptr || connection->last_activity() < longest_idle->last_activity();
    if (longer && connection->IsIdle()) {
      longest_idle = connection;
    }
    const bool slower =
        slowest == nullptr || connection->read_progressed_at() < slowest->read_progressed_at();
    if (slower && connection->IsReading()) {
      slowest = connection;
    }
  }
  const auto& evicted = longest_idle != nullptr ? longest_idle : slowest;
  if (evicted == nullptr) {
    return false;
  }
  evicted->Close();
  ++evicted_connections_;
  return true;
}

void CallerListener::CheckTimeouts(Instant now) {
  for (const auto& connection : connections_) {
    connection->CheckTimeouts(now);
  }
  if (account_) {
    account_->Relieve(now);
  }
  std::erase_if(connections_, [](const auto& each) { return each->closed(); });
}

void CallerListener::CloseConnectionsWhenIdle(Instant now) {
  for (const auto& connection : connections_) {
    connection->CloseWhenIdle(now);
  }
}

void CallerListener::StopAccepting() {
  boost::system::error_code ignored;  // An acceptor that fails to close accepts nothing either.
  acceptor_.close(ignored);
  retry_timer_.cancel();
}

void CallerListener::CloseAll() {
  StopAccepting();
  for (const auto& connection : connections_) {
    connection->Close();
  }
  connections_.clear();
}

std::size_t CallerListener::open_connections() const {
  return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                [](const auto& each) { return !each->closed(); }));
}

}  // namespace sycamorestall

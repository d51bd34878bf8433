#include "fakes/fault_proxy.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <chrono>
#include <utility>

#include "net/socket_options.h"

namespace sycamorestall::fakes {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::milliseconds kDelay{120};
// How often a blocked direction checks whether it may pass its bytes.
constexpr std::chrono::milliseconds kBlockedRecheckInterval{10};
constexpr std::size_t kBufferBytes = std::size_t{64} * 1024;
// Bytes that pass at once while the rate is limited.
constexpr std::size_t kLimitedReadBytes = std::size_t{8} * 1024;

// Whether the peer has closed or reset the connection.
bool IsClosedByPeer(tcp::socket& socket) {
  char byte = 0;
  const ssize_t size = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace

// A client's connection together with its connection to the target.
class FaultProxy::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(FaultProxy& proxy, tcp::socket client)
      : proxy_(proxy), client_(std::move(client)), target_(proxy.context_) {}

  void Start() {
    const tcp::endpoint endpoint{asio::ip::make_address(proxy_.target_.host), proxy_.target_.port};
    target_.async_connect(endpoint,
                          [self = shared_from_this()](const boost::system::error_code& error) {
                            if (error) {
                              self->Reset();
                              return;
                            }
                            self->to_target_.Read(self);
                            self->to_client_.Read(self);
                          });
  }

  void Reset() {
    boost::system::error_code ignored;  // The socket is closed in any case.
    for (tcp::socket* socket : {&client_, &target_}) {
      if (socket->is_open()) {
        ResetOnClose(*socket);
        socket->close(ignored);
      }
    }
  }

 private:
  // Passes bytes on in one direction.
  struct Direction {
    Direction(Connection& connection, tcp::socket& from_socket, tcp::socket& to_socket,
              bool is_to_client)
        : from(from_socket),
          to(to_socket),
          carries_answers(is_to_client),
          timer(connection.proxy_.context_) {}

    void Read(const std::shared_ptr<Connection>& owner) {
      const bool limited = carries_answers && owner->proxy_.answer_rate_ > 0;
      from.async_read_some(asio::buffer(buffer, limited ? kLimitedReadBytes : kBufferBytes),
                           [this, owner](const boost::system::error_code& error, std::size_t size) {
                             if (error) {
                               HandleReadError(owner, error);
                               return;
                             }
                             std::chrono::nanoseconds delay{0};
                             if (carries_answers) {
                               delay = owner->proxy_.ReserveLink(size);
                             }
                             if (owner->proxy_.fault_ == ProxyFault::kDelayed) {
                               delay += kDelay;
                             }
                             WriteWhenUnblocked(owner, size, delay);
                           });
    }

    void HandleReadError(const std::shared_ptr<Connection>& owner,
                         const boost::system::error_code& error) {
      boost::system::error_code ignored;  // The other direction detects a broken connection.
      if (error == asio::error::eof) {
        to.shutdown(tcp::socket::shutdown_send, ignored);
      } else {
        owner->Reset();
      }
    }

    // Writes the bytes after the delay, and only once no fault blocks this direction.
    void WriteWhenUnblocked(const std::shared_ptr<Connection>& owner, std::size_t size,
                            std::chrono::nanoseconds delay) {
      owner->has_lost_bytes_ = owner->has_lost_bytes_ || owner->proxy_.fault_ == ProxyFault::kLost;
      if (owner->has_lost_bytes_) {
        Read(owner);
        return;
      }
      if (delay.count() == 0 && !IsBlocked(owner->proxy_.fault_)) {
        Write(owner, size);
        return;
      }
      timer.expires_after(delay.count() > 0 ? delay
                                            : std::chrono::nanoseconds{kBlockedRecheckInterval});
      timer.async_wait([this, owner, size](const boost::system::error_code& error) {
        if (error || !from.is_open() || IsClosedByPeer(from)) {
          owner->Reset();
          return;
        }
        WriteWhenUnblocked(owner, size, std::chrono::nanoseconds{0});
      });
    }

    bool IsBlocked(ProxyFault fault) const {
      return fault == ProxyFault::kSilent || (fault == ProxyFault::kAnswersLost && carries_answers);
    }

    void Write(const std::shared_ptr<Connection>& owner, std::size_t size) {
      asio::async_write(to, asio::buffer(buffer, size),
                        [this, owner](const boost::system::error_code& error, std::size_t) {
                          if (error) {
                            owner->Reset();
                            return;
                          }
                          Read(owner);
                        });
    }

    tcp::socket& from;
    tcp::socket& to;
    const bool carries_answers;
    asio::steady_timer timer;
    std::array<char, kBufferBytes> buffer{};
  };

  FaultProxy& proxy_;
  bool has_lost_bytes_ = false;
  tcp::socket client_;
  tcp::socket target_;
  Direction to_target_{*this, client_, target_, false};
  Direction to_client_{*this, target_, client_, true};
};

FaultProxy::FaultProxy(NetworkAddress target)
    : target_(std::move(target)),
      acceptor_(context_, {asio::ip::address_v4::loopback(), 0}),
      address_{"127.0.0.1", acceptor_.local_endpoint().port()} {
  Accept();
  thread_ = std::thread([this] { context_.run(); });
}

FaultProxy::~FaultProxy() {
  context_.stop();
  thread_.join();
}

void FaultProxy::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
    if (error) {
      return;
    }
    auto connection = std::make_shared<Connection>(*this, std::move(socket));
    if (fault_ == ProxyFault::kReset) {
      connection->Reset();
    } else {
      std::erase_if(connections_, [](const auto& each) { return each.expired(); });
      connections_.push_back(connection);
      connection->Start();
    }
    Accept();
  });
}

std::chrono::nanoseconds FaultProxy::ReserveLink(std::size_t size) {
  const std::size_t rate = answer_rate_;
  if (rate == 0) {
    return std::chrono::nanoseconds{0};
  }
  const auto now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> transmission{static_cast<double>(size) /
                                                   static_cast<double>(rate)};
  link_free_at_ = std::max(link_free_at_, now) +
                  std::chrono::duration_cast<std::chrono::nanoseconds>(transmission);
  return link_free_at_ - now;
}

void FaultProxy::SetFault(ProxyFault fault) {
  fault_ = fault;
  if (fault != ProxyFault::kReset) {
    return;
  }
  asio::post(context_, [this] {
    for (const auto& each : connections_) {
      if (const auto connection = each.lock()) {
        connection->Reset();
      }
    }
  });
}

}  // namespace sycamorestall::fakes

#include "fakes/datagram_proxy.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace sycamorestall::fakes {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr std::size_t kPacketBytes = 1500;
// The longest time for which the link queues a datagram; one that would wait longer is lost.
constexpr std::chrono::milliseconds kMaxQueueTime{500};

}  // namespace

DatagramProxy::DatagramProxy(const NetworkAddress& target, std::uint32_t seed)
    : target_(asio::ip::make_address(target.host), target.port),
      socket_(context_, udp::endpoint{asio::ip::address_v4::loopback(), 0}),
      address_{"127.0.0.1", socket_.local_endpoint().port()},
      random_(seed) {
  ReceiveNext();
  thread_ = std::thread([this] { context_.run(); });
}

DatagramProxy::~DatagramProxy() {
  context_.stop();
  thread_.join();
}

void DatagramProxy::ReceiveNext() {
  socket_.async_receive(asio::buffer(buffer_),
                        [this](const boost::system::error_code& error, std::size_t size) {
                          if (error == asio::error::operation_aborted) {
                            return;
                          }
                          if (!error && IsLost(size)) {
                            ++lost_datagrams_;
                          } else if (!error) {
                            Forward({buffer_.data(), size});
                          }
                          ReceiveNext();
                        });
}

bool DatagramProxy::IsLost(std::size_t size) {
  const std::size_t packets = std::max<std::size_t>(1, (size + kPacketBytes - 1) / kPacketBytes);
  std::bernoulli_distribution lost{packet_loss_};
  bool any_lost = false;
  for (std::size_t i = 0; i < packets; ++i) {
    any_lost = lost(random_) || any_lost;
  }
  return any_lost;
}

void DatagramProxy::Forward(std::string datagram) {
  const auto now = std::chrono::steady_clock::now();
  const std::size_t rate = rate_;
  const std::chrono::duration<double> transmission{
      rate == 0 ? 0 : static_cast<double>(datagram.size()) / static_cast<double>(rate)};
  const auto free_at = std::max(link_free_at_, now) +
                       std::chrono::duration_cast<std::chrono::nanoseconds>(transmission);
  if (free_at - now > kMaxQueueTime) {
    ++lost_datagrams_;
    return;
  }
  link_free_at_ = free_at;
  const auto timer = std::make_shared<asio::steady_timer>(context_, free_at);
  timer->async_wait(
      [this, timer, datagram = std::move(datagram)](const boost::system::error_code& error) {
        boost::system::error_code ignored;  // A datagram that cannot be sent is lost.
        if (!error) {
          socket_.send_to(asio::buffer(datagram), target_, 0, ignored);
        }
      });
}

}  // namespace sycamorestall::fakes

#include "fakes/free_port.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <random>

namespace sycamorestall::fakes {

namespace {

namespace asio = boost::asio;

constexpr std::uint32_t kFirstPort = 10'240;
constexpr std::uint32_t kPortCount = 21'760;

// Test programs that run side by side start at different ports.
std::uint32_t RandomOffset() {
  std::random_device entropy_source;
  return std::uniform_int_distribution<std::uint32_t>{0, kPortCount - 1}(entropy_source);
}

template <typename Protocol>
bool IsFree(std::uint16_t port) {
  asio::io_context context;
  typename Protocol::socket socket{context, Protocol::v4()};
  boost::system::error_code error;
  socket.bind({asio::ip::address_v4::loopback(), port}, error);
  return !error;
}

}  // namespace

std::uint16_t PickFreePort() {
  static std::atomic<std::uint32_t> next_offset{RandomOffset()};
  for (;;) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next_offset++ % kPortCount);
    if (IsFree<asio::ip::tcp>(port) && IsFree<asio::ip::udp>(port)) {
      return port;
    }
  }
}

}  // namespace sycamorestall::fakes

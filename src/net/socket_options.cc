#include "net/socket_options.h"

#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>

namespace sycamorestall {

namespace {

namespace asio = boost::asio;

template <int Name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

constexpr int kUserTimeoutMs = 2000;
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;

}  // namespace

void SetTcpOptions(asio::ip::tcp::socket& socket) {
  // Without an option the socket still works, but detects a lost peer later.
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
  socket.set_option(asio::socket_base::keep_alive{true}, ignored);
  socket.set_option(TcpOption<TCP_USER_TIMEOUT>{kUserTimeoutMs}, ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>{kKeepAliveIdleS}, ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>{kKeepAliveIntervalS}, ignored);
  socket.set_option(TcpOption<TCP_KEEPCNT>{kKeepAliveProbes}, ignored);
}

void ResetOnClose(asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;  // If this fails, the connection is closed normally.
  socket.set_option(asio::socket_base::linger{true, 0}, ignored);
}

}  // namespace sycamorestall

#include "net/socket_options.h"

#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>

namespace sycamorestall {

namespace {

namespace asio = boost::asio;

template <int Name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

constexpr int kUnacknowledgedMs = 2000;
constexpr int kProbeAfterS = 1;
constexpr int kProbeEveryS = 1;
constexpr int kProbes = 2;

}  // namespace

void SetLinkOptions(asio::ip::tcp::socket& socket) {
  // A socket that takes no option works all the same, only less watchfully.
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
  socket.set_option(asio::socket_base::keep_alive{true}, ignored);
  socket.set_option(TcpOption<TCP_USER_TIMEOUT>{kUnacknowledgedMs}, ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>{kProbeAfterS}, ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>{kProbeEveryS}, ignored);
  socket.set_option(TcpOption<TCP_KEEPCNT>{kProbes}, ignored);
}

void ResetOnClose(asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;  // Without it the connection is closed in the usual way.
  socket.set_option(asio::socket_base::linger{true, 0}, ignored);
}

}  // namespace sycamorestall

#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace sycamorestall {

// Makes the connection fail soon when its peer disappears silently, through keep-alive probes and
// a limit on the time that sent data may stay unacknowledged. Disables Nagle's algorithm.
void SetTcpOptions(boost::asio::ip::tcp::socket& socket);

// Makes closing the socket reset the connection, which discards unsent data.
void ResetOnClose(boost::asio::ip::tcp::socket& socket);

}  // namespace sycamorestall

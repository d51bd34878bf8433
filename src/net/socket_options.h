#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace sycamorestall {

// Lets a connection notice a peer that is gone without a word: sent bytes that
// are not acknowledged, and idle time, are bounded. Small writes go out at once.
void SetLinkOptions(boost::asio::ip::tcp::socket& socket);

// Makes closing the socket reset the connection, so that bytes on their way are
// thrown away.
void ResetOnClose(boost::asio::ip::tcp::socket& socket);

}  // namespace sycamorestall

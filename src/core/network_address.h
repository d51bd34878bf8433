#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace sycamorestall {

// An IP address and a port.
struct NetworkAddress {
  std::string host;
  std::uint16_t port = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const NetworkAddress&, const NetworkAddress&) = default;
};

// The address as host:port.
inline std::string ToString(const NetworkAddress& address) {
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace sycamorestall

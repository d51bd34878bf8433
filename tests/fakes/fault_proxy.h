#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "core/network_address.h"

namespace sycamorestall::fakes {

// Fault that a proxy applies to its connections.
enum class ProxyFault {
  kNone,
  // Bytes arrive 120 ms late.
  kDelayed,
  // Open and new connections are reset.
  kReset,
  // No bytes pass, and the connections stay open.
  kSilent,
  // Only bytes sent to the target pass.
  kAnswersLost,
};

// Loopback TCP proxy that injects faults on the way to a target. As on a network, bytes
// that it holds back are lost if their sender closes the connection meanwhile.
class FaultProxy {
 public:
  explicit FaultProxy(NetworkAddress target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  NetworkAddress address() const { return address_; }
  // Sets the current fault; may be called from any thread.
  void SetFault(ProxyFault fault);

 private:
  class Connection;

  void Accept();

  const NetworkAddress target_;
  boost::asio::io_context context_{1};
  boost::asio::ip::tcp::acceptor acceptor_;
  const NetworkAddress address_;
  std::atomic<ProxyFault> fault_{ProxyFault::kNone};
  std::vector<std::weak_ptr<Connection>> connections_;
  std::thread thread_;
};

}  // namespace sycamorestall::fakes

#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "core/network_address.h"

namespace sycamorestall::fakes {

// What happens to the bytes of a link.
enum class LinkFault {
  kNone,
  // They come 120 ms late.
  kDelayed,
  // Open connections are reset, and new ones as well.
  kReset,
  // Nothing passes, and nobody is told.
  kSilent,
  // Only what goes to the target passes.
  kAnswersLost,
};

// A proxy on loopback that passes connections on to a target and harms them. What it
// holds back is lost if its sender has closed the connection meanwhile, as it is on a
// network.
class FaultProxy {
 public:
  explicit FaultProxy(NetworkAddress target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  NetworkAddress address() const { return address_; }
  // Sets what happens from now on; may be called from any thread.
  void SetFault(LinkFault fault);

 private:
  class Connection;

  void Accept();

  const NetworkAddress target_;
  boost::asio::io_context context_{1};
  boost::asio::ip::tcp::acceptor acceptor_;
  const NetworkAddress address_;
  std::atomic<LinkFault> fault_{LinkFault::kNone};
  std::vector<std::weak_ptr<Connection>> connections_;
  std::thread thread_;
};

}  // namespace sycamorestall::fakes

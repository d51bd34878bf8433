#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
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
  // Bytes are lost, and what is sent later over the same connections as well.
  kLost,
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
  // Limits the rate of all answers together, in bytes a second; 0 means no limit. May be called
  // from any thread.
  void SetAnswerRate(std::size_t bytes_per_second) { answer_rate_ = bytes_per_second; }

 private:
  class Connection;

  void Accept();
  // Reserves the link for an answer's next bytes and returns how long they take to pass.
  std::chrono::nanoseconds ReserveLink(std::size_t size);

  const NetworkAddress target_;
  boost::asio::io_context context_{1};
  boost::asio::ip::tcp::acceptor acceptor_;
  const NetworkAddress address_;
  std::atomic<ProxyFault> fault_{ProxyFault::kNone};
  std::atomic<std::size_t> answer_rate_{0};
  std::chrono::steady_clock::time_point link_free_at_;
  std::vector<std::weak_ptr<Connection>> connections_;
  std::thread thread_;
};

}  // namespace sycamorestall::fakes

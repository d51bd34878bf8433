#pragma once

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <thread>

#include "core/network_address.h"

namespace sycamorestall::fakes {

// Loopback UDP proxy in front of a target: a link that loses packets and has a limited rate. A
// datagram is lost with any of the packets that it takes. Answers do not come back through it.
class DatagramProxy {
 public:
  // The seed decides which packets are lost.
  DatagramProxy(const NetworkAddress& target, std::uint32_t seed);
  ~DatagramProxy();
  DatagramProxy(const DatagramProxy&) = delete;
  DatagramProxy& operator=(const DatagramProxy&) = delete;

  NetworkAddress address() const { return address_; }
  // Sets the probability that a packet is lost; may be called from any thread.
  void SetPacketLoss(double probability) { packet_loss_ = probability; }
  // Limits the rate in bytes a second; 0 means no limit. May be called from any thread.
  void SetRate(std::size_t bytes_per_second) { rate_ = bytes_per_second; }
  // Number of datagrams lost so far.
  std::size_t lost_datagrams() const { return lost_datagrams_; }

 private:
  void ReceiveNext();
  bool IsLost(std::size_t size);
  void Forward(std::string datagram);

  const boost::asio::ip::udp::endpoint target_;
  boost::asio::io_context context_{1};
  boost::asio::ip::udp::socket socket_;
  const NetworkAddress address_;
  std::mt19937 random_;
  std::atomic<double> packet_loss_{0};
  std::atomic<std::size_t> rate_{0};
  std::atomic<std::size_t> lost_datagrams_{0};
  std::chrono::steady_clock::time_point link_free_at_;
  std::array<char, 65536> buffer_{};
  std::thread thread_;
};

}  // namespace sycamorestall::fakes

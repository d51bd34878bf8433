#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sycamorestall::testing {

// How a hostile caller reads the answers to what it sends.
enum class AnswerReading { kAtOnce, kSlowly, kNever };

// What each of a number of callers sends over a connection of its own: the begin, the repeated
// bytes so many times, and the end. The connection then stays open.
struct HostileLoad {
  int connections = 1;
  std::string begin;
  std::string repeated;
  int repetitions = 0;
  std::string end = {};
  AnswerReading reading = AnswerReading::kAtOnce;
  // Before each repetition.
  std::chrono::milliseconds pause{0};
};

// Callers that send a load to a port on loopback, from a thread of their own.
class HostileCallers {
 public:
  HostileCallers(std::uint16_t port, HostileLoad load);
  ~HostileCallers();
  HostileCallers(const HostileCallers&) = delete;
  HostileCallers& operator=(const HostileCallers&) = delete;

  // Waits until each caller has sent everything or has lost its connection, or until nothing was
  // sent for a while.
  void WaitUntilSent();

 private:
  struct Caller {
    explicit Caller(boost::asio::io_context& context)
        : socket(context), timer(context), send_timer(context) {}

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer send_timer;
    std::string received = std::string(std::size_t{64} * 1024, ' ');
    int repetitions = 0;
  };

  void Send(const std::shared_ptr<Caller>& caller, const std::string& bytes);
  void SendNext(const std::shared_ptr<Caller>& caller);
  void SendRepeated(const std::shared_ptr<Caller>& caller);
  void Receive(const std::shared_ptr<Caller>& caller);

  const HostileLoad load_;
  boost::asio::io_context context_{1};
  std::vector<std::shared_ptr<Caller>> callers_;
  std::atomic<int> sending_{0};
  std::atomic<std::uint64_t> sent_bytes_{0};
  std::thread thread_;
};

}  // namespace sycamorestall::testing

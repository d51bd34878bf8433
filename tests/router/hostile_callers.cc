#include "router/hostile_callers.h"

#include <boost/asio/write.hpp>
#include <utility>

namespace sycamorestall::testing {

namespace asio = boost::asio;
namespace {

// Keeps what the callers' own side buffers small.
constexpr int kSocketBufferBytes = 64 * 1024;
constexpr std::size_t kSlowReadBytes = 1024;
constexpr std::chrono::milliseconds kSlowReadInterval{100};
constexpr std::chrono::milliseconds kPollInterval{50};
// Nothing is sent for so long when the daemon has stopped reading.
constexpr int kMaxPollsWithoutProgress = 30;

}  // namespace

HostileCallers::HostileCallers(std::uint16_t port, HostileLoad load) : load_(std::move(load)) {
  for (int i = 0; i < load_.connections; ++i) {
    const auto caller = std::make_shared<Caller>(context_);
    caller->socket.open(asio::ip::tcp::v4());
    caller->socket.set_option(asio::socket_base::send_buffer_size{kSocketBufferBytes});
    caller->socket.set_option(asio::socket_base::receive_buffer_size{kSocketBufferBytes});
    caller->socket.connect({asio::ip::address_v4::loopback(), port});
    callers_.push_back(caller);
    ++sending_;
    Send(caller, load_.begin);
    Receive(caller);
  }
  thread_ = std::thread([this] { context_.run(); });
}

HostileCallers::~HostileCallers() {
  context_.stop();
  thread_.join();
}

void HostileCallers::Send(const std::shared_ptr<Caller>& caller, const std::string& bytes) {
  asio::async_write(caller->socket, asio::buffer(bytes),
                    [this, caller](const boost::system::error_code& error, std::size_t size) {
                      sent_bytes_ += size;
                      if (error) {
                        --sending_;
                        return;
                      }
                      SendNext(caller);
                    });
}

void HostileCallers::SendNext(const std::shared_ptr<Caller>& caller) {
  const int number = caller->repetitions++;
  if (number < load_.repetitions) {
    SendRepeated(caller);
  } else if (number == load_.repetitions && !load_.end.empty()) {
    Send(caller, load_.end);
  } else {
    --sending_;
  }
}

void HostileCallers::SendRepeated(const std::shared_ptr<Caller>& caller) {
  if (load_.pause.count() == 0) {
    Send(caller, load_.repeated);
    return;
  }
  caller->send_timer.expires_after(load_.pause);
  caller->send_timer.async_wait(
      [this, caller](const boost::system::error_code& /*error*/) { Send(caller, load_.repeated); });
}

void HostileCallers::Receive(const std::shared_ptr<Caller>& caller) {
  if (load_.reading == AnswerReading::kNever) {
    return;
  }
  const bool slowly = load_.reading == AnswerReading::kSlowly;
  const std::size_t size = slowly ? kSlowReadBytes : caller->received.size();
  caller->socket.async_read_some(
      asio::buffer(caller->received.data(), size),
      [this, caller, slowly](const boost::system::error_code& error, std::size_t /*size*/) {
        if (error) {
          return;
        }
        caller->timer.expires_after(slowly ? kSlowReadInterval : std::chrono::milliseconds{0});
        caller->timer.async_wait(
            [this, caller](const boost::system::error_code& /*error*/) { Receive(caller); });
      });
}

void HostileCallers::WaitUntilSent() {
  std::uint64_t sent_before = 0;
  for (int polls = 0; sending_ > 0 && polls < kMaxPollsWithoutProgress; ++polls) {
    const std::uint64_t sent = sent_bytes_;
    if (std::exchange(sent_before, sent) != sent) {
      polls = 0;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace sycamorestall::testing

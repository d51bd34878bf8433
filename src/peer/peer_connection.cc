#include "peer/peer_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "clock/system_clock.h"
#include "peer/peer_codec.h"

namespace sycamorestall {

namespace {

constexpr std::size_t kReadBufferBytes = 64 << 10;
constexpr std::size_t kMaxUnsentBytes = 32 << 20;
constexpr std::size_t kMaxFrameBytes = 80 << 20;
constexpr std::chrono::milliseconds kIdleTimeBeforePing{200};
constexpr std::chrono::milliseconds kPongTimeout{700};

}  // namespace

PeerConnection::PeerConnection(PeerNetwork& network, boost::asio::ip::tcp::socket socket)
    : network_(network),
      socket_(std::move(socket)),
      read_buffer_(kReadBufferBytes),
      last_received_at_(BootNow()) {}

void PeerConnection::Connect(const boost::asio::ip::tcp::endpoint& endpoint) {
  socket_.async_connect(endpoint, [self = shared_from_this()](const auto& error) {
    if (self->closed_) {
      return;
    }
    if (error) {
      self->Fail(true);
      return;
    }
    self->Start();
  });
}

void PeerConnection::Start() {
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  connected_ = true;
  last_received_at_ = BootNow();
  Read();
  Write();
}

bool PeerConnection::Send(const PeerMessage& message) {
  if (closed_ || unsent_.size() > kMaxUnsentBytes) {
    return false;
  }
  AppendFrame(message, unsent_);
  awaits_data_ = true;
  Write();
  return true;
}

void PeerConnection::Write() {
  if (!connected_ || writing_ || unsent_.empty() || closed_) {
    return;
  }
  writing_ = true;
  write_buffer_.clear();
  write_buffer_.swap(unsent_);
  boost::asio::async_write(socket_, boost::asio::buffer(write_buffer_),
                           [self = shared_from_this()](const auto& error, std::size_t) {
                             self->writing_ = false;
                             if (error) {
                               self->Fail(false);
                               return;
                             }
                             self->Write();
                           });
}

void PeerConnection::Read() {
  socket_.async_read_some(boost::asio::buffer(read_buffer_),
                          [self = shared_from_this()](const auto& error, std::size_t count) {
                            if (error) {
                              self->Fail(false);
                              return;
                            }
                            self->HandleReceivedBytes(count);
                          });
}

void PeerConnection::HandleReceivedBytes(std::size_t count) {
  last_received_at_ = BootNow();
  awaits_pong_ = false;
  awaits_data_ = false;
  unparsed_.append(read_buffer_.data(), count);
  std::size_t offset = 0;
  while (!closed_ && unparsed_.size() - offset >= kFrameHeaderBytes) {
    const std::string_view remaining = std::string_view{unparsed_}.substr(offset);
    const std::size_t length = DecodeFrameLength(remaining);
    if (length > kMaxFrameBytes) {
      Fail(false);
      return;
    }
    if (remaining.size() < kFrameHeaderBytes + length) {
      break;
    }
    std::optional<PeerMessage> message =
        DecodePeerMessage(remaining.substr(kFrameHeaderBytes, length));
    offset += kFrameHeaderBytes + length;
    if (!message) {
      Fail(false);
      return;
    }
    if (const auto* ping = std::get_if<PeerPing>(&*message)) {
      Send(PeerPong{ping->number});
      awaits_data_ = false;
    } else if (!std::holds_alternative<PeerPong>(*message)) {
      network_.handler_.HandleMessage(weak_from_this(), std::move(*message));
    }
  }
  unparsed_.erase(0, offset);
  if (!closed_) {
    Read();
  }
}

void PeerConnection::Tick(Instant now) {
  // A connection on which no data is expected is not pinged.
  if (!awaits_data_ || now < last_received_at_ + kIdleTimeBeforePing) {
    return;
  }
  if (!awaits_pong_) {
    awaits_pong_ = true;
    pinged_at_ = now;
    Send(PeerPing{});
    return;
  }
  if (now >= pinged_at_ + kPongTimeout) {
    Fail(!connected_);
  }
}

void PeerConnection::Fail(bool never_connected) {
  if (closed_) {
    return;
  }
  Close();
  network_.RemoveConnection(this, never_connected);
}

void PeerConnection::Close() {
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace sycamorestall

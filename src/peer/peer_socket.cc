#include "peer/peer_socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "clock/system_clock.h"
#include "peer/peer_codec.h"

namespace sycamorestall {

namespace {

constexpr std::size_t kChunkBytes = 64 << 10;
constexpr std::size_t kMostWaitingBytes = 32 << 20;
constexpr std::size_t kMostFrameBytes = 80 << 20;
constexpr std::chrono::milliseconds kPingAfter{200};
constexpr std::chrono::milliseconds kSilentAfter{700};

}  // namespace

PeerSocket::PeerSocket(PeerNetwork& network, boost::asio::ip::tcp::socket socket)
    : network_(network), socket_(std::move(socket)), chunk_(kChunkBytes), last_heard_(BootNow()) {}

void PeerSocket::Connect(const boost::asio::ip::tcp::endpoint& endpoint) {
  socket_.async_connect(endpoint, [self = shared_from_this()](const auto& error) {
    if (self->closed_) {
      return;
    }
    if (error) {
      self->Fail(true);
      return;
    }
    self->Begin();
  });
}

void PeerSocket::Begin() {
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  connected_ = true;
  last_heard_ = BootNow();
  Read();
  Write();
}

bool PeerSocket::Send(const PeerMessage& message) {
  if (closed_ || outgoing_.size() > kMostWaitingBytes) {
    return false;
  }
  AppendFrame(message, outgoing_);
  awaits_word_ = true;
  Write();
  return true;
}

void PeerSocket::Write() {
  if (!connected_ || writing_ || outgoing_.empty() || closed_) {
    return;
  }
  writing_ = true;
  being_written_.clear();
  being_written_.swap(outgoing_);
  boost::asio::async_write(socket_, boost::asio::buffer(being_written_),
                           [self = shared_from_this()](const auto& error, std::size_t) {
                             self->writing_ = false;
                             if (error) {
                               self->Fail(false);
                               return;
                             }
                             self->Write();
                           });
}

void PeerSocket::Read() {
  socket_.async_read_some(boost::asio::buffer(chunk_),
                          [self = shared_from_this()](const auto& error, std::size_t count) {
                            if (error) {
                              self->Fail(false);
                              return;
                            }
                            self->TakeBytes(count);
                          });
}

void PeerSocket::TakeBytes(std::size_t count) {
  last_heard_ = BootNow();
  awaits_pong_ = false;
  awaits_word_ = false;
  inbox_.append(chunk_.data(), count);
  std::size_t place = 0;
  while (!closed_ && inbox_.size() - place >= kFrameHeaderBytes) {
    const std::string_view rest = std::string_view{inbox_}.substr(place);
    const std::size_t length = FrameLength(rest);
    if (length > kMostFrameBytes) {
      Fail(false);
      return;
    }
    if (rest.size() < kFrameHeaderBytes + length) {
      break;
    }
    std::optional<PeerMessage> message = DecodePeerMessage(rest.substr(kFrameHeaderBytes, length));
    place += kFrameHeaderBytes + length;
    if (!message) {
      Fail(false);
      return;
    }
    if (const auto* ping = std::get_if<LinkPing>(&*message)) {
      Send(LinkPong{ping->number});
      awaits_word_ = false;
    } else if (!std::holds_alternative<LinkPong>(*message)) {
      network_.handler_.TakeMessage(weak_from_this(), std::move(*message));
    }
  }
  inbox_.erase(0, place);
  if (!closed_) {
    Read();
  }
}

void PeerSocket::Tick(Instant now) {
  // A connection that nothing is expected from costs nothing.
  if (!awaits_word_ || now < last_heard_ + kPingAfter) {
    return;
  }
  if (!awaits_pong_) {
    awaits_pong_ = true;
    pinged_ = now;
    Send(LinkPing{});
    return;
  }
  if (now >= pinged_ + kSilentAfter) {
    Fail(!connected_);
  }
}

void PeerSocket::Fail(bool refused) {
  if (closed_) {
    return;
  }
  Close();
  network_.Forget(this, refused);
}

void PeerSocket::Close() {
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace sycamorestall

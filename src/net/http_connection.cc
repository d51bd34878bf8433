#include "net/http_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "clock/system_clock.h"
#include "net/socket_options.h"

namespace sycamorestall {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
constexpr std::uint64_t kMaxAnswerBytes = 64ULL * 1024 * 1024;

std::optional<Duration> IdleTimeoutOf(const HttpAnswer& answer) {
  const auto header = answer.find(http::field::keep_alive);
  if (header == answer.end()) {
    return std::nullopt;
  }
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view text{header->value().data(), header->value().size()};
  const std::size_t at = text.find(kTimeout);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = text.substr(at + kTimeout.size());
  std::int64_t seconds = 0;
  const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (read.ec != std::errc{}) {
    return std::nullopt;
  }
  return std::chrono::seconds{seconds};
}

}  // namespace

HttpConnection::HttpConnection(asio::io_context& context, NetworkAddress address)
    : socket_(context), address_(std::move(address)) {}

void HttpConnection::Call(OutgoingCall call, Instant now, Callback callback) {
  call_ = std::move(call);
  callback_ = std::move(callback);
  got_bytes_ = false;
  NewParser();
  if (phase_ == Phase::kNew) {
    connect_until_ = now + call_.connect_timeout;
    Connect();
    return;
  }
  Send();
}

void HttpConnection::NewParser() {
  parser_.emplace();
  parser_->eager(true);
  parser_->body_limit(kMaxAnswerBytes);
  parser_->skip(call_.head_request);
}

void HttpConnection::Connect() {
  phase_ = Phase::kConnecting;
  boost::system::error_code bad_address;
  const auto host = asio::ip::make_address(address_.host, bad_address);
  if (bad_address) {
    Resolve();
    return;
  }
  ConnectTo({host, address_.port});
}

void HttpConnection::Resolve() {
  const auto resolver = std::make_shared<asio::ip::tcp::resolver>(socket_.get_executor());
  resolver->async_resolve(
      address_.host, std::to_string(address_.port),
      [self = shared_from_this(), resolver](const beast::error_code& error,
                                            const asio::ip::tcp::resolver::results_type& found) {
        if (self->phase_ != Phase::kConnecting) {
          return;
        }
        if (error || found.empty()) {
          self->Fail(CallVerdict::kNotConnected, "host not found");
          return;
        }
        self->ConnectTo(found.begin()->endpoint());
      });
}

void HttpConnection::ConnectTo(const asio::ip::tcp::endpoint& endpoint) {
  socket_.async_connect(endpoint, [self = shared_from_this()](const beast::error_code& error) {
    if (self->phase_ != Phase::kConnecting) {
      return;
    }
    if (error) {
      self->Fail(CallVerdict::kNotConnected, error.message());
      return;
    }
    SetLinkOptions(self->socket_);
    self->Send();
  });
}

void HttpConnection::Send() {
  phase_ = Phase::kCalling;
  std::array<asio::const_buffer, 2> pieces{asio::buffer(call_.message.head), {}};
  if (call_.message.body) {
    pieces[1] = asio::buffer(*call_.message.body);
  }
  writing_ = true;
  asio::async_write(
      socket_, pieces,
      [self = shared_from_this()](const beast::error_code& error, std::size_t /*size*/) {
        self->writing_ = false;
        // A failed write shows in the read as well, behind an answer that the peer
        // may have given before it closed.
        if (error && self->phase_ == Phase::kCalling && !self->reading_) {
          self->Fail(CallVerdict::kBroken, error.message());
        }
      });
  if (!reading_) {
    Read();
  }
}

void HttpConnection::Read() {
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](const beast::error_code& error, std::size_t size) {
        self->reading_ = false;
        self->TakeBytes(error, size);
      });
}

void HttpConnection::TakeBytes(const beast::error_code& error, std::size_t size) {
  if (phase_ == Phase::kClosed) {
    return;
  }
  if (phase_ != Phase::kCalling) {
    Close();
    return;
  }
  if (error && error != asio::error::eof) {
    const bool stale = !got_bytes_ && reused();
    Fail(stale ? CallVerdict::kStaleConnection : CallVerdict::kBroken, error.message());
    return;
  }
  buffer_.commit(size);
  got_bytes_ = got_bytes_ || size > 0;
  if (call_.more_time && call_.give_up_at) {
    call_.give_up_at = std::max(*call_.give_up_at, BootNow() + *call_.more_time);
  }
  ParseAnswer(error == asio::error::eof);
}

void HttpConnection::ParseAnswer(bool end_of_stream) {
  beast::error_code error;
  while (buffer_.size() > 0 && !parser_->is_done()) {
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error && error != http::error::need_more) {
      Fail(CallVerdict::kBroken, error.message());
      return;
    }
    if (error || used == 0) {
      break;
    }
  }
  if (end_of_stream && !parser_->is_done()) {
    if (!got_bytes_) {
      Fail(reused() ? CallVerdict::kStaleConnection : CallVerdict::kBroken, "closed unanswered");
      return;
    }
    error = {};
    parser_->put_eof(error);
    if (error || !parser_->is_done()) {
      Fail(CallVerdict::kBroken, "answer cut short");
      return;
    }
  }
  if (parser_->is_done()) {
    FinishAnswer(end_of_stream);
    return;
  }
  Read();
}

void HttpConnection::FinishAnswer(bool end_of_stream) {
  const bool kept = !end_of_stream && parser_->keep_alive() && !writing_ && buffer_.size() == 0;
  CallResult result;
  result.verdict = CallVerdict::kAnswered;
  result.answer = parser_->release();
  if (const auto timeout = IdleTimeoutOf(result.answer)) {
    peer_idle_timeout_ = timeout;
  }
  ++answered_;
  if (kept) {
    phase_ = Phase::kIdle;
    idle_since_ = BootNow();
    Read();
  } else {
    Close();
  }
  Finish(std::move(result));
}

void HttpConnection::CheckTimeouts(Instant now) {
  if (phase_ == Phase::kConnecting && now > connect_until_) {
    Fail(CallVerdict::kConnectTimedOut, "connecting took too long");
    return;
  }
  const bool calling = phase_ == Phase::kCalling || phase_ == Phase::kConnecting;
  if (calling && call_.give_up_at && now > *call_.give_up_at) {
    const bool connected = phase_ == Phase::kCalling;
    ResetOnClose(socket_);
    Fail(connected ? CallVerdict::kTimedOut : CallVerdict::kConnectTimedOut, "no answer in time");
  }
}

void HttpConnection::Reset() {
  callback_ = nullptr;
  ResetOnClose(socket_);
  Close();
}

void HttpConnection::Fail(CallVerdict verdict, std::string reason) {
  Close();
  CallResult result;
  result.verdict = verdict;
  result.reason = std::move(reason);
  Finish(std::move(result));
}

void HttpConnection::Finish(CallResult result) {
  call_ = {};
  if (callback_) {
    std::exchange(callback_, nullptr)(std::move(result));
  }
}

void HttpConnection::Close() {
  if (phase_ == Phase::kClosed) {
    return;
  }
  phase_ = Phase::kClosed;
  boost::system::error_code ignored;  // Nothing is left to be done with the socket.
  socket_.close(ignored);
}

}  // namespace sycamorestall

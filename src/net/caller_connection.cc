#include "net/caller_connection.h"

#include <boost/asio/write.hpp>
#include <utility>

#include "clock/system_clock.h"
#include "net/http_format.h"

namespace sycamorestall {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
// Requests of one connection that are read before the first is answered.
constexpr std::size_t kMaxOpenRequests = 64;
constexpr std::chrono::milliseconds kLingerTime{1000};
constexpr std::string_view kKeepAliveEnd = "\r\n";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view kCloseEnd = "Connection: close\r\n\r\n";

bool IsContinueExpected(const HttpRequest& request) {
  const auto expect = request.find(beast_http::field::expect);
  return expect != request.end() && beast::iequals(expect->value(), "100-continue");
}

unsigned StatusOf(const beast::error_code& error) {
  if (error == beast_http::error::header_limit) {
    return 431;
  }
  if (error == beast_http::error::body_limit) {
    return 413;
  }
  return 400;
}

}  // namespace

CallerExchange::CallerExchange(std::weak_ptr<CallerConnection> connection, HttpRequest request)
    : connection_(std::move(connection)), request_(std::move(request)) {
  keep_alive_ = request_.keep_alive();
  body_ = std::make_shared<const std::string>(std::move(request_.body()));
}

void CallerExchange::Answer(OutgoingMessage message) {
  answer_ = std::move(message);
  on_abandoned_ = nullptr;
  if (const auto connection = connection_.lock()) {
    connection->Write();
  }
}

OutgoingMessage CallerHandler::AnswerMalformed(unsigned status,
                                               const std::string& /*reason*/) const {
  OutgoingMessage answer;
  answer.head = StatusLine(status);
  AppendHeader(answer.head, "Content-Length", "0");
  return answer;
}

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, CallerHandler& handler)
    : socket_(std::move(socket)), handler_(handler) {}

void CallerConnection::Start(Instant now) {
  last_activity_ = now;
  NewParser();
  Read();
}

void CallerConnection::NewParser() {
  const CallerLimits limits = handler_.Limits();
  parser_.emplace();
  invited_ = false;
  parser_->eager(true);
  parser_->header_limit(limits.max_header_bytes);
  parser_->body_limit(limits.max_body_bytes);
}

void CallerConnection::Read() {
  if (reading_ || phase_ == Phase::kClosed) {
    return;
  }
  if (phase_ == Phase::kOpen && exchanges_.size() >= kMaxOpenRequests) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](const beast::error_code& error, std::size_t size) {
        self->reading_ = false;
        if (self->phase_ == Phase::kClosed) {
          return;
        }
        if (error) {
          self->Abandon();
          return;
        }
        self->TakeBytes(size);
      });
}

void CallerConnection::TakeBytes(std::size_t size) {
  if (phase_ == Phase::kLingering || last_read_) {
    Read();
    return;
  }
  buffer_.commit(size);
  last_activity_ = BootNow();
  ParseRequests();
  Read();
}

void CallerConnection::ParseRequests() {
  while (buffer_.size() > 0 && !last_read_ && phase_ == Phase::kOpen) {
    beast::error_code error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error == beast_http::error::need_more) {
      InviteBody();
      return;
    }
    if (error) {
      RejectBytes(error);
      return;
    }
    if (parser_->is_done()) {
      FinishRequest();
    } else if (used == 0) {
      break;
    }
  }
  InviteBody();
}

void CallerConnection::InviteBody() {
  const bool waits = parser_->is_header_done() && !parser_->is_done() && !invited_ &&
                     exchanges_.empty() && !writing_ && IsContinueExpected(parser_->get());
  if (!waits) {
    return;
  }
  invited_ = true;
  writing_ = true;
  asio::async_write(
      socket_, asio::buffer(kContinue),
      [self = shared_from_this()](const beast::error_code& error, std::size_t /*size*/) {
        self->writing_ = false;
        if (self->phase_ == Phase::kClosed) {
          return;
        }
        if (error) {
          self->Abandon();
          return;
        }
        self->Write();
      });
}

void CallerConnection::FinishRequest() {
  auto exchange = std::make_shared<CallerExchange>(weak_from_this(), parser_->release());
  NewParser();
  exchanges_.push_back(exchange);
  if (!exchange->keep_alive_) {
    last_read_ = true;
  }
  handler_.TakeRequest(std::move(exchange));
}

void CallerConnection::RejectBytes(const beast::error_code& error) {
  auto exchange = std::make_shared<CallerExchange>(weak_from_this(), HttpRequest{});
  exchange->keep_alive_ = false;
  last_read_ = true;
  exchanges_.push_back(exchange);
  exchange->Answer(handler_.AnswerMalformed(StatusOf(error), error.message()));
}

void CallerConnection::Write() {
  if (writing_ || phase_ != Phase::kOpen) {
    return;
  }
  std::size_t count = 0;
  bool close = false;
  std::vector<asio::const_buffer> pieces;
  while (count < exchanges_.size() && exchanges_[count]->answered() && !close) {
    CallerExchange& exchange = *exchanges_[count];
    const bool last_of_all = last_read_ && count + 1 == exchanges_.size();
    close = !exchange.keep_alive_ || last_of_all || close_after_answer_ || handler_.Closing();
    std::string& head = exchange.answer_->head;
    head.append(close ? kCloseEnd : kKeepAliveEnd);
    ++count;
  }
  if (count == 0) {
    return;
  }
  for (std::size_t i = 0; i < count; ++i) {
    const OutgoingMessage& message = *exchanges_[i]->answer_;
    pieces.emplace_back(message.head.data(), message.head.size());
    if (message.body && !message.body->empty()) {
      pieces.emplace_back(message.body->data(), message.body->size());
    }
  }
  writing_ = true;
  asio::async_write(socket_, pieces,
                    [self = shared_from_this(), count, close](const beast::error_code& error,
                                                              std::size_t /*size*/) {
                      self->writing_ = false;
                      if (self->phase_ == Phase::kClosed) {
                        return;
                      }
                      if (error) {
                        self->Abandon();
                        return;
                      }
                      self->FinishWrite(count, close);
                    });
}

void CallerConnection::FinishWrite(std::size_t count, bool close) {
  exchanges_.erase(exchanges_.begin(), exchanges_.begin() + static_cast<std::ptrdiff_t>(count));
  last_activity_ = BootNow();
  if (close) {
    Linger();
    return;
  }
  Write();
  if (!reading_) {
    ParseRequests();
    Read();
  }
}

void CallerConnection::Linger() {
  for (const auto& exchange : exchanges_) {
    exchange->abandoned_ = true;
    if (exchange->on_abandoned_) {
      std::exchange(exchange->on_abandoned_, nullptr)();
    }
  }
  exchanges_.clear();
  phase_ = Phase::kLingering;
  beast::error_code ignored;  // The connection ends either way.
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  buffer_.clear();
  Read();
}

void CallerConnection::Abandon() {
  const auto left = std::move(exchanges_);
  exchanges_.clear();
  Close();
  for (const auto& exchange : left) {
    exchange->abandoned_ = true;
    if (exchange->on_abandoned_) {
      std::exchange(exchange->on_abandoned_, nullptr)();
    }
  }
}

void CallerConnection::CheckTimeouts(Instant now) {
  if (phase_ == Phase::kClosed) {
    return;
  }
  const Duration quiet = now - last_activity_;
  if (phase_ == Phase::kLingering) {
    if (quiet > kLingerTime) {
      Close();
    }
    return;
  }
  if (!exchanges_.empty()) {
    return;
  }
  const CallerLimits limits = handler_.Limits();
  const bool midway = parser_->got_some();
  if (quiet > (midway ? limits.header_timeout : limits.idle_timeout)) {
    Close();
  }
}

void CallerConnection::CloseWhenIdle() {
  close_after_answer_ = true;
  if (phase_ != Phase::kOpen || !exchanges_.empty() || parser_->got_some()) {
    return;
  }
  last_read_ = true;
  last_activity_ = BootNow();
  Linger();
}

void CallerConnection::Close() {
  if (phase_ == Phase::kClosed) {
    return;
  }
  phase_ = Phase::kClosed;
  beast::error_code ignored;  // Nothing is left to be done with the socket.
  socket_.close(ignored);
}

}  // namespace sycamorestall

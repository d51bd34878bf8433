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
// Open requests at which a connection stops reading.
constexpr std::size_t kMaxPipelinedRequests = 64;
// How long a connection lingers after its last answer.
constexpr std::chrono::milliseconds kLingerTimeout{1000};
// Connections that were used or opened this recently are not closed as idle: their callers may
// just be sending a request.
constexpr std::chrono::milliseconds kMinIdleTime{1000};
constexpr std::string_view kHeadEnd = "\r\n";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view kCloseHeadEnd = "Connection: close\r\n\r\n";

bool IsContinueExpected(const HttpRequest& request) {
  const auto expect = request.find(beast_http::field::expect);
  return expect != request.end() && beast::iequals(expect->value(), "100-continue");
}

// The peer's address without its port; empty if the connection has ended.
std::string PeerAddress(const asio::ip::tcp::socket& socket) {
  beast::error_code error;
  const auto endpoint = socket.remote_endpoint(error);
  return error ? std::string{} : endpoint.address().to_string();
}

unsigned StatusForParseError(const beast::error_code& error) {
  if (error == beast_http::error::header_limit) {
    return 431;
  }
  if (error == beast_http::error::body_limit) {
    return 413;
  }
  return 400;
}

}  // namespace

CallerExchange::CallerExchange(std::weak_ptr<CallerConnection> connection, HttpRequest request,
                               std::string caller)
    : connection_(std::move(connection)), request_(std::move(request)), caller_(std::move(caller)) {
  keep_alive_ = request_.keep_alive();
  body_ = std::make_shared<const std::string>(std::move(request_.body()));
}

void CallerExchange::Answer(OutgoingMessage message) {
  answer_ = std::move(message);
  on_abandoned_ = nullptr;
  if (const auto connection = connection_.lock()) {
    connection->WriteAnswers();
  }
}

OutgoingMessage CallerHandler::MakeMalformedAnswer(unsigned status,
                                                   const std::string& /*reason*/) const {
  OutgoingMessage answer;
  answer.head = StatusLine(status);
  AppendHeader(answer.head, "Content-Length", "0");
  return answer;
}

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, CallerHandler& handler)
    : socket_(std::move(socket)), caller_(PeerAddress(socket_)), handler_(handler) {}

void CallerConnection::Start(Instant now) {
  last_activity_ = now;
  beast::error_code error;
  socket_.non_blocking(true, error);
  if (error) {
    Close();
    return;
  }
  ResetParser();
  Read();
}

void CallerConnection::ResetParser() {
  const CallerLimits limits = handler_.Limits();
  parser_.emplace();
  continue_sent_ = false;
  parser_->eager(true);
  parser_->header_limit(limits.max_header_bytes);
  parser_->body_limit(limits.max_body_bytes);
}

void CallerConnection::Read() {
  if (reading_ || phase_ == Phase::kClosed) {
    return;
  }
  if (phase_ == Phase::kOpen && exchanges_.size() >= kMaxPipelinedRequests) {
    return;
  }
  reading_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const beast::error_code& error) {
                       self->reading_ = false;
                       if (self->phase_ == Phase::kClosed) {
                         return;
                       }
                       if (error) {
                         self->Abandon();
                         return;
                       }
                       self->ReadAvailableInput();
                     });
}

void CallerConnection::ReadAvailableInput() {
  if (phase_ == Phase::kClosedUnread) {
    // Input is left unread; without any, the caller has closed the connection.
    if (!HasUnreadInput()) {
      Close();
    }
    return;
  }
  beast::error_code error;
  const std::size_t size = socket_.read_some(buffer_.prepare(kReadBytes), error);
  if (error == asio::error::would_block) {
    Read();
    return;
  }
  if (error) {
    Abandon();
    return;
  }
  // A request that was read late may be of a caller that has left meanwhile.
  if (HasCallerLeft()) {
    Abandon();
    return;
  }
  HandleInput(size);
}

bool CallerConnection::HasCallerLeft() {
  char byte = 0;
  beast::error_code error;
  socket_.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
  return error && error != asio::error::would_block;
}

bool CallerConnection::IsIdle() {
  return phase_ == Phase::kOpen ? exchanges_.empty() && !parser_->got_some() && !HasUnreadInput()
                                : phase_ != Phase::kClosed;
}

bool CallerConnection::HasUnreadInput() {
  beast::error_code ignored;  // A socket that is broken has no input.
  return socket_.available(ignored) > 0;
}

void CallerConnection::HandleInput(std::size_t size) {
  if (phase_ == Phase::kLingering || input_done_) {
    Read();
    return;
  }
  buffer_.commit(size);
  last_activity_ = BootNow();
  ParseRequests();
  Read();
}

void CallerConnection::ParseRequests() {
  while (buffer_.size() > 0 && !input_done_ && phase_ == Phase::kOpen) {
    beast::error_code error;
    const std::size_t parsed_bytes = parser_->put(buffer_.data(), error);
    buffer_.consume(parsed_bytes);
    if (error == beast_http::error::need_more) {
      SendContinueIfExpected();
      return;
    }
    if (error) {
      RejectRequest(error);
      return;
    }
    if (parser_->is_done()) {
      DispatchRequest();
    } else if (parsed_bytes == 0) {
      break;
    }
  }
  SendContinueIfExpected();
}

void CallerConnection::SendContinueIfExpected() {
  const bool caller_waits = parser_->is_header_done() && !parser_->is_done() && !continue_sent_ &&
                            exchanges_.empty() && !writing_ && IsContinueExpected(parser_->get());
  if (!caller_waits) {
    return;
  }
  continue_sent_ = true;
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
        self->WriteAnswers();
      });
}

void CallerConnection::DispatchRequest() {
  auto exchange = std::make_shared<CallerExchange>(weak_from_this(), parser_->release(), caller_);
  ResetParser();
  exchanges_.push_back(exchange);
  if (!exchange->keep_alive_) {
    input_done_ = true;
  }
  handler_.HandleRequest(std::move(exchange));
}

void CallerConnection::RejectRequest(const beast::error_code& error) {
  auto exchange = std::make_shared<CallerExchange>(weak_from_this(), HttpRequest{}, caller_);
  exchange->keep_alive_ = false;
  input_done_ = true;
  exchanges_.push_back(exchange);
  exchange->Answer(handler_.MakeMalformedAnswer(StatusForParseError(error), error.message()));
}

void CallerConnection::WriteAnswers() {
  if (writing_ || phase_ != Phase::kOpen) {
    return;
  }
  std::size_t count = 0;
  std::vector<asio::const_buffer> buffers;
  while (count < exchanges_.size() && exchanges_[count]->answered()) {
    input_done_ = input_done_ || !exchanges_[count]->keep_alive_;
    ++count;
  }
  if (count == 0) {
    return;
  }
  // Callers take requests behind a closing answer for unread and send them again, so it must be
  // the last one.
  const bool close = count == exchanges_.size() &&
                     (input_done_ || close_after_answer_ || handler_.ShouldCloseConnections());
  input_done_ = input_done_ || close;
  for (std::size_t i = 0; i < count; ++i) {
    const bool is_last = i + 1 == count;
    exchanges_[i]->answer_->head.append(close && is_last ? kCloseHeadEnd : kHeadEnd);
  }
  for (std::size_t i = 0; i < count; ++i) {
    const OutgoingMessage& message = *exchanges_[i]->answer_;
    buffers.emplace_back(message.head.data(), message.head.size());
    if (message.body && !message.body->empty()) {
      buffers.emplace_back(message.body->data(), message.body->size());
    }
  }
  writing_ = true;
  asio::async_write(socket_, buffers,
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
    EndOutput(Phase::kLingering);
    return;
  }
  WriteAnswers();
  if (!reading_) {
    ParseRequests();
    Read();
  }
}

void CallerConnection::EndOutput(Phase phase) {
  phase_ = phase;
  beast::error_code ignored;  // The connection is closed in any case.
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  buffer_.clear();
  Read();
}

void CallerConnection::Abandon() {
  const auto open_exchanges = std::move(exchanges_);
  exchanges_.clear();
  Close();
  for (const auto& exchange : open_exchanges) {
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
  const Duration idle_time = now - last_activity_;
  if (phase_ != Phase::kOpen) {
    if (idle_time > kLingerTimeout) {
      Close();
    }
    return;
  }
  if (!exchanges_.empty()) {
    return;
  }
  const CallerLimits limits = handler_.Limits();
  const bool in_request = parser_->got_some();
  if (idle_time > (in_request ? limits.header_timeout : limits.idle_timeout)) {
    Close();
  }
}

void CallerConnection::CloseWhenIdle(Instant now) {
  close_after_answer_ = true;
  if (phase_ != Phase::kOpen) {
    return;
  }
  if (now - last_activity_ < kMinIdleTime || !IsIdle()) {
    return;
  }
  last_activity_ = now;
  EndOutput(Phase::kClosedUnread);
}

void CallerConnection::Close() {
  if (phase_ == Phase::kClosed) {
    return;
  }
  phase_ = Phase::kClosed;
  beast::error_code ignored;  // The socket is not used any more.
  socket_.close(ignored);
}

}  // namespace sycamorestall

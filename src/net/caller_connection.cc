#include "net/caller_connection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <new>
#include <utility>

#include "clock/system_clock.h"
#include "http/status.h"
#include "net/held_bytes.h"
#include "net/http_format.h"

namespace sycamorestall {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
// Open requests at which a connection stops reading.
constexpr std::size_t kMaxPipelinedRequests = 64;
// Bytes of open requests and answers at which a connection stops reading.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{1024} * 1024;
// About what an open request takes besides its head, body and answer.
constexpr std::size_t kExchangeBytes = 2048;
// A chunked body of this size gets room for the longest one. Memory that is not written to is not
// resident.
constexpr std::size_t kReservingBodyBytes = std::size_t{64} * 1024;
// How much a single write passes to the socket.
constexpr std::size_t kWriteBytes = std::size_t{64} * 1024;
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
    return http::kHeaderFieldsTooLarge;
  }
  if (error == beast_http::error::body_limit) {
    return http::kContentTooLarge;
  }
  return http::kBadRequest;
}

const SharedBytes& EmptyBytes() {
  static const SharedBytes empty = std::make_shared<const std::string>();
  return empty;
}

}  // namespace

CallerExchange::CallerExchange(std::weak_ptr<CallerConnection> connection, HttpRequest request,
                               std::string caller, const std::shared_ptr<MemoryAccount>& account)
    : memory_(account),
      connection_(std::move(connection)),
      request_(std::move(request)),
      caller_(std::move(caller)) {
  keep_alive_ = request_.keep_alive();
  body_ = HoldBytes(std::move(request_.body()), account);
  memory_.Resize(kExchangeBytes + MemoryOfFields(request_));
}

void CallerExchange::ReleaseBody() { body_ = EmptyBytes(); }

void CallerExchange::ReleaseBodies() {
  ReleaseBody();
  if (answer_) {
    answer_->body.reset();
  }
  memory_.Resize(std::min(memory_.bytes(), kExchangeBytes));
}

void CallerExchange::Answer(OutgoingMessage message) {
  answer_ = std::move(message);
  ReleaseBody();
  const std::size_t body_size = answer_->body ? answer_->body->capacity() : 0;
  memory_.Resize(memory_.bytes() + answer_->head.capacity() + body_size);
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

OutgoingMessage CallerHandler::MakeMemoryRefusal(const HttpRequest* /*request*/) const {
  return MakeMalformedAnswer(http::kServiceUnavailable, "memory is short");
}

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, CallerHandler& handler,
                                   std::shared_ptr<MemoryAccount> account)
    : socket_(std::move(socket)),
      caller_(PeerAddress(socket_)),
      handler_(handler),
      account_(std::move(account)),
      reading_memory_(account_),
      unread_memory_(account_),
      note_chunk_header_(
          [this](std::uint64_t /*size*/, beast::string_view extension,
                 beast::error_code& /*error*/) { extension_bytes_ += extension.size(); }) {
  if (account_) {
    account_->AddHolder(*this);
  }
}

CallerConnection::~CallerConnection() {
  if (account_) {
    account_->RemoveHolder(*this);
  }
}

void CallerConnection::Start(Instant now) {
  last_activity_ = now;
  read_progress_.Restart(now);
  write_progress_.Restart(now);
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
  parser_.emplace();
  continue_sent_ = false;
  head_bytes_ = 0;
  field_bytes_ = 0;
  field_memory_ = 0;
  extension_bytes_ = 0;
  parser_->on_chunk_header(note_chunk_header_);
  ApplyLimits();
}

void CallerConnection::ApplyLimits() {
  limits_ = handler_.Limits();
  // The head is parsed by itself, so that a body that is not accepted takes no memory.
  parser_->eager(false);
  parser_->header_limit(limits_.max_header_bytes);
  parser_->body_limit(limits_.max_body_bytes);
}

void CallerConnection::Read() {
  if (reading_ || phase_ == Phase::kClosed) {
    return;
  }
  if (phase_ == Phase::kOpen && !input_done_ && !MayTakeRequest()) {
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

bool CallerConnection::IsReading() const {
  return phase_ == Phase::kOpen && exchanges_.empty() && parser_->got_some();
}

bool CallerConnection::HasUnreadInput() {
  beast::error_code ignored;  // A socket that is broken has no input.
  return socket_.available(ignored) > 0;
}

void CallerConnection::HandleInput(std::size_t size) {
  unread_memory_.Resize(unread_memory_.bytes() - std::min(unread_memory_.bytes(), size));
  if (phase_ == Phase::kLingering || input_done_) {
    Read();
    return;
  }
  buffer_.commit(size);
  last_activity_ = BootNow();
  read_progress_.Record(size, last_activity_);
  ParseRequests();
  RelieveAccount(last_activity_);
  Read();
}

void CallerConnection::RelieveAccount(Instant now) {
  if (account_) {
    account_->Relieve(now);
  }
}

std::size_t CallerConnection::ExchangeBytes() const {
  std::size_t bytes = 0;
  for (const auto& exchange : exchanges_) {
    bytes += exchange->HeldBytes();
  }
  return bytes;
}

bool CallerConnection::MayTakeRequest() const {
  if (exchanges_.empty()) {
    return true;
  }
  const bool scarce = account_ && account_->IsScarce();
  return !scarce && exchanges_.size() < kMaxPipelinedRequests &&
         ExchangeBytes() < kMaxPipelinedBytes;
}

HeldMemory CallerConnection::Held() const {
  const std::size_t exchange_bytes = ExchangeBytes();
  const std::size_t input_bytes = reading_memory_.bytes() + unread_memory_.bytes();
  if (input_bytes >= exchange_bytes && phase_ == Phase::kOpen && !input_done_) {
    return {input_bytes, read_progress_.progressed_at(), HeldFor::kIncompleteRequest};
  }
  const bool runs = !exchanges_.empty() && !writing_;
  return {exchange_bytes + input_bytes, write_progress_.progressed_at(),
          runs ? HeldFor::kRunningRequest : HeldFor::kUnreadAnswer};
}

void CallerConnection::ReleaseMemory() {
  const auto self = shared_from_this();
  if (Held().held_for == HeldFor::kIncompleteRequest) {
    RefuseRequest();
  } else {
    Abandon();
  }
}

void CallerConnection::AccountForUnreadInput() {
  beast::error_code error;
  const std::size_t bytes = socket_.available(error);
  unread_memory_.Resize(error ? 0 : bytes);
}

void CallerConnection::AccountForReading() {
  if (!parser_->got_some()) {
    reading_memory_.Resize(buffer_.size() == 0 ? 0 : buffer_.capacity());
    return;
  }
  const HttpRequest& request = parser_->get();
  if (!parser_->is_header_done()) {
    field_memory_ = MemoryOfFields(request);
  }
  const std::size_t body_size = request.body().size();
  const std::size_t buffer_size = buffer_.size() == 0 ? 0 : buffer_.capacity();
  // A string that grows holds up to twice its bytes.
  const std::size_t body_memory = body_size < kReservingBodyBytes
                                      ? std::min(request.body().capacity(), 2 * body_size)
                                      : body_size;
  reading_memory_.Resize(buffer_size + field_memory_ + body_memory);
}

void CallerConnection::DropReading() {
  ResetParser();
  buffer_ = beast::flat_buffer{};
  reading_memory_.Resize(0);
  unread_memory_.Resize(0);
}

void CallerConnection::ParseRequests() {
  while (buffer_.size() > 0 && !input_done_ && phase_ == Phase::kOpen) {
    if (!parser_->got_some()) {
      if (!MayTakeRequest()) {
        break;
      }
      ApplyLimits();
      read_progress_.Restart(last_activity_);
    }
    if (!ParseBytes()) {
      break;
    }
    if (parser_->is_done()) {
      DispatchRequest();
    }
  }
  if (phase_ != Phase::kOpen || input_done_) {
    return;
  }
  if (buffer_.size() == 0) {
    buffer_ = beast::flat_buffer{};
  }
  AccountForReading();
  SendContinueIfExpected();
}

bool CallerConnection::ParseBytes() {
  const bool head_was_done = parser_->is_header_done();
  beast::error_code error;
  const std::size_t parsed_bytes = parser_->put(buffer_.data(), error);
  buffer_.consume(parsed_bytes);
  const bool needs_more = error == beast_http::error::need_more;
  if (error && !needs_more) {
    RejectRequest(error);
    return false;
  }
  if (!head_was_done) {
    head_bytes_ += parsed_bytes;
  }
  if (IsFramingTooLong(needs_more)) {
    RejectRequest(http::kHeaderFieldsTooLarge, "head or framing too long");
    return false;
  }
  if (!head_was_done && parser_->is_header_done() && !HandleHead()) {
    return false;
  }
  ReserveChunkedBody();
  return !needs_more && (parsed_bytes > 0 || parser_->is_done());
}

bool CallerConnection::HandleHead() {
  parser_->eager(true);
  field_bytes_ = SizeOfFields(parser_->get());
  field_memory_ = MemoryOfFields(parser_->get());
  const auto length = parser_->content_length();
  if (account_ && length && *length > account_->max_bytes()) {
    RefuseRequest();
    return false;
  }
  return true;
}

bool CallerConnection::IsFramingTooLong(bool needs_more) const {
  const std::size_t limit = limits_.max_header_bytes;
  const bool head_done = parser_->is_header_done();
  if (head_bytes_ + extension_bytes_ > limit || (needs_more && buffer_.size() > limit)) {
    return true;
  }
  if (!head_done) {
    return head_bytes_ + buffer_.size() > limit;
  }
  const bool has_trailers = field_bytes_ > 0 && parser_->is_done() && parser_->chunked();
  return has_trailers &&
         head_bytes_ + extension_bytes_ + SizeOfFields(parser_->get()) - field_bytes_ > limit;
}

void CallerConnection::ReserveChunkedBody() {
  if (!parser_->is_header_done() || !parser_->chunked()) {
    return;
  }
  std::string& body = parser_->get().body();
  const std::uint64_t longest = std::min<std::uint64_t>(
      limits_.max_body_bytes, account_ ? account_->max_bytes() : limits_.max_body_bytes);
  if (body.size() < kReservingBodyBytes || body.capacity() >= longest) {
    return;
  }
  try {
    body.reserve(longest);
  } catch (const std::exception&) {
    // Address space is short: the body grows by copies.
  }
}

void CallerConnection::SendContinueIfExpected() {
  const bool caller_waits = phase_ == Phase::kOpen && parser_->is_header_done() &&
                            !parser_->is_done() && !continue_sent_ && exchanges_.empty() &&
                            !writing_ && IsContinueExpected(parser_->get());
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
  // From here on the exchange counts the request's memory.
  reading_memory_.Resize(0);
  auto exchange =
      std::make_shared<CallerExchange>(weak_from_this(), parser_->release(), caller_, account_);
  ResetParser();
  exchanges_.push_back(exchange);
  if (!exchange->keep_alive_) {
    input_done_ = true;
  }
  handler_.HandleRequest(std::move(exchange));
}

void CallerConnection::RejectRequest(const beast::error_code& error) {
  RejectRequest(StatusForParseError(error), error.message());
}

void CallerConnection::RejectRequest(unsigned status, const std::string& reason) {
  AnswerAndStopReading(handler_.MakeMalformedAnswer(status, reason));
}

void CallerConnection::RefuseRequest() {
  AnswerAndStopReading(
      handler_.MakeMemoryRefusal(parser_->is_header_done() ? &parser_->get() : nullptr));
}

void CallerConnection::AnswerAndStopReading(OutgoingMessage answer) {
  DropReading();
  auto exchange = std::make_shared<CallerExchange>(weak_from_this(), HttpRequest{}, caller_);
  exchange->keep_alive_ = false;
  input_done_ = true;
  exchanges_.push_back(exchange);
  exchange->Answer(std::move(answer));
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
  written_bytes_ = 0;
  write_progress_.Restart(BootNow());
  const auto note_progress = [self = shared_from_this()](const beast::error_code& error,
                                                         std::size_t size) -> std::size_t {
    self->write_progress_.Record(size - std::exchange(self->written_bytes_, size), BootNow());
    return error ? 0 : kWriteBytes;
  };
  asio::async_write(socket_, buffers, note_progress,
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
  for (std::size_t i = 0; i < count; ++i) {
    exchanges_[i]->ReleaseBodies();
  }
  exchanges_.erase(exchanges_.begin(), exchanges_.begin() + static_cast<std::ptrdiff_t>(count));
  last_activity_ = BootNow();
  write_progress_.Restart(last_activity_);
  if (close) {
    EndOutput(Phase::kLingering);
    return;
  }
  WriteAnswers();
  if (!reading_ || buffer_.size() > 0) {
    ParseRequests();
    Read();
  }
}

void CallerConnection::EndOutput(Phase phase) {
  phase_ = phase;
  beast::error_code ignored;  // The connection is closed in any case.
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  DropReading();
  Read();
}

void CallerConnection::Abandon() {
  const auto open_exchanges = std::move(exchanges_);
  exchanges_.clear();
  Close();
  for (const auto& exchange : open_exchanges) {
    exchange->abandoned_ = true;
    exchange->ReleaseBodies();
    if (exchange->on_abandoned_) {
      std::exchange(exchange->on_abandoned_, nullptr)();
    }
  }
}

void CallerConnection::CheckTimeouts(Instant now) {
  if (phase_ == Phase::kClosed) {
    return;
  }
  AccountForUnreadInput();
  const Duration idle_time = now - last_activity_;
  if (phase_ != Phase::kOpen) {
    if (idle_time > kLingerTimeout) {
      Close();
    }
    return;
  }
  // Nothing is read at present that would show the end of the connection.
  if (!reading_ && HasCallerLeft()) {
    Abandon();
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
  parser_.reset();
  buffer_ = beast::flat_buffer{};
  reading_memory_.Resize(0);
  unread_memory_.Resize(0);
}

}  // namespace sycamorestall

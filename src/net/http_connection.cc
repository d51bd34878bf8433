#include "net/http_connection.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <charconv>
#include <utility>

#include "clock/system_clock.h"
#include "net/answer_head.h"
#include "net/socket_options.h"

namespace sycamorestall {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
constexpr std::uint64_t kMaxAnswerBytes = 16ULL * 1024 * 1024;
// Accepted bytes besides the body: the head, and what surrounds small chunks.
constexpr std::uint64_t kMaxOverheadBytes = 64ULL * 1024;
constexpr std::uint64_t kMaxOverheadPerBodyByte = 8;
constexpr int kMaxSkippedAnswers = 4;
constexpr int kMaxInterimAnswers = 8;

std::optional<Duration> ParseIdleTimeout(const HttpAnswer& answer) {
  const auto header = answer.find(http::field::keep_alive);
  if (header == answer.end()) {
    return std::nullopt;
  }
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view text{header->value().data(), header->value().size()};
  const std::size_t position = text.find(kTimeout);
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = text.substr(position + kTimeout.size());
  std::int64_t seconds = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc{}) {
    return std::nullopt;
  }
  return std::chrono::seconds{seconds};
}

}  // namespace

HttpConnection::HttpConnection(asio::io_context& context, NetworkAddress address,
                               std::uint64_t number, std::shared_ptr<AnswerMemory> memory)
    : socket_(context), address_(std::move(address)), number_(number), memory_(std::move(memory)) {}

HttpConnection::~HttpConnection() { memory_->Change(held_bytes_, 0); }

void HttpConnection::Call(OutgoingCall call, Instant now, Callback callback) {
  call_ = std::move(call);
  callback_ = std::move(callback);
  answer_began_at_.reset();
  received_bytes_ = 0;
  skipped_answers_ = 0;
  interim_answers_ = 0;
  if (!call_.request_id.empty()) {
    carried_requests_.insert(call_.request_id);
  }
  carried_head_request_ = carried_head_request_ || call_.head_request;
  ResetParser();
  if (phase_ == Phase::kNew) {
    connect_deadline_ = now + call_.connect_timeout;
    Connect();
    return;
  }
  Send();
}

std::uint64_t HttpConnection::MaxBodyBytes() const {
  return call_.max_body_bytes.value_or(kMaxAnswerBytes);
}

bool HttpConnection::IsAnswerTooLarge() {
  const std::uint64_t body_bytes = parser_->get().body().size();
  const std::uint64_t overhead = received_bytes_ - std::min(received_bytes_, body_bytes);
  const bool may_grow =
      memory_->Change(held_bytes_, parser_->get().body().capacity() + buffer_.capacity());
  RelieveAccountSoon();
  return overhead > kMaxOverheadBytes + kMaxOverheadPerBodyByte * body_bytes || !may_grow;
}

void HttpConnection::RelieveAccountSoon() {
  const std::shared_ptr<MemoryAccount>& account = memory_->account();
  if (account && account->IsExceeded()) {
    // It may cancel any call, also the one of this connection.
    asio::post(socket_.get_executor(), [account] { account->Relieve(BootNow()); });
  }
}

void HttpConnection::ResetParser() {
  parser_.emplace();
  // Beast checks the announced length only if the head is parsed by itself.
  parser_->eager(false);
  parser_->body_limit(MaxBodyBytes());
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
      [self = shared_from_this(), resolver](
          const beast::error_code& error, const asio::ip::tcp::resolver::results_type& endpoints) {
        if (self->phase_ != Phase::kConnecting) {
          return;
        }
        if (error || endpoints.empty()) {
          self->FailCall(CallOutcome::kNotConnected, "host not found");
          return;
        }
        self->ConnectTo(endpoints.begin()->endpoint());
      });
}

void HttpConnection::ConnectTo(const asio::ip::tcp::endpoint& endpoint) {
  socket_.async_connect(endpoint, [self = shared_from_this()](const beast::error_code& error) {
    if (self->phase_ != Phase::kConnecting) {
      return;
    }
    if (error) {
      self->refused_ = error == asio::error::connection_refused;
      self->FailCall(CallOutcome::kNotConnected, error.message());
      return;
    }
    // The event loop may run this late.
    self->CheckTimeouts(BootNow());
    if (self->phase_ != Phase::kConnecting) {
      return;
    }
    SetTcpOptions(self->socket_);
    self->Send();
  });
}

void HttpConnection::Send() {
  phase_ = Phase::kCalling;
  std::array<asio::const_buffer, 2> buffers{asio::buffer(call_.message.head), {}};
  if (call_.message.body) {
    buffers[1] = asio::buffer(*call_.message.body);
  }
  writing_ = true;
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](const beast::error_code& error, std::size_t /*size*/) {
        self->writing_ = false;
        self->write_failed_ = error.failed();
        if (!error && self->phase_ == Phase::kCalling) {
          self->HandleSent();
          return;
        }
        // While a read is pending it reports the failure too, after any answer that the peer
        // sent before it closed the connection.
        if (error && self->phase_ == Phase::kCalling && !self->reading_) {
          self->FailCall(CallOutcome::kBroken, error.message());
        }
      });
  if (!reading_) {
    Read();
  }
}

void HttpConnection::HandleSent() {
  call_.message = {};
  if (call_.on_sent) {
    std::exchange(call_.on_sent, nullptr)();
  }
}

void HttpConnection::Read() {
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](const beast::error_code& error, std::size_t size) {
        self->reading_ = false;
        self->HandleInput(error, size);
      });
}

void HttpConnection::HandleInput(const beast::error_code& error, std::size_t size) {
  if (phase_ == Phase::kClosed) {
    return;
  }
  if (phase_ != Phase::kCalling) {
    Close();
    return;
  }
  if (error && error != asio::error::eof) {
    FailEndedCall(error, error.message());
    return;
  }
  buffer_.commit(size);
  received_bytes_ += size;
  if (size > 0 && !answer_began_at_) {
    answer_began_at_ = BootNow();
  }
  ExtendDeadline();
  const bool end_of_stream = error == asio::error::eof;
  if (end_of_stream && writing_) {
    DeferEndOfStream();
    return;
  }
  HandleParsing(end_of_stream);
}

void HttpConnection::DeferEndOfStream() {
  reading_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->reading_ = false;
    if (self->phase_ == Phase::kCalling) {
      self->HandleParsing(true);
    }
  });
}

void HttpConnection::ExtendDeadline() {
  if (!call_.extension_on_data || !call_.deadline) {
    return;
  }
  Instant extended = BootNow() + *call_.extension_on_data;
  if (call_.latest_deadline) {
    extended = std::min(extended, *call_.latest_deadline);
  }
  call_.deadline = std::max(*call_.deadline, extended);
}

void HttpConnection::HandleParsing(bool end_of_stream) {
  if (!ParseBytes()) {
    return;
  }
  if (end_of_stream && !parser_->is_done() && !ParseEndOfStream()) {
    return;
  }
  if (parser_->is_done()) {
    HandleCompleteAnswer(end_of_stream);
    return;
  }
  Read();
}

bool HttpConnection::ParseBytes() {
  beast::error_code error;
  while (buffer_.size() > 0 && !parser_->is_done()) {
    const bool in_head = !parser_->is_header_done();
    if (in_head && !CheckUnparsedHead()) {
      return false;
    }
    const std::size_t parsed_bytes = parser_->put(buffer_.data(), error);
    buffer_.consume(parsed_bytes);
    const bool head_is_parsed = parser_->is_header_done();
    parser_->eager(head_is_parsed);
    if (error == http::error::body_limit || IsAnswerTooLarge()) {
      FailCall(CallOutcome::kTooLarge, "answer too large");
      return false;
    }
    if (error && error != http::error::need_more) {
      FailCall(CallOutcome::kBroken, error.message());
      return false;
    }
    if (in_head && head_is_parsed && !CheckHead()) {
      return false;
    }
    if (error || parsed_bytes == 0) {
      break;
    }
  }
  return true;
}

bool HttpConnection::CheckUnparsedHead() {
  const std::string_view bytes{static_cast<const char*>(buffer_.data().data()), buffer_.size()};
  if (!HasContinuedLine(bytes)) {
    return true;
  }
  FailCall(CallOutcome::kBroken, ToString(HeadFault::kContinuedLine));
  return false;
}

bool HttpConnection::CheckHead() {
  const std::optional<HeadFault> fault = FindHeadFault(parser_->get());
  if (fault) {
    FailCall(CallOutcome::kBroken, ToString(*fault));
  }
  return !fault;
}

bool HttpConnection::ParseEndOfStream() {
  if (!answer_began_at_) {
    FailEndedCall(asio::error::eof, "closed unanswered");
    return false;
  }
  if (write_failed_) {
    // The system reports a reset only once: the write had it, and the read saw an ordinary close.
    FailCall(CallOutcome::kBroken, "connection lost during the answer");
    return false;
  }
  beast::error_code error;
  parser_->put_eof(error);
  if (error || !parser_->is_done()) {
    FailCall(CallOutcome::kBroken, "answer cut short");
    return false;
  }
  return true;
}

bool HttpConnection::IsStale() const {
  const bool received_nothing = !answer_began_at_ && skipped_answers_ == 0 && interim_answers_ == 0;
  return reused() && received_nothing;
}

void HttpConnection::HandleCompleteAnswer(bool end_of_stream) {
  if (IsInterim(parser_->get())) {
    SkipInterimAnswer(end_of_stream);
  } else if (IsAnswerToCall()) {
    FinishAnswer(end_of_stream);
  } else if (IsAnswerToEarlierCall()) {
    SkipAnswer();
    HandleParsing(end_of_stream);
  } else {
    RejectAnswer();
  }
}

bool HttpConnection::IsAnswerToCall() const {
  return call_.matcher == nullptr || call_.matcher->IsAnswerTo(parser_->get(), call_.request_id);
}

bool HttpConnection::IsAnswerToEarlierCall() const {
  const std::string id = call_.matcher->AnsweredRequest(parser_->get());
  return id != call_.request_id && HasCarried(id) && skipped_answers_ < kMaxSkippedAnswers &&
         parser_->keep_alive() && !carried_head_request_;
}

void HttpConnection::SkipInterimAnswer(bool end_of_stream) {
  ++interim_answers_;
  if (interim_answers_ > kMaxInterimAnswers) {
    FailCall(CallOutcome::kBroken, "too many interim answers");
    return;
  }
  BeginNextAnswer();
  HandleParsing(end_of_stream);
}

void HttpConnection::SkipAnswer() {
  ++skipped_answers_;
  BeginNextAnswer();
}

void HttpConnection::BeginNextAnswer() {
  received_bytes_ = buffer_.size();
  memory_->Change(held_bytes_, buffer_.capacity());
  answer_began_at_.reset();
  if (buffer_.size() > 0) {
    answer_began_at_ = BootNow();
  }
  ResetParser();
}

void HttpConnection::RejectAnswer() {
  CallResult result;
  result.outcome = CallOutcome::kAnswerRejected;
  result.answer = parser_->release();
  const std::string id = call_.matcher->AnsweredRequest(result.answer);
  const bool other_request = !id.empty() && id != call_.request_id;
  result.reason = other_request ? "answer of another request" : "answer not valid";
  result.earlier_answers = answered_calls_;
  // The call's own answer may still come, and must not be taken for the one to a later call.
  ResetOnClose(socket_);
  Close();
  CompleteCall(std::move(result));
}

void HttpConnection::FinishAnswer(bool end_of_stream) {
  const bool request_sent = !writing_ && !write_failed_;
  const bool reusable =
      !end_of_stream && parser_->keep_alive() && request_sent && buffer_.size() == 0;
  CallResult result;
  result.outcome = CallOutcome::kAnswered;
  result.answer = parser_->release();
  result.answer_began_at = *answer_began_at_;
  result.earlier_answers = answered_calls_;
  if (const auto timeout = ParseIdleTimeout(result.answer)) {
    peer_idle_timeout_ = timeout;
  }
  ++answered_calls_;
  if (reusable) {
    phase_ = Phase::kIdle;
    idle_since_ = BootNow();
    Read();
  } else {
    Close();
  }
  CompleteCall(std::move(result));
}

bool HttpConnection::HasUnreadInput() {
  char byte = 0;
  const auto size = ::recv(socket_.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void HttpConnection::CheckTimeouts(Instant now) {
  if (phase_ == Phase::kConnecting && now > connect_deadline_) {
    FailCall(CallOutcome::kConnectTimedOut, "connecting took too long");
    return;
  }
  const bool calling = phase_ == Phase::kCalling || phase_ == Phase::kConnecting;
  if (calling && call_.deadline && now > *call_.deadline) {
    const bool connected = phase_ == Phase::kCalling;
    FailCall(connected ? CallOutcome::kTimedOut : CallOutcome::kConnectTimedOut,
             "no answer in time");
  }
}

void HttpConnection::FailIfUndelivered() {
  if (phase_ == Phase::kConnecting) {
    FailCall(CallOutcome::kConnectTimedOut, "endpoint accepts no requests any more");
    return;
  }
  int unconfirmed_bytes = 0;
  const bool known = ::ioctl(socket_.native_handle(), SIOCOUTQ, &unconfirmed_bytes) == 0;
  if (phase_ == Phase::kCalling && (writing_ || !known || unconfirmed_bytes > 0)) {
    FailCall(CallOutcome::kBroken, "request not delivered in time");
  }
}

void HttpConnection::Reset() {
  callback_ = nullptr;
  ResetOnClose(socket_);
  Close();
  memory_->Change(held_bytes_, 0);
  call_ = {};
  parser_.reset();
}

void HttpConnection::FailCall(CallOutcome outcome, std::string reason) {
  // A reset keeps the system from delivering the rest of the request later.
  ResetOnClose(socket_);
  Close();
  CallResult result;
  result.outcome = outcome;
  result.reason = std::move(reason);
  result.earlier_answers = answered_calls_;
  result.ended_by_peer = std::exchange(ended_by_peer_, false);
  result.refused = std::exchange(refused_, false);
  CompleteCall(std::move(result));
}

void HttpConnection::FailEndedCall(const beast::error_code& error, std::string reason) {
  ended_by_peer_ =
      !answer_began_at_ && (error == asio::error::eof || error == asio::error::connection_reset);
  FailCall(IsStale() ? CallOutcome::kStaleConnection : CallOutcome::kBroken, std::move(reason));
}

void HttpConnection::CompleteCall(CallResult result) {
  memory_->Change(held_bytes_, 0);
  result.connection = number_;
  result.skipped_answers = skipped_answers_;
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
  boost::system::error_code ignored;  // The socket is not used any more.
  socket_.close(ignored);
}

}  // namespace sycamorestall

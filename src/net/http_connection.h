#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "core/boot_clock.h"
#include "core/network_address.h"
#include "net/answer_matcher.h"
#include "net/answer_memory.h"
#include "net/http_types.h"

namespace sycamorestall {

// How a call over a connection ended.
enum class CallOutcome {
  // A complete answer was received.
  kAnswered,
  // The connection could not be established, so no byte of the request was sent.
  kNotConnected,
  // Connecting timed out, so no byte was sent. The peer may be healthy behind a congested link.
  kConnectTimedOut,
  // The request may have been received, but no complete, valid answer came.
  kBroken,
  // The request may have been received, but no complete answer came by the deadline.
  kTimedOut,
  // A complete answer was received that is not this call's, or cannot be trusted.
  kAnswerRejected,
  // The answer was larger than the call accepts.
  kTooLarge,
  // The peer closed a reused connection before answering: probably it closed an idle connection
  // while the request was on its way.
  kStaleConnection,
};

// Whether no byte of a call's request was sent.
inline bool NothingWasSent(CallOutcome outcome) {
  return outcome == CallOutcome::kNotConnected || outcome == CallOutcome::kConnectTimedOut;
}

// The outcome of a call, with the answer if there is one, believed or not.
struct CallResult {
  CallOutcome outcome = CallOutcome::kBroken;
  HttpAnswer answer;
  // When the first byte of the answer arrived.
  Instant answer_began_at;
  // Why there is no answer, or none that is believed, for the log.
  std::string reason;
  // The number of the connection in its pool, and how many calls it had answered before.
  std::uint64_t connection = 0;
  std::uint64_t earlier_answers = 0;
  // How many answers to earlier requests came before this call's.
  int skipped_answers = 0;
  // Whether the peer ended the connection without a byte of an answer.
  bool ended_by_peer = false;
  // Whether the peer's machine answered that nothing listens at the address.
  bool refused = false;
};

// A request to send, with its timeouts.
struct OutgoingCall {
  OutgoingMessage message;
  // The id that tells the answer to this request from those to others; empty if there is none.
  std::string request_id;
  // Decides whether an answer is the one to this request; it outlives the call. Unset: every
  // complete answer is.
  const AnswerMatcher* matcher = nullptr;
  // Whether the method is HEAD: such answers announce a body but have none.
  bool head_request = false;
  // Whether to open a new connection even if an idle one exists.
  bool fresh_connection = false;
  Duration connect_timeout{};
  // The call fails if it has no complete answer by then; unset: no limit.
  std::optional<Instant> deadline;
  // Received data moves the deadline to at least this long from now, as a long answer may take
  // long on a congested link. Unset: the deadline stays.
  std::optional<Duration> extension_on_data;
  // Received data does not move the deadline beyond this. Unset: no limit.
  std::optional<Instant> latest_deadline;
  // Runs once the whole request was passed to the system, unless the call has ended before.
  std::function<void()> on_sent;
  // A larger body fails the call, as soon as its size is known. Unset: the general limit.
  std::optional<std::uint64_t> max_body_bytes;
};

// A client connection that carries one request at a time. Not thread safe: used only on the
// event loop's thread.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  using Callback = std::function<void(CallResult)>;

  HttpConnection(boost::asio::io_context& context, NetworkAddress address, std::uint64_t number,
                 std::shared_ptr<AnswerMemory> memory);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Sends a request, after connecting if necessary. The callback runs once unless the connection
  // is reset.
  void Call(OutgoingCall call, Instant now, Callback callback);
  // Drops the running call without calling back and resets the connection, so that unsent bytes
  // of the request are not delivered later.
  void Reset();
  // Fails the running call if the peer has not confirmed the receipt of the whole request.
  void FailIfUndelivered();
  // Fails the running call if connecting or answering took too long.
  void CheckTimeouts(Instant now);

  // Whether the connection is open without a running call.
  bool idle() const { return phase_ == Phase::kIdle; }
  bool closed() const { return phase_ == Phase::kClosed; }
  // Whether an earlier call was answered over this connection.
  bool reused() const { return answered_calls_ > 0; }
  // Whether a byte of the running call's answer has arrived.
  bool answering() const { return answer_began_at_.has_value(); }
  // Whether bytes of an idle connection, or its end, have arrived and were not yet read.
  bool HasUnreadInput();
  // Whether a request with this id was sent over this connection, so that an answer to that one
  // may still come.
  bool HasCarried(const std::string& request_id) const {
    return carried_requests_.contains(request_id);
  }
  // Number of different ids of requests sent over this connection.
  std::size_t carried_requests() const { return carried_requests_.size(); }
  // Tells the connections of a pool apart.
  std::uint64_t number() const { return number_; }
  // When the connection became idle.
  Instant idle_since() const { return idle_since_; }
  // How long the peer keeps an idle connection open, if it has announced that.
  std::optional<Duration> peer_idle_timeout() const { return peer_idle_timeout_; }

 private:
  enum class Phase { kNew, kConnecting, kCalling, kIdle, kClosed };
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect();
  void Resolve();
  void ConnectTo(const boost::asio::ip::tcp::endpoint& endpoint);
  void Send();
  void HandleSent();
  void Read();
  void HandleInput(const boost::beast::error_code& error, std::size_t size);
  // Handles the end of the stream when the event loop has run the handlers that are queued now. The
  // failure of the write may be among them, which tells a reset from an ordinary close.
  void DeferEndOfStream();
  void HandleParsing(bool end_of_stream);
  // Parses the received bytes up to the end of an answer. Returns false if the call failed.
  bool ParseBytes();
  // Checks the received lines of the head before they are parsed. Returns false if the call failed.
  bool CheckUnparsedHead();
  // Checks the head of the answer, once it is parsed. Returns false if the call failed.
  bool CheckHead();
  // Ends an answer that is complete only with its connection. Returns false if the call failed.
  bool ParseEndOfStream();
  // Passes a complete answer on, or skips or rejects it, if it is not the one to the call.
  void HandleCompleteAnswer(bool end_of_stream);
  bool IsAnswerToCall() const;
  // Whether the answer is a second one to an earlier request and the call's own may follow.
  bool IsAnswerToEarlierCall() const;
  void SkipAnswer();
  // Goes on with what follows an interim answer, unless there were too many.
  void SkipInterimAnswer(bool end_of_stream);
  // Drops the parsed answer, as another one is expected.
  void BeginNextAnswer();
  void RejectAnswer();
  void FinishAnswer(bool end_of_stream);
  std::uint64_t MaxBodyBytes() const;
  // Whether the peer probably closed the connection before it read the running call's request.
  bool IsStale() const;
  // Whether the answer, or what surrounds its body, is larger than accepted.
  bool IsAnswerTooLarge();
  // Has memory taken back, if the limit of the account is exceeded.
  void RelieveAccountSoon();
  void ResetParser();
  void FailCall(CallOutcome outcome, std::string reason);
  // Fails the call as the connection has ended; the peer may have ended it.
  void FailEndedCall(const boost::beast::error_code& error, std::string reason);
  void ExtendDeadline();
  void CompleteCall(CallResult result);
  void Close();

  boost::asio::ip::tcp::socket socket_;
  NetworkAddress address_;
  const std::uint64_t number_;
  const std::shared_ptr<AnswerMemory> memory_;
  std::size_t held_bytes_ = 0;
  boost::beast::flat_buffer buffer_;
  // Bytes received of the running call's answer.
  std::uint64_t received_bytes_ = 0;
  std::optional<Parser> parser_;
  Phase phase_ = Phase::kNew;
  // Whether a read is pending, or the end that it found is still to be handled.
  bool reading_ = false;
  bool writing_ = false;
  // Whether the write ended with an error, which the read of the same connection may not see.
  bool write_failed_ = false;
  // When the first byte of the running call's answer arrived.
  std::optional<Instant> answer_began_at_;
  std::uint64_t answered_calls_ = 0;
  // The ids of the requests sent over this connection.
  std::unordered_set<std::string> carried_requests_;
  // Whether one of them was a HEAD request: where its answer ends depends on whose it is.
  bool carried_head_request_ = false;
  // Answers to earlier requests that came during the running call.
  int skipped_answers_ = 0;
  // Interim answers to the running call.
  int interim_answers_ = 0;
  bool ended_by_peer_ = false;
  bool refused_ = false;
  Instant idle_since_;
  Instant connect_deadline_;
  std::optional<Duration> peer_idle_timeout_;
  OutgoingCall call_;
  Callback callback_;
};

}  // namespace sycamorestall

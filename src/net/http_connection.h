#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "core/boot_clock.h"
#include "core/network_address.h"
#include "net/http_types.h"

namespace sycamorestall {

// How a call over a connection ended.
enum class CallVerdict {
  // A whole answer came.
  kAnswered,
  // The connection could not be made, so no byte of the request was sent.
  kNotConnected,
  // The same, as nothing was heard in time: the peer may be well behind a busy link.
  kConnectTimedOut,
  // No whole answer came although bytes of the request may have been read.
  kBroken,
  // The same, by the time at which the call was to be given up.
  kTimedOut,
  // The peer closed the connection, before it answered anything, that an earlier
  // request had used: it had given the connection up while the request came.
  kStaleConnection,
};

// Whether no byte of a call's request was sent.
inline bool NothingWasSent(CallVerdict verdict) {
  return verdict == CallVerdict::kNotConnected || verdict == CallVerdict::kConnectTimedOut;
}

// How a call ended, with the answer if there is one.
struct CallResult {
  CallVerdict verdict = CallVerdict::kBroken;
  HttpAnswer answer;
  // Why there is no answer, in a few words for the log.
  std::string reason;
};

// A request on its way, and how long its connection may take to be made.
struct OutgoingCall {
  OutgoingMessage message;
  // Answers to HEAD requests announce a body and have none.
  bool head_request = false;
  // Whether to pass over kept connections.
  bool fresh_connection = false;
  Duration connect_timeout{};
  // No answer by then ends the call; unset: no limit.
  std::optional<Instant> give_up_at;
  // Each part of the answer that comes allows so much time more: a long answer may
  // take long on a busy link. Unset: it does not.
  std::optional<Duration> more_time;
};

// A connection that carries one request at a time. Used on the loop's thread.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  using Callback = std::function<void(CallResult)>;

  HttpConnection(boost::asio::io_context& context, NetworkAddress address);

  // Sends a request; the callback is called once unless the call is cancelled.
  // Connects first if need be.
  void Call(OutgoingCall call, Instant now, Callback callback);
  // Ends the running call without a result and resets the connection, so that
  // nothing of it is delivered later.
  void Reset();
  // Ends calls that took too long.
  void CheckTimeouts(Instant now);

  // Whether the connection can take a call now.
  bool idle() const { return phase_ == Phase::kIdle; }
  bool closed() const { return phase_ == Phase::kClosed; }
  // Whether a call before the present one was answered over this connection.
  bool reused() const { return answered_ > 0; }
  // When the connection became idle.
  Instant idle_since() const { return idle_since_; }
  // How long the peer keeps an idle connection, if it has said so.
  std::optional<Duration> peer_idle_timeout() const { return peer_idle_timeout_; }

 private:
  enum class Phase { kNew, kConnecting, kCalling, kIdle, kClosed };
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect();
  void Resolve();
  void ConnectTo(const boost::asio::ip::tcp::endpoint& endpoint);
  void Send();
  void Read();
  void TakeBytes(const boost::beast::error_code& error, std::size_t size);
  void ParseAnswer(bool end_of_stream);
  void FinishAnswer(bool end_of_stream);
  void NewParser();
  void Fail(CallVerdict verdict, std::string reason);
  void Finish(CallResult result);
  void Close();

  boost::asio::ip::tcp::socket socket_;
  NetworkAddress address_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  Phase phase_ = Phase::kNew;
  bool reading_ = false;
  bool writing_ = false;
  bool got_bytes_ = false;
  std::uint64_t answered_ = 0;
  Instant idle_since_;
  Instant connect_until_;
  std::optional<Duration> peer_idle_timeout_;
  OutgoingCall call_;
  Callback callback_;
};

}  // namespace sycamorestall

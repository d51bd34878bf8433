#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include "core/boot_clock.h"
#include "core/routing_config.h"
#include "net/http_types.h"

namespace sycamorestall {

class CallerConnection;

// One request of a caller and the place of its answer. Requests of one
// connection are answered in the order in which they came.
class CallerExchange {
 public:
  CallerExchange(std::weak_ptr<CallerConnection> connection, HttpRequest request);

  const HttpRequest& request() const { return request_; }
  // The request's body, to be sent on without a copy.
  const SharedBytes& body() const { return body_; }
  // Whether the caller has closed its connection.
  bool abandoned() const { return abandoned_; }
  // Whether an answer was given.
  bool answered() const { return answer_.has_value(); }

  // Gives the answer; to be called once. The head must lack the Connection
  // header, which the connection adds.
  void Answer(OutgoingMessage message);
  // The connection is closed behind this answer; to be said before it is given.
  void CloseAfterwards() { keep_alive_ = false; }
  // Called once if the caller leaves before the answer was given.
  void OnAbandoned(std::function<void()> callback) { on_abandoned_ = std::move(callback); }

 private:
  friend class CallerConnection;

  std::weak_ptr<CallerConnection> connection_;
  HttpRequest request_;
  SharedBytes body_;
  std::optional<OutgoingMessage> answer_;
  bool keep_alive_ = true;
  bool abandoned_ = false;
  std::function<void()> on_abandoned_;
};

// What happens to the requests of a listener.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;

  // Takes a whole request.
  virtual void TakeRequest(std::shared_ptr<CallerExchange> exchange) = 0;
  // The limits for connections that read their next request now.
  virtual CallerLimits Limits() const = 0;
  // Whether connections are to be closed after their next answer.
  virtual bool Closing() const = 0;
  // The answer to bytes that are not a request or are too many.
  virtual OutgoingMessage AnswerMalformed(unsigned status, const std::string& reason) const;
};

// A caller's connection: reads requests, also while earlier ones run, and writes
// the answers in order. Used on the loop's thread only.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket, CallerHandler& handler);

  // Begins to read.
  void Start(Instant now);
  // Closes the connection if it idles or takes too long over a request.
  void CheckTimeouts(Instant now);
  // Closes the connection if no request is open; says "close" on the next
  // answer otherwise.
  void CloseWhenIdle();
  // Closes the connection at once.
  void Close();
  // Whether the connection is closed for good.
  bool closed() const { return phase_ == Phase::kClosed; }
  // Requests that were read and whose answers are not wholly written.
  std::size_t open_requests() const { return exchanges_.size(); }

 private:
  friend class CallerExchange;

  // After the last answer, what the caller still sends is read and thrown away
  // for a while: to close at once would reset the connection and might take
  // the answer with it.
  enum class Phase { kOpen, kLingering, kClosed };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Read();
  void TakeBytes(std::size_t size);
  void ParseRequests();
  void InviteBody();
  void FinishRequest();
  void RejectBytes(const boost::beast::error_code& error);
  void Write();
  void FinishWrite(std::size_t count, bool close);
  void Linger();
  void Abandon();
  void NewParser();

  boost::asio::ip::tcp::socket socket_;
  CallerHandler& handler_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::deque<std::shared_ptr<CallerExchange>> exchanges_;
  Phase phase_ = Phase::kOpen;
  bool reading_ = false;
  bool writing_ = false;
  // No further request is read.
  bool last_read_ = false;
  bool close_after_answer_ = false;
  Instant last_activity_;
  // Whether the caller was told to send the body that it waits with.
  bool invited_ = false;
};

}  // namespace sycamorestall

#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/boot_clock.h"
#include "core/memory_account.h"
#include "core/routing_config.h"
#include "net/http_types.h"

namespace sycamorestall {

class CallerConnection;

// A caller's request and its answer. Answers of one connection are sent in the order of their
// requests.
class CallerExchange {
 public:
  // What the exchange holds counts in the account, if there is one.
  CallerExchange(std::weak_ptr<CallerConnection> connection, HttpRequest request,
                 std::string caller, const std::shared_ptr<MemoryAccount>& account = nullptr);

  const HttpRequest& request() const { return request_; }
  // The request's body, shared so that it can be forwarded without a copy.
  const SharedBytes& body() const { return body_; }
  // The caller's address without its port.
  const std::string& caller() const { return caller_; }
  // Whether the connection ended before the answer was written.
  bool abandoned() const { return abandoned_; }
  // Whether Answer() was called.
  bool answered() const { return answer_.has_value(); }

  // Sends the answer; must be called at most once. The head must contain neither the Connection
  // header nor the final empty line, which the connection adds.
  void Answer(OutgoingMessage message);
  // Reads no further requests and closes the connection after the last answer; must be called
  // before Answer().
  void CloseAfterAnswer() { keep_alive_ = false; }
  // Lets go of the request's body, which is empty from then on.
  void ReleaseBody();
  // Sets a callback that runs once if the connection ends before Answer() is called.
  void OnAbandoned(std::function<void()> callback) { on_abandoned_ = std::move(callback); }

 private:
  friend class CallerConnection;

  // The bytes of memory that the exchange holds.
  std::size_t HeldBytes() const { return memory_.bytes() + body_->size(); }
  // Lets go of the answer's body and the request's.
  void ReleaseBodies();

  // Of the heads and the answer.
  MemoryReservation memory_;
  std::weak_ptr<CallerConnection> connection_;
  HttpRequest request_;
  SharedBytes body_;
  std::string caller_;
  std::optional<OutgoingMessage> answer_;
  bool keep_alive_ = true;
  bool abandoned_ = false;
  std::function<void()> on_abandoned_;
};

// Handles the requests of a listener's connections.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;

  // Handles a complete request.
  virtual void HandleRequest(std::shared_ptr<CallerExchange> exchange) = 0;
  // Returns the limits for connections that start reading a request now.
  virtual CallerLimits Limits() const = 0;
  // Whether connections close as soon as all requests that were read are answered.
  virtual bool ShouldCloseConnections() const = 0;
  // Returns the answer to a request that is malformed or exceeds a limit.
  virtual OutgoingMessage MakeMalformedAnswer(unsigned status, const std::string& reason) const;
  // Returns the answer to a request that is refused because memory runs short. Nothing of it has
  // run. The request has no body, and is null if its head has not arrived.
  virtual OutgoingMessage MakeMemoryRefusal(const HttpRequest* request) const;
};

// A caller's connection: reads pipelined requests and writes their answers in order. Not thread
// safe: used only on the event loop's thread.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>,
                         private MemoryHolder {
 public:
  // What the caller makes the connection hold counts in the account, if there is one.
  CallerConnection(boost::asio::ip::tcp::socket socket, CallerHandler& handler,
                   std::shared_ptr<MemoryAccount> account = nullptr);
  ~CallerConnection() override;
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  // Starts reading requests.
  void Start(Instant now);
  // Closes the connection if it has been idle, or sending a request, for too long, and counts the
  // bytes that wait to be read.
  void CheckTimeouts(Instant now);
  // Closes the connection if it has been idle for a while. Otherwise it is closed as soon as all
  // requests that were read are answered.
  void CloseWhenIdle(Instant now);
  // Closes the socket at once.
  void Close();
  // Whether no request is open, being read or waiting to be read.
  bool IsIdle();
  // Whether a request is being read and no other is open.
  bool IsReading() const;
  // When the request that is being read began, or last made progress.
  Instant read_progressed_at() const { return read_progress_.progressed_at(); }
  // When bytes were last read or an answer was written, or when the connection was accepted.
  Instant last_activity() const { return last_activity_; }
  // Whether the socket is closed.
  bool closed() const { return phase_ == Phase::kClosed; }

 private:
  friend class CallerExchange;

  // kLingering: after the last answer, further input is read and discarded for a while. Closing
  // at once would reset the connection, and the caller might lose the answer.
  // kClosedUnread: closed while idle. A request that was on its way then can't be answered any
  // more, so it is not read either: callers may repeat what was not read.
  enum class Phase { kOpen, kLingering, kClosedUnread, kClosed };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  // Waits for input, then reads it.
  void Read();
  void ReadAvailableInput();
  // Whether bytes have arrived that were not read.
  bool HasUnreadInput();
  // Whether the caller has closed the connection behind the bytes that were read.
  bool HasCallerLeft();
  void HandleInput(std::size_t size);
  HeldMemory Held() const override;
  void ReleaseMemory() override;
  // The bytes of memory that the open requests and their answers hold.
  std::size_t ExchangeBytes() const;
  // Whether a further request may be read while earlier ones are open.
  bool MayTakeRequest() const;
  void ParseRequests();
  // Passes received bytes to the parser. Returns false if it needs more, or if the request was
  // refused.
  bool ParseBytes();
  // Begins the next request with the limits that apply now.
  void ApplyLimits();
  // Handles the end of a head. Returns false if the request was refused.
  bool HandleHead();
  // Makes room for a chunked body. Its length is not known, and a copy to a larger buffer would
  // take the memory of the body twice.
  void ReserveChunkedBody();
  // Whether the head with the chunk extensions and the trailers is longer than a head may be. What
  // the parser leaves unparsed as it needs more is part of these.
  bool IsFramingTooLong(bool needs_more) const;
  // Counts the bytes that have arrived and were not read: the system holds them for the process.
  void AccountForUnreadInput();
  // Counts the memory of the request that is being read.
  void AccountForReading();
  // Lets go of the request that is being read.
  void DropReading();
  // Takes memory back, from this or other connections, if the limit is exceeded.
  void RelieveAccount(Instant now);
  // Sends "100 Continue" if the caller waits for it and all earlier requests are answered.
  void SendContinueIfExpected();
  void DispatchRequest();
  void RejectRequest(const boost::beast::error_code& error);
  void RejectRequest(unsigned status, const std::string& reason);
  // Refuses the request that is being read, as memory runs short.
  void RefuseRequest();
  // Answers the request that is being read in its turn, and reads no further ones.
  void AnswerAndStopReading(OutgoingMessage answer);
  // Writes all answers that are next in order. Only the answer to the last request that was read
  // closes the connection.
  void WriteAnswers();
  void FinishWrite(std::size_t count, bool close);
  // Ends the output and enters the phase, until the caller closes the connection or a timeout
  // passes.
  void EndOutput(Phase phase);
  // Closes the socket and notifies the owners of open requests.
  void Abandon();
  void ResetParser();

  boost::asio::ip::tcp::socket socket_;
  const std::string caller_;
  CallerHandler& handler_;
  const std::shared_ptr<MemoryAccount> account_;
  // Of the request that is being read.
  MemoryReservation reading_memory_;
  // Of the bytes that have arrived and were not read, as of the last check of the timeouts.
  MemoryReservation unread_memory_;
  TransferProgress read_progress_;
  TransferProgress write_progress_;
  std::size_t written_bytes_ = 0;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  // Of the request that is being read: the bytes of the head, the bytes of its fields without
  // trailers, the memory that they take, and the bytes of chunk extensions.
  std::size_t head_bytes_ = 0;
  std::size_t field_bytes_ = 0;
  std::size_t field_memory_ = 0;
  std::size_t extension_bytes_ = 0;
  std::function<void(std::uint64_t, boost::beast::string_view, boost::beast::error_code&)>
      note_chunk_header_;
  CallerLimits limits_;
  std::deque<std::shared_ptr<CallerExchange>> exchanges_;
  Phase phase_ = Phase::kOpen;
  bool reading_ = false;
  bool writing_ = false;
  // No further requests are read.
  bool input_done_ = false;
  bool close_after_answer_ = false;
  Instant last_activity_;
  // Whether "100 Continue" was sent for the current request.
  bool continue_sent_ = false;
};

}  // namespace sycamorestall

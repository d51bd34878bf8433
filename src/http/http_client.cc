#include "http/http_client.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <thread>
#include <unordered_map>
#include <utility>

#include "clock/system_clock.h"
#include "http/client_error.h"
#include "http/url.h"
#include "net/connection_pool.h"
#include "net/http_format.h"

namespace sycamorestall::http {

namespace {

// Timeouts are checked at this interval, and also at the deadline of each call.
constexpr std::chrono::milliseconds kTimeoutCheckInterval{10};
// The check runs this long after a deadline, as a call expires only after its deadline.
constexpr std::chrono::microseconds kDeadlineMargin{50};

// A call that has not ended yet.
struct PendingCall {
  Call call;
  HttpClient::Callback callback;
  Url url;
  Instant deadline;
  bool sent = false;
  bool retried = false;
  ConnectionPool::CallHandle handle;
};

// Calls to one host: connections in use, and calls that wait for a free one.
struct HostCalls {
  std::size_t connections_in_use = 0;
  std::deque<std::uint64_t> waiting;
};

OutgoingMessage MakeRequestMessage(Call& call, const Url& url) {
  OutgoingMessage message;
  message.head = std::string(ToString(call.method)) + " " + url.target + " HTTP/1.1\r\n";
  AppendHeader(message.head, "Host", url.authority);
  for (const Header& header : call.headers) {
    AppendHeader(message.head, header.name, header.value);
  }
  const bool has_body = call.method == Method::kPost || call.method == Method::kPut;
  if (has_body) {
    AppendHeader(message.head, "Content-Length", std::to_string(call.body.size()));
    message.body = std::make_shared<const std::string>(call.body);
  }
  message.head += "\r\n";
  return message;
}

std::error_code ToErrorCode(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kAnswered:
      return {};
    case CallOutcome::kNotConnected:
    case CallOutcome::kConnectTimedOut:
      return ClientError::kNotConnected;
    case CallOutcome::kTimedOut:
      return ClientError::kTimeout;
    case CallOutcome::kAnswerRejected:
    case CallOutcome::kTooLarge:
    case CallOutcome::kBroken:
    case CallOutcome::kStaleConnection:
      break;
  }
  return ClientError::kBroken;
}

CallResult ToCallResult(sycamorestall::CallResult from) {
  CallResult result;
  result.error = ToErrorCode(from.outcome);
  result.perhaps_sent = !NothingWasSent(from.outcome);
  if (result.error) {
    return result;
  }
  result.status = static_cast<std::uint16_t>(from.answer.result_int());
  for (const auto& field : from.answer) {
    result.headers.push_back({{field.name_string().data(), field.name_string().size()},
                              {field.value().data(), field.value().size()}});
  }
  result.body = std::move(from.answer.body());
  return result;
}

}  // namespace

// Owns the thread, its event loop and the connections. All but the public functions
// run on that thread.
class HttpClient::Implementation {
 public:
  explicit Implementation(ClientSettings settings)
      : settings_(settings),
        work_guard_(context_.get_executor()),
        pool_(context_),
        timer_(context_) {
    ScheduleTimeoutCheck(BootNow() + kTimeoutCheckInterval);
    thread_ = std::thread([this] { context_.run(); });
  }

  ~Implementation() { Stop(); }

  std::uint64_t StartCall(Call call, Callback callback) {
    const std::uint64_t number = next_number_.fetch_add(1);
    boost::asio::post(
        context_, [this, number, call = std::move(call), callback = std::move(callback)]() mutable {
          Enqueue(number, std::move(call), std::move(callback));
        });
    return number;
  }

  void Cancel(std::uint64_t number) {
    boost::asio::post(context_, [this, number] { CancelPending(number); });
  }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    boost::asio::post(context_, [this] {
      stopping_ = true;
      while (!pending_calls_.empty()) {
        CancelPending(pending_calls_.begin()->first);
      }
      context_.stop();
    });
    thread_.join();
  }

 private:
  void Enqueue(std::uint64_t number, Call call, Callback callback) {
    const std::optional<Url> url = ParseUrl(call.url);
    if (!url || stopping_) {
      CallResult result;
      result.error = stopping_ ? ClientError::kStopped : ClientError::kNotConnected;
      result.perhaps_sent = false;
      callback(std::move(result));
      return;
    }
    PendingCall pending;
    pending.deadline = BootNow() + call.timeout;
    pending.call = std::move(call);
    pending.callback = std::move(callback);
    pending.url = *url;
    const Instant deadline = pending.deadline;
    pending_calls_.emplace(number, std::move(pending));
    if (deadline + kDeadlineMargin < next_timeout_check_) {
      ScheduleTimeoutCheck(deadline + kDeadlineMargin);
    }
    hosts_[url->authority].waiting.push_back(number);
    SendWaiting(url->authority);
  }

  void SendWaiting(const std::string& authority) {
    HostCalls& host = hosts_[authority];
    while (!host.waiting.empty() && host.connections_in_use < settings_.max_connections_per_host) {
      const std::uint64_t number = host.waiting.front();
      host.waiting.pop_front();
      const auto found = pending_calls_.find(number);
      if (found != pending_calls_.end()) {
        ++host.connections_in_use;
        Send(number, found->second);
      }
    }
  }

  void Send(std::uint64_t number, PendingCall& pending) {
    OutgoingCall call;
    call.message = MakeRequestMessage(pending.call, pending.url);
    call.connect_timeout = settings_.connect_timeout;
    call.deadline = pending.deadline;
    call.fresh_connection = pending.call.fresh_connection || pending.retried;
    pending.sent = true;
    pending.handle = pool_.Call(pending.url.authority, pending.url.address, std::move(call),
                                BootNow(), [this, number](sycamorestall::CallResult result) {
                                  HandleResult(number, std::move(result));
                                });
  }

  void HandleResult(std::uint64_t number, sycamorestall::CallResult result) {
    const auto found = pending_calls_.find(number);
    if (found == pending_calls_.end()) {
      return;
    }
    PendingCall& pending = found->second;
    const bool retry = result.outcome == CallOutcome::kStaleConnection && !pending.retried &&
                       pending.call.idempotent;
    if (retry) {
      pending.retried = true;
      Send(number, pending);
      return;
    }
    Complete(number, ToCallResult(std::move(result)));
  }

  void CancelPending(std::uint64_t number) {
    const auto found = pending_calls_.find(number);
    if (found == pending_calls_.end()) {
      return;
    }
    ConnectionPool::Cancel(found->second.handle);
    CallResult result;
    result.error = ClientError::kStopped;
    result.perhaps_sent = found->second.sent;
    Complete(number, std::move(result));
  }

  void Complete(std::uint64_t number, CallResult result) {
    const auto found = pending_calls_.find(number);
    const PendingCall pending = std::move(found->second);
    pending_calls_.erase(found);
    pending.callback(std::move(result));
    if (pending.sent) {
      --hosts_[pending.url.authority].connections_in_use;
      SendWaiting(pending.url.authority);
    }
  }

  // Schedules the next check of all timeouts; replaces the check scheduled before.
  void ScheduleTimeoutCheck(Instant at) {
    next_timeout_check_ = at;
    timer_.expires_after(at - BootNow());
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        CheckTimeouts(BootNow());
      }
    });
  }

  void CheckTimeouts(Instant now) {
    pool_.CheckTimeouts(now);
    FailExpiredWaiting(now);
    Instant next = now + kTimeoutCheckInterval;
    for (const auto& [number, pending] : pending_calls_) {
      next = std::min(next, std::max(pending.deadline, now) + kDeadlineMargin);
    }
    ScheduleTimeoutCheck(next);
  }

  // Fails calls whose deadline passed before a connection became free.
  void FailExpiredWaiting(Instant now) {
    std::vector<std::uint64_t> expired;
    for (const auto& [authority, host] : hosts_) {
      for (const std::uint64_t number : host.waiting) {
        const auto found = pending_calls_.find(number);
        if (found != pending_calls_.end() && now > found->second.deadline) {
          expired.push_back(number);
        }
      }
    }
    for (const std::uint64_t number : expired) {
      CallResult result;
      result.error = ClientError::kNotConnected;
      result.perhaps_sent = false;
      Complete(number, std::move(result));
    }
  }

  const ClientSettings settings_;
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_;
  ConnectionPool pool_;
  boost::asio::steady_timer timer_;
  std::unordered_map<std::uint64_t, PendingCall> pending_calls_;
  std::map<std::string, HostCalls> hosts_;
  bool stopping_ = false;
  Instant next_timeout_check_;
  std::atomic<std::uint64_t> next_number_{1};
  std::thread thread_;
};

HttpClient::HttpClient(ClientSettings settings)
    : implementation_(std::make_unique<Implementation>(settings)) {}

HttpClient::~HttpClient() = default;

std::uint64_t HttpClient::StartCall(Call call, Callback callback) {
  return implementation_->StartCall(std::move(call), std::move(callback));
}

void HttpClient::Cancel(std::uint64_t number) { implementation_->Cancel(number); }

void HttpClient::Stop() { implementation_->Stop(); }

}  // namespace sycamorestall::http

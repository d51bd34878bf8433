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

// Connections are looked at this often, and besides whenever a call's time is up.
constexpr std::chrono::milliseconds kTimeoutCheck{10};
// A call is late only after its time.
constexpr std::chrono::microseconds kJustAfter{50};

// A call that has not ended.
struct Running {
  Call call;
  HttpClient::Callback callback;
  Url url;
  Instant give_up_at;
  bool sent = false;
  bool sent_again = false;
  ConnectionPool::CallHandle handle;
};

// The calls to one host.
struct Host {
  std::size_t connections = 0;
  std::deque<std::uint64_t> waiting;
};

OutgoingMessage MakeMessage(Call& call, const Url& url) {
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

std::error_code Translate(CallOutcome verdict) {
  switch (verdict) {
    case CallOutcome::kAnswered:
      return {};
    case CallOutcome::kNotConnected:
    case CallOutcome::kConnectTimedOut:
      return ClientError::kNotConnected;
    case CallOutcome::kTimedOut:
      return ClientError::kTimeout;
    case CallOutcome::kBroken:
    case CallOutcome::kStaleConnection:
      break;
  }
  return ClientError::kBroken;
}

CallResult Translate(sycamorestall::CallResult from) {
  CallResult result;
  result.error = Translate(from.outcome);
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

// Owns the thread, its loop and the connections. All but the public functions
// run on that thread.
class HttpClient::Implementation {
 public:
  explicit Implementation(ClientSettings settings)
      : settings_(settings), work_(context_.get_executor()), pool_(context_), timer_(context_) {
    CheckAt(BootNow() + kTimeoutCheck);
    thread_ = std::thread([this] { context_.run(); });
  }

  ~Implementation() { Stop(); }

  std::uint64_t Start(Call call, Callback callback) {
    const std::uint64_t number = next_number_.fetch_add(1);
    boost::asio::post(
        context_, [this, number, call = std::move(call), callback = std::move(callback)]() mutable {
          Begin(number, std::move(call), std::move(callback));
        });
    return number;
  }

  void Abandon(std::uint64_t number) {
    boost::asio::post(context_, [this, number] { GiveUp(number); });
  }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    boost::asio::post(context_, [this] {
      stopping_ = true;
      while (!running_.empty()) {
        GiveUp(running_.begin()->first);
      }
      context_.stop();
    });
    thread_.join();
  }

 private:
  void Begin(std::uint64_t number, Call call, Callback callback) {
    const std::optional<Url> url = ParseUrl(call.url);
    if (!url || stopping_) {
      CallResult result;
      result.error = stopping_ ? ClientError::kStopped : ClientError::kNotConnected;
      result.perhaps_sent = false;
      callback(std::move(result));
      return;
    }
    Running running;
    running.give_up_at = BootNow() + call.timeout;
    running.call = std::move(call);
    running.callback = std::move(callback);
    running.url = *url;
    const Instant give_up_at = running.give_up_at;
    running_.emplace(number, std::move(running));
    if (give_up_at + kJustAfter < check_at_) {
      CheckAt(give_up_at + kJustAfter);
    }
    hosts_[url->authority].waiting.push_back(number);
    SendWaiting(url->authority);
  }

  void SendWaiting(const std::string& authority) {
    Host& host = hosts_[authority];
    while (!host.waiting.empty() && host.connections < settings_.max_connections_per_host) {
      const std::uint64_t number = host.waiting.front();
      host.waiting.pop_front();
      const auto found = running_.find(number);
      if (found != running_.end()) {
        ++host.connections;
        Send(number, found->second);
      }
    }
  }

  void Send(std::uint64_t number, Running& running) {
    OutgoingCall call;
    call.message = MakeMessage(running.call, running.url);
    call.connect_timeout = settings_.connect_timeout;
    call.deadline = running.give_up_at;
    call.fresh_connection = running.call.fresh_connection || running.sent_again;
    running.sent = true;
    running.handle = pool_.Call(running.url.authority, running.url.address, std::move(call),
                                BootNow(), [this, number](sycamorestall::CallResult result) {
                                  TakeResult(number, std::move(result));
                                });
  }

  void TakeResult(std::uint64_t number, sycamorestall::CallResult result) {
    const auto found = running_.find(number);
    if (found == running_.end()) {
      return;
    }
    Running& running = found->second;
    const bool again = result.outcome == CallOutcome::kStaleConnection && !running.sent_again &&
                       running.call.idempotent;
    if (again) {
      running.sent_again = true;
      Send(number, running);
      return;
    }
    End(number, Translate(std::move(result)));
  }

  void GiveUp(std::uint64_t number) {
    const auto found = running_.find(number);
    if (found == running_.end()) {
      return;
    }
    ConnectionPool::Cancel(found->second.handle);
    CallResult result;
    result.error = ClientError::kStopped;
    result.perhaps_sent = found->second.sent;
    End(number, std::move(result));
  }

  void End(std::uint64_t number, CallResult result) {
    const auto found = running_.find(number);
    const Running running = std::move(found->second);
    running_.erase(found);
    running.callback(std::move(result));
    if (running.sent) {
      --hosts_[running.url.authority].connections;
      SendWaiting(running.url.authority);
    }
  }

  // Looks at all timeouts at a moment, and not at the one that was set before.
  void CheckAt(Instant at) {
    check_at_ = at;
    timer_.expires_after(at - BootNow());
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        CheckTimeouts(BootNow());
      }
    });
  }

  void CheckTimeouts(Instant now) {
    pool_.CheckTimeouts(now);
    EndWaiting(now);
    Instant next = now + kTimeoutCheck;
    for (const auto& [number, running] : running_) {
      next = std::min(next, std::max(running.give_up_at, now) + kJustAfter);
    }
    CheckAt(next);
  }

  // Ends calls whose time is up before a connection was free for them.
  void EndWaiting(Instant now) {
    std::vector<std::uint64_t> late;
    for (const auto& [authority, host] : hosts_) {
      for (const std::uint64_t number : host.waiting) {
        const auto found = running_.find(number);
        if (found != running_.end() && now > found->second.give_up_at) {
          late.push_back(number);
        }
      }
    }
    for (const std::uint64_t number : late) {
      CallResult result;
      result.error = ClientError::kNotConnected;
      result.perhaps_sent = false;
      End(number, std::move(result));
    }
  }

  const ClientSettings settings_;
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  ConnectionPool pool_;
  boost::asio::steady_timer timer_;
  std::unordered_map<std::uint64_t, Running> running_;
  std::map<std::string, Host> hosts_;
  bool stopping_ = false;
  Instant check_at_;
  std::atomic<std::uint64_t> next_number_{1};
  std::thread thread_;
};

HttpClient::HttpClient(ClientSettings settings)
    : implementation_(std::make_unique<Implementation>(settings)) {}

HttpClient::~HttpClient() = default;

std::uint64_t HttpClient::Start(Call call, Callback callback) {
  return implementation_->Start(std::move(call), std::move(callback));
}

void HttpClient::Abandon(std::uint64_t number) { implementation_->Abandon(number); }

void HttpClient::Stop() { implementation_->Stop(); }

}  // namespace sycamorestall::http

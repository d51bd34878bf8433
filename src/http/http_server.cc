#include "http/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/verb.hpp>
#include <thread>
#include <utility>

#include "clock/system_clock.h"
#include "net/caller_listener.h"
#include "net/http_format.h"

namespace sycamorestall::http {

namespace {

constexpr std::chrono::milliseconds kTimeoutCheckInterval{50};
constexpr std::uint32_t kMaxHeadBytes = 16 * 1024;

Method ToMethod(boost::beast::http::verb verb) {
  switch (verb) {
    case boost::beast::http::verb::get:
      return Method::kGet;
    case boost::beast::http::verb::put:
      return Method::kPut;
    case boost::beast::http::verb::post:
      return Method::kPost;
    case boost::beast::http::verb::delete_:
      return Method::kDelete;
    default:
      return Method::kOther;
  }
}

Request ToRequest(const CallerExchange& exchange) {
  const HttpRequest& from = exchange.request();
  const std::string target{from.target().data(), from.target().size()};
  const std::size_t query_start = target.find('?');
  Request request;
  request.method = ToMethod(from.method());
  request.path = target.substr(0, query_start);
  request.query = query_start == std::string::npos ? "" : target.substr(query_start + 1);
  for (const auto& field : from) {
    request.headers.push_back({{field.name_string().data(), field.name_string().size()},
                               {field.value().data(), field.value().size()}});
  }
  request.body = *exchange.body();
  return request;
}

OutgoingMessage ToOutgoingMessage(Response response) {
  OutgoingMessage message;
  message.head = StatusLine(response.status);
  if (!response.content_type.empty()) {
    AppendHeader(message.head, "Content-Type", response.content_type);
  }
  for (const Header& header : response.headers) {
    AppendHeader(message.head, header.name, header.value);
  }
  AppendHeader(message.head, "Content-Length", std::to_string(response.body.size()));
  message.body = std::make_shared<const std::string>(std::move(response.body));
  return message;
}

}  // namespace

// Runs the server's event loop and passes requests to the handler.
class ServerImplementation : public CallerHandler {
 public:
  ServerImplementation(ServerSettings settings, RequestHandler& handler)
      : settings_(std::move(settings)),
        handler_(handler),
        context_(std::make_shared<boost::asio::io_context>(1)),
        timer_(*context_) {}

  void Start() {
    listener_ = std::make_unique<CallerListener>(
        *context_, NetworkAddress{settings_.host, settings_.port}, *this);
    CheckTimeouts();
    thread_ = std::thread([this] { context_->run(); });
  }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    context_->stop();
    thread_.join();
    listener_->CloseAll();
  }

  std::uint16_t port() const { return listener_->port(); }

  void HandleRequest(std::shared_ptr<CallerExchange> exchange) override {
    const std::uint64_t number = next_number_++;
    exchange->OnAbandoned([this, number] { handler_.HandleCallerDisconnect(number); });
    Request request = ToRequest(*exchange);
    handler_.Handle(std::move(request), Responder{context_, std::move(exchange), number});
  }

  CallerLimits Limits() const override {
    return {kMaxHeadBytes, settings_.max_body_bytes, settings_.arrival_timeout,
            settings_.idle_timeout};
  }

  bool ShouldCloseConnections() const override { return false; }

  OutgoingMessage MakeMalformedAnswer(unsigned status, const std::string& reason) const override {
    return ToOutgoingMessage(
        handler_.MakeMalformedResponse(static_cast<std::uint16_t>(status), reason));
  }

 private:
  void CheckTimeouts() {
    timer_.expires_after(kTimeoutCheckInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        listener_->CheckTimeouts(BootNow());
        CheckTimeouts();
      }
    });
  }

  const ServerSettings settings_;
  RequestHandler& handler_;
  // Shared because responders may outlive the server.
  std::shared_ptr<boost::asio::io_context> context_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<CallerListener> listener_;
  std::uint64_t next_number_ = 1;
  std::thread thread_;
};

Responder::Responder(std::shared_ptr<boost::asio::io_context> context,
                     std::shared_ptr<CallerExchange> exchange, std::uint64_t number)
    : context_(std::move(context)), exchange_(std::move(exchange)), number_(number) {}

void Responder::Send(Response response) const {
  if (!exchange_) {
    return;
  }
  boost::asio::post(*context_, [exchange = exchange_, response = std::move(response)]() mutable {
    if (response.close) {
      exchange->CloseAfterAnswer();
    }
    exchange->Answer(ToOutgoingMessage(std::move(response)));
  });
}

void RequestHandler::HandleCallerDisconnect(std::uint64_t) {}

Response RequestHandler::MakeMalformedResponse(std::uint16_t status, const std::string& reason) {
  return Response{status, {}, "text/plain", reason + "\n", true};
}

HttpServer::HttpServer(ServerSettings settings, RequestHandler& handler)
    : implementation_(std::make_unique<ServerImplementation>(std::move(settings), handler)) {}

HttpServer::~HttpServer() { Stop(); }

void HttpServer::Start() { implementation_->Start(); }

void HttpServer::Stop() { implementation_->Stop(); }

std::uint16_t HttpServer::port() const { return implementation_->port(); }

}  // namespace sycamorestall::http

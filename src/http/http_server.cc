#include "http/http_server.h"

#include <pistache/listener.h>

#include <utility>

#include "http/connection_worker.h"

namespace sycamorestall::http {

namespace {

// Hands what Pistache says of a connection to the worker that owns it.
class ConnectionHandler : public Pistache::Http::Handler {
  HTTP_PROTOTYPE(ConnectionHandler)

 public:
  void onRequest(const Pistache::Http::Request&, Pistache::Http::ResponseWriter) override {}

  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer>&) override {}

  void onInput(const char* bytes, std::size_t count,
               const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
    static_cast<ConnectionWorker*>(transport())->TakeInput(peer, this, bytes, count);
  }

  void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
    static_cast<ConnectionWorker*>(transport())->TakeDisconnection(peer);
  }
};

}  // namespace

// Keeps Pistache's types out of the public header.
class ServerImplementation {
 public:
  ServerImplementation(ServerSettings settings, RequestHandler& handler)
      : shared_(std::make_shared<ServerShared>()),
        listener_(Pistache::Address(settings.host, Pistache::Port(settings.port))) {
    shared_->settings = std::move(settings);
    shared_->handler = &handler;
  }

  void Start() {
    using Pistache::Tcp::Options;
    const auto handler = std::make_shared<ConnectionHandler>();
    listener_.init(
        static_cast<std::size_t>(shared_->settings.workers),
        Pistache::Flags<Options>(Options::ReuseAddr) | Options::NoDelay | Options::CloseOnExec,
        shared_->settings.thread_name);
    listener_.setTransportFactory(
        [this, handler] { return std::make_shared<ConnectionWorker>(handler, shared_); });
    listener_.setHandler(handler);
    listener_.bind();
    listener_.runThreaded();
    running_ = true;
  }

  void Stop() {
    if (std::exchange(running_, false)) {
      listener_.shutdown();
    }
  }

  std::uint16_t port() const { return listener_.getPort(); }

 private:
  std::shared_ptr<ServerShared> shared_;
  Pistache::Tcp::Listener listener_;
  bool running_ = false;
};

Responder::Responder(std::shared_ptr<WorkerMailbox> mailbox, std::uint64_t number)
    : mailbox_(std::move(mailbox)), number_(number) {}

void Responder::Send(Response response) const {
  if (mailbox_) {
    mailbox_->Post({number_, std::move(response)});
  }
}

std::optional<Response> RequestHandler::CheckHead(const Request&, std::uint64_t) {
  return std::nullopt;
}

void RequestHandler::CallerLeft(std::uint64_t) {}

Response RequestHandler::Malformed(std::uint16_t status, const std::string& why) {
  return Response{status, {}, "text/plain", why + "\n", true};
}

HttpServer::HttpServer(ServerSettings settings, RequestHandler& handler)
    : implementation_(std::make_unique<ServerImplementation>(std::move(settings), handler)) {}

HttpServer::~HttpServer() { Stop(); }

void HttpServer::Start() { implementation_->Start(); }

void HttpServer::Stop() { implementation_->Stop(); }

std::uint16_t HttpServer::port() const { return implementation_->port(); }

}  // namespace sycamorestall::http

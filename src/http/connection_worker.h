#pragma once

#include <pistache/http.h>
#include <pistache/peer.h>
#include <pistache/transport.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/boot_clock.h"
#include "http/http_server.h"
#include "http/request_framer.h"
#include "http/worker_mailbox.h"

namespace sycamorestall::http {

// What the workers of one server share.
struct ServerShared {
  ServerSettings settings;
  RequestHandler* handler = nullptr;
  std::atomic<std::uint64_t> next_number{1};
};

// What a worker knows of one of its connections.
struct Connection {
  explicit Connection(std::size_t max_bytes) : parser(max_bytes) {}

  std::string inbox;
  Pistache::Http::RequestParser parser;
  Framing framing;
  bool head_taken = false;
  // The request under way; 0 when there is none.
  std::uint64_t open_request = 0;
  // Nothing more is read: the last answer has been sent.
  bool closing = false;
  Instant last_input;
};

// One worker thread's share of the connections. It is a Pistache transport that
// also polls a mailbox, and sends each answer itself: Pistache queues writes by
// file descriptor, so an answer sent from another thread could reach the
// connection that took the descriptor over.
class ConnectionWorker : public Pistache::Tcp::Transport {
 public:
  ConnectionWorker(std::shared_ptr<Pistache::Tcp::Handler> handler,
                   std::shared_ptr<ServerShared> shared);
  ~ConnectionWorker() override;

  void registerPoller(Pistache::Polling::Epoll& poller) override;
  void onReady(const Pistache::Aio::FdSet& fds) override;
  std::shared_ptr<Pistache::Aio::Handler> clone() const override;

  // Takes bytes from a connection.
  void TakeInput(const std::shared_ptr<Pistache::Tcp::Peer>& peer, Pistache::Http::Handler* handler,
                 const char* bytes, std::size_t count);
  // A connection has been closed by its caller.
  void TakeDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer);

 private:
  struct OpenRequest {
    std::weak_ptr<Pistache::Tcp::Peer> peer;
    Pistache::Http::Handler* handler = nullptr;
  };

  void Advance(const std::shared_ptr<Pistache::Tcp::Peer>& peer, Pistache::Http::Handler* handler,
               Connection& connection);
  bool TakeHead(const std::shared_ptr<Pistache::Tcp::Peer>& peer, Pistache::Http::Handler* handler,
                Connection& connection);
  void TakeWhole(const std::shared_ptr<Pistache::Tcp::Peer>& peer, Pistache::Http::Handler* handler,
                 Connection& connection);
  void Refuse(const std::shared_ptr<Pistache::Tcp::Peer>& peer, Pistache::Http::Handler* handler,
              Connection& connection, Response response);
  void Write(const std::shared_ptr<Pistache::Tcp::Peer>& peer, Pistache::Http::Handler* handler,
             const Response& response);
  void DeliverAnswers();
  void Sweep();

  std::shared_ptr<Pistache::Tcp::Handler> prototype_;
  std::shared_ptr<ServerShared> shared_;
  std::shared_ptr<WorkerMailbox> mailbox_;
  int sweep_timer_;
  std::unordered_map<std::uint64_t, OpenRequest> open_;
};

}  // namespace sycamorestall::http

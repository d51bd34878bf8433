#include "http/connection_worker.h"

#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <exception>
#include <functional>
#include <ostream>
#include <utility>
#include <vector>

#include "clock/system_clock.h"
#include "http/status.h"

namespace sycamorestall::http {

namespace {

using Pistache::Flags;
using Pistache::Aio::FdSet;
using Pistache::Polling::Event;
using Pistache::Polling::NotifyOn;
using Pistache::Polling::Tag;
using Pistache::Tcp::Peer;

constexpr const char* kConnectionData = "connection";
constexpr std::size_t kHeadRoom = 64 << 10;
constexpr std::chrono::milliseconds kSweepPeriod{500};
constexpr std::chrono::milliseconds kCloseGrace{2000};
constexpr const char* kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

// A response header of any name: Pistache writes only headers of its own kinds,
// and passes raw ones over.
class NamedHeader : public Pistache::Http::Header::Header {
 public:
  NamedHeader(std::string name, std::string value)
      : name_(std::move(name)), value_(std::move(value)) {}

  const char* name() const override { return name_.c_str(); }
  std::uint64_t hash() const override { return std::hash<std::string>{}(name_); }
  void write(std::ostream& stream) const override { stream << value_; }

 private:
  std::string name_;
  std::string value_;
};

Tag TagOf(int descriptor) { return Tag{static_cast<std::uint64_t>(descriptor)}; }

Event Copy(const FdSet::Entry& entry) {
  Event event{entry.getTag()};
  if (entry.isReadable()) {
    event.flags.setFlag(NotifyOn::Read);
  }
  if (entry.isWritable()) {
    event.flags.setFlag(NotifyOn::Write);
  }
  if (entry.isHangup()) {
    event.flags.setFlag(NotifyOn::Hangup);
  }
  return event;
}

Method Convert(Pistache::Http::Method method) {
  switch (method) {
    case Pistache::Http::Method::Get:
      return Method::kGet;
    case Pistache::Http::Method::Put:
      return Method::kPut;
    case Pistache::Http::Method::Post:
      return Method::kPost;
    case Pistache::Http::Method::Delete:
      return Method::kDelete;
    default:
      return Method::kOther;
  }
}

Request Convert(const Pistache::Http::Request& parsed) {
  Request request;
  request.method = Convert(parsed.method());
  request.path = parsed.resource();
  request.query = parsed.query().as_str();
  if (!request.query.empty()) {
    request.query.erase(0, 1);
  }
  for (const auto& [name, raw] : parsed.headers().rawList()) {
    request.headers.push_back({raw.name(), raw.value()});
  }
  return request;
}

// Parses the head at the front of the inbox; false when it is not valid.
bool ParseHead(Connection& connection) {
  using Pistache::Http::Private::State;
  connection.parser.reset();
  connection.parser.request = Pistache::Http::Request{};
  try {
    connection.parser.feed(connection.inbox.data(), connection.framing.head_bytes);
    const State state = connection.parser.parse();
    // The parser waits for more only when there is a body to come.
    return state == State::Done || connection.framing.body_bytes > 0;
  } catch (const std::exception&) {
    return false;
  }
}

std::shared_ptr<Connection> ConnectionOf(const std::shared_ptr<Peer>& peer,
                                         std::uint64_t max_body_bytes) {
  std::shared_ptr<void> data = peer->tryGetData(kConnectionData);
  if (!data) {
    data = std::make_shared<Connection>(max_body_bytes + kHeadRoom);
    peer->putData(kConnectionData, data);
  }
  return std::static_pointer_cast<Connection>(data);
}

}  // namespace

ConnectionWorker::ConnectionWorker(std::shared_ptr<Pistache::Tcp::Handler> handler,
                                   std::shared_ptr<ServerShared> shared)
    : Transport(handler),
      prototype_(std::move(handler)),
      shared_(std::move(shared)),
      mailbox_(std::make_shared<WorkerMailbox>()),
      sweep_timer_(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {}

ConnectionWorker::~ConnectionWorker() { close(sweep_timer_); }

std::shared_ptr<Pistache::Aio::Handler> ConnectionWorker::clone() const {
  return std::make_shared<ConnectionWorker>(prototype_->clone(), shared_);
}

void ConnectionWorker::registerPoller(Pistache::Polling::Epoll& poller) {
  Transport::registerPoller(poller);
  poller.addFd(mailbox_->descriptor(), Flags<NotifyOn>(NotifyOn::Read),
               TagOf(mailbox_->descriptor()));
  const timespec period{0, std::chrono::nanoseconds{kSweepPeriod}.count()};
  const itimerspec timer{period, period};
  timerfd_settime(sweep_timer_, 0, &timer, nullptr);
  poller.addFd(sweep_timer_, Flags<NotifyOn>(NotifyOn::Read), TagOf(sweep_timer_));
}

void ConnectionWorker::onReady(const FdSet& fds) {
  std::vector<Event> others;
  bool answers = false;
  bool sweep = false;
  for (std::size_t i = 0; i < fds.size(); ++i) {
    const FdSet::Entry& entry = fds.at(i);
    if (entry.getTag() == TagOf(mailbox_->descriptor())) {
      answers = true;
    } else if (entry.getTag() == TagOf(sweep_timer_)) {
      sweep = true;
    } else {
      others.push_back(Copy(entry));
    }
  }
  if (!others.empty()) {
    Transport::onReady(FdSet{std::move(others)});
  }
  if (answers) {
    DeliverAnswers();
  }
  if (sweep) {
    Sweep();
  }
}

void ConnectionWorker::TakeInput(const std::shared_ptr<Peer>& peer,
                                 Pistache::Http::Handler* handler, const char* bytes,
                                 std::size_t count) {
  const auto connection = ConnectionOf(peer, shared_->settings.max_body_bytes);
  connection->last_input = BootNow();
  if (connection->closing) {
    return;
  }
  connection->inbox.append(bytes, count);
  Advance(peer, handler, *connection);
}

void ConnectionWorker::Advance(const std::shared_ptr<Peer>& peer, Pistache::Http::Handler* handler,
                               Connection& connection) {
  if (connection.open_request != 0 || connection.closing) {
    return;
  }
  if (!connection.head_taken && !TakeHead(peer, handler, connection)) {
    return;
  }
  if (connection.inbox.size() >= connection.framing.body_bytes) {
    TakeWhole(peer, handler, connection);
  }
}

bool ConnectionWorker::TakeHead(const std::shared_ptr<Peer>& peer, Pistache::Http::Handler* handler,
                                Connection& connection) {
  const auto malformed = [&](std::uint16_t status, const char* why) {
    Refuse(peer, handler, connection, shared_->handler->Malformed(status, why));
    return false;
  };
  connection.framing = FrameRequest(connection.inbox);
  switch (connection.framing.verdict) {
    case Framing::Verdict::kIncomplete:
      return false;
    case Framing::Verdict::kBadLength:
      return malformed(kBadRequest, "the Content-Length is not valid");
    case Framing::Verdict::kLengthRequired:
      return malformed(kLengthRequired,
                       "a Content-Length is required, transfer codings are not accepted");
    case Framing::Verdict::kHeadTooLarge:
      return malformed(kHeadTooLarge, "the request's head is too large");
    case Framing::Verdict::kComplete:
      break;
  }
  if (connection.framing.body_bytes > shared_->settings.max_body_bytes) {
    return malformed(kTooLarge, "the body is larger than the limit");
  }
  if (!ParseHead(connection)) {
    return malformed(kBadRequest, "the request is not valid HTTP");
  }
  connection.inbox.erase(0, connection.framing.head_bytes);
  std::optional<Response> refusal = shared_->handler->CheckHead(Convert(connection.parser.request),
                                                                connection.framing.body_bytes);
  if (refusal) {
    Refuse(peer, handler, connection, std::move(*refusal));
    return false;
  }
  connection.head_taken = true;
  if (connection.framing.expects_continue &&
      connection.inbox.size() < connection.framing.body_bytes) {
    const std::string text{kContinue};
    asyncWrite(peer->fd(), Pistache::RawBuffer{text, text.size()});
    flush();
  }
  return true;
}

void ConnectionWorker::TakeWhole(const std::shared_ptr<Peer>& peer,
                                 Pistache::Http::Handler* handler, Connection& connection) {
  Request request = Convert(connection.parser.request);
  const std::size_t body_bytes = connection.framing.body_bytes;
  if (connection.inbox.size() == body_bytes) {
    request.body = std::exchange(connection.inbox, {});
  } else {
    request.body = connection.inbox.substr(0, body_bytes);
    connection.inbox.erase(0, body_bytes);
  }
  connection.head_taken = false;
  connection.open_request = shared_->next_number.fetch_add(1);
  open_[connection.open_request] = {peer, handler};
  shared_->handler->Handle(std::move(request), Responder{mailbox_, connection.open_request});
}

void ConnectionWorker::Refuse(const std::shared_ptr<Peer>& peer, Pistache::Http::Handler* handler,
                              Connection& connection, Response response) {
  response.close = true;
  connection.closing = true;
  connection.inbox.clear();
  Write(peer, handler, response);
  // Only this direction is closed: bytes still under way would otherwise reset
  // the connection and take the answer with them.
  ::shutdown(peer->fd(), SHUT_WR);
}

void ConnectionWorker::Write(const std::shared_ptr<Peer>& peer, Pistache::Http::Handler* handler,
                             const Response& response) {
  Pistache::Http::ResponseWriter writer(Pistache::Http::Version::Http11, this, handler, peer);
  writer.headers().add<Pistache::Http::Header::Connection>(
      response.close ? Pistache::Http::ConnectionControl::Close
                     : Pistache::Http::ConnectionControl::KeepAlive);
  if (!response.content_type.empty()) {
    writer.headers().add(std::make_shared<NamedHeader>("Content-Type", response.content_type));
  }
  for (const Header& header : response.headers) {
    writer.headers().add(std::make_shared<NamedHeader>(header.name, header.value));
  }
  writer.send(static_cast<Pistache::Http::Code>(response.status), response.body);
  flush();
}

void ConnectionWorker::DeliverAnswers() {
  for (WorkerMailbox::Letter& letter : mailbox_->TakeAll()) {
    const auto found = open_.find(letter.number);
    if (found == open_.end()) {
      continue;
    }
    const OpenRequest open = found->second;
    open_.erase(found);
    const std::shared_ptr<Peer> peer = open.peer.lock();
    if (!peer) {
      continue;
    }
    const auto connection = ConnectionOf(peer, shared_->settings.max_body_bytes);
    connection->open_request = 0;
    connection->last_input = BootNow();
    Write(peer, open.handler, letter.response);
    if (letter.response.close) {
      connection->closing = true;
      ::shutdown(peer->fd(), SHUT_WR);
    }
    Advance(peer, open.handler, *connection);
  }
}

void ConnectionWorker::TakeDisconnection(const std::shared_ptr<Peer>& peer) {
  const auto connection = ConnectionOf(peer, shared_->settings.max_body_bytes);
  if (connection->open_request == 0) {
    return;
  }
  open_.erase(connection->open_request);
  shared_->handler->CallerLeft(connection->open_request);
}

void ConnectionWorker::Sweep() {
  std::uint64_t expirations = 0;
  if (read(sweep_timer_, &expirations, sizeof expirations) < 0) {
    return;
  }
  const Instant now = BootNow();
  for (const auto& [descriptor, peer] : peers) {
    const std::shared_ptr<void> data = peer->tryGetData(kConnectionData);
    if (!data) {
      continue;
    }
    const auto connection = std::static_pointer_cast<Connection>(data);
    const bool arriving = connection->head_taken || !connection->inbox.empty();
    std::chrono::milliseconds patience = shared_->settings.idle_timeout;
    if (connection->closing) {
      patience = kCloseGrace;
    } else if (arriving) {
      patience = shared_->settings.arrival_timeout;
    }
    if (connection->open_request == 0 && now > connection->last_input + patience) {
      ::shutdown(peer->fd(), SHUT_RDWR);
    }
  }
}

}  // namespace sycamorestall::http

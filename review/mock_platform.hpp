// Stand-ins for the cases of the third review: the platform's store, targets, and the processes of
// the system under test. Standard library and nlohmann-json only; blocking sockets, one thread a
// connection, loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace mock {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();

inline double Seconds() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }

inline void SleepMs(int ms) { std::this_thread::sleep_for(milliseconds{ms}); }

// Writes record.txt: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Line(const std::string& text) {
    const std::lock_guard lock{mutex_};
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", Seconds());
    file_ << time << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
  return text;
}

// An HTTP message: a request or an answer.
struct Message {
  std::string start_line;
  std::string head;                            // With the start line and the empty line.
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  std::string Method() const { return start_line.substr(0, start_line.find(' ')); }
  std::string Target() const {
    const auto begin = start_line.find(' ') + 1;
    return start_line.substr(begin, start_line.find(' ', begin) - begin);
  }
  std::string Path() const { return Target().substr(0, Target().find('?')); }
  int Status() const { return start_line.size() < 12 ? 0 : std::atoi(start_line.c_str() + 9); }
};

inline void ParseHead(Message& message) {
  std::istringstream lines(message.head);
  std::string line;
  std::getline(lines, line);
  if (!line.empty() && line.back() == '\r') line.pop_back();
  message.start_line = line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    message.headers.emplace(ToLower(line.substr(0, colon)), value);
  }
}

// A TCP connection with the bytes that were received and not used.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  int descriptor() const { return descriptor_; }
  bool Send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const auto size = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) return false;
      sent += static_cast<std::size_t>(size);
    }
    return true;
  }
  // Receives some bytes; false at the end of the stream, an error or the time.
  bool Receive(int timeout_ms) {
    pollfd wait{descriptor_, POLLIN, 0};
    if (::poll(&wait, 1, timeout_ms) <= 0) {
      end_ = "timeout";
      return false;
    }
    char bytes[16384];
    const auto size = ::recv(descriptor_, bytes, sizeof bytes, 0);
    if (size <= 0) {
      end_ = size == 0 ? "closed" : std::strerror(errno);
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }
  // Receives a whole message; empty if the connection ends or the time is over before.
  std::optional<Message> ReceiveMessage(int timeout_ms, bool is_answer) {
    const auto until = Clock::now() + milliseconds{timeout_ms};
    const auto left = [&until] {
      return static_cast<int>(std::max<std::int64_t>(
          std::chrono::duration_cast<milliseconds>(until - Clock::now()).count(), 0));
    };
    for (;;) {
      std::size_t head_end = 0;
      while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!Receive(left())) return std::nullopt;
      }
      Message message;
      message.head = buffer_.substr(0, head_end + 4);
      ParseHead(message);
      buffer_.erase(0, head_end + 4);
      if (is_answer && message.Status() < 200) continue;
      const std::size_t length =
          std::strtoul(message.Header("content-length").c_str(), nullptr, 10);
      while (buffer_.size() < length) {
        if (!Receive(left())) return std::nullopt;
      }
      message.body = buffer_.substr(0, length);
      buffer_.erase(0, length);
      return message;
    }
  }
  // Why the last Receive() failed.
  const std::string& end() const { return end_; }
  std::string& buffer() { return buffer_; }
  void Close() {
    if (descriptor_ >= 0) ::close(descriptor_);
    descriptor_ = -1;
  }
  void Reset() {
    const linger option{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    Close();
  }

 private:
  int descriptor_;
  std::string buffer_;
  std::string end_;
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Connects to a port; null if that fails. A receive buffer of 0 is the system's.
inline std::shared_ptr<Connection> Connect(int port, int receive_buffer_bytes = 0) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer_bytes > 0) {
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
               sizeof receive_buffer_bytes);
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in address = Loopback(port);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(descriptor);
    return nullptr;
  }
  return std::make_shared<Connection>(descriptor);
}

// Binds a TCP port, a free one for 0; -1 if it is taken.
inline int Listen(int& port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(port);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(descriptor, 512) != 0) {
    ::close(descriptor);
    return -1;
  }
  socklen_t size = sizeof address;
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return descriptor;
}

// A port below the range of outgoing connections that nobody uses now.
inline int FreePort() {
  static std::mt19937 random{std::random_device{}()};
  std::uniform_int_distribution<int> pick{10'240, 32'000};
  for (;;) {
    int port = pick(random);
    const int descriptor = Listen(port);
    const int datagrams = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const bool free =
        descriptor >= 0 &&
        ::bind(datagrams, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(datagrams);
    if (descriptor >= 0) ::close(descriptor);
    if (free) return port;
  }
}

// Accepts connections and runs the handler of each on a thread of its own.
class Server {
 public:
  using Handler = std::function<void(std::shared_ptr<Connection>)>;

  explicit Server(Handler handler, int port = 0) : handler_(std::move(handler)), port_(port) {
    Start();
  }
  int port() const { return port_; }
  // Listens, at the earlier port if there was one and it is not to be another.
  void Start(bool other_port = false) {
    if (other_port) port_ = 0;
    const int descriptor = Listen(port_);
    if (descriptor < 0) throw std::runtime_error("cannot listen");
    const std::lock_guard lock{mutex_};
    descriptor_ = descriptor;
    std::thread([this, descriptor] { Accept(descriptor); }).detach();
  }
  // Refuses connections from now on and resets those that are open, as when the process ends.
  void Stop() {
    const std::lock_guard lock{mutex_};
    ::shutdown(descriptor_, SHUT_RDWR);
    ::close(descriptor_);
    descriptor_ = -1;
    for (const auto& each : connections_) {
      if (const auto connection = each.lock()) {
        const linger option{1, 0};
        setsockopt(connection->descriptor(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
        ::shutdown(connection->descriptor(), SHUT_RDWR);
      }
    }
    connections_.clear();
  }

 private:
  void Accept(int descriptor) {
    for (;;) {
      const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      const std::lock_guard lock{mutex_};
      if (descriptor_ != descriptor) {
        if (accepted >= 0) ::close(accepted);
        return;
      }
      if (accepted < 0) continue;
      const int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const auto connection = std::make_shared<Connection>(accepted);
      connections_.push_back(connection);
      std::thread([this, connection] { handler_(connection); }).detach();
    }
  }

  Handler handler_;
  std::mutex mutex_;
  std::vector<std::weak_ptr<Connection>> connections_;
  int port_ = 0;
  int descriptor_ = -1;
};

inline std::string EncodeBase64(const std::string& bytes) {
  static const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t value = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      value = value << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool padding = i + j > bytes.size();
      text += padding ? '=' : kDigits[value >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

inline std::string DecodePercent(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

inline std::string QueryField(const std::string& target, const std::string& name) {
  const auto question = target.find('?');
  std::istringstream fields(question == std::string::npos ? "" : target.substr(question + 1));
  for (std::string field; std::getline(fields, field, '&');) {
    const auto equals = field.find('=');
    if (equals != std::string::npos && field.substr(0, equals) == name) {
      return DecodePercent(field.substr(equals + 1));
    }
  }
  return "";
}

// The platform's store, after the page on its metadata store. Values are kept as base64 text.
class Store {
 public:
  Store() : server_([this](std::shared_ptr<Connection> connection) { Serve(*connection); }) {
    std::thread([this] { ExpireLeases(); }).detach();
  }
  int port() const { return server_.port(); }
  // Opens a port for one caller alone, so that its calls can be told from those of others.
  int PortFor(const std::string& caller) {
    const std::lock_guard lock{mutex_};
    auto& server = callers_[caller];
    if (!server) {
      server = std::make_unique<Server>(
          [this, caller](std::shared_ptr<Connection> connection) { Serve(*connection, caller); });
    }
    return server->port();
  }
  // The caller that last wrote under a condition.
  std::string LastConditionalWriter() {
    const std::lock_guard lock{mutex_};
    return last_conditional_writer_;
  }
  // How many watches of the caller were answered with events.
  int AnsweredWatches(const std::string& caller) {
    const std::lock_guard lock{mutex_};
    return answered_watches_[caller];
  }
  // Writes an item, as the operator or a target does.
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock{mutex_};
    ++revision_;
    Write(key, EncodeBase64(value), 0);
    changed_.notify_all();
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock{mutex_};
    ++revision_;
    Erase(key);
    changed_.notify_all();
  }
  bool Has(const std::string& key) {
    const std::lock_guard lock{mutex_};
    return items_.contains(key);
  }
  // While silent, the store neither executes nor answers calls.
  void SetSilent(bool silent) { silent_ = silent; }
  // While busy, the store answers 503 without executing the call.
  void SetBusy(bool busy) { busy_ = busy; }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    double ttl_s = 0;
    Clock::time_point until;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
    Item item;
  };

  // Writes an item with the present revision: all entries of a transaction have the same.
  void Write(const std::string& key, const std::string& value, std::uint64_t lease) {
    Item& item = items_[key];
    item.created = item.created == 0 ? revision_ : item.created;
    item.value = value;
    item.revision = revision_;
    item.lease = lease;
    events_.push_back({key, revision_, false, item});
  }
  void Erase(const std::string& key) {
    if (items_.erase(key) > 0) {
      events_.push_back({key, revision_, true, {}});
    }
  }
  static json ItemRow(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created_rev", item.created},
            {"lease", item.lease}};
  }
  void ExpireLeases() {
    for (;;) {
      SleepMs(20);
      const std::lock_guard lock{mutex_};
      std::vector<std::uint64_t> ended;
      for (const auto& [id, lease] : leases_) {
        if (Clock::now() > lease.until) ended.push_back(id);
      }
      for (const std::uint64_t id : ended) EndLease(id);
    }
  }
  void EndLease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == id) keys.push_back(key);
    }
    revision_ += keys.empty() ? 0 : 1;
    for (const std::string& key : keys) Erase(key);
    changed_.notify_all();
  }
  void Serve(Connection& connection, const std::string& caller = "") {
    while (auto request = connection.ReceiveMessage(600000, false)) {
      while (silent_) SleepMs(10);
      int status = 200;
      const json body = busy_ ? (status = 503, json::object()) : Execute(*request, caller, status);
      const std::string text = body.dump();
      if (!connection.Send("HTTP/1.1 " + std::to_string(status) +
                           " S\r\nContent-Type: application/json\r\nContent-Length: " +
                           std::to_string(text.size()) + "\r\n\r\n" + text)) {
        return;
      }
    }
  }
  json Execute(const Message& request, const std::string& caller, int& status) {
    const std::string path = request.Path();
    const std::string target = request.Target();
    std::unique_lock lock{mutex_};
    if (path == "/v1/kv-key") {
      const std::string key = QueryField(target, "key");
      if (!items_.contains(key)) {
        status = 404;
        return {{"store_revision", revision_}};
      }
      json row = ItemRow(key, items_[key]);
      row["store_revision"] = revision_;
      return row;
    }
    if (path == "/v1/kv-range") {
      const std::string prefix = QueryField(target, "prefix");
      const std::string after = QueryField(target, "after");
      json rows = json::array();
      bool more = false;
      for (const auto& [key, item] : items_) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after)) continue;
        if (rows.size() >= 500) {
          more = true;
          break;
        }
        rows.push_back(ItemRow(key, item));
      }
      return {{"items", rows}, {"has_more", more}, {"store_revision", revision_}};
    }
    if (path == "/v1/kv-watch") {
      const std::string prefix = QueryField(target, "prefix");
      const std::uint64_t after = std::stoull(QueryField(target, "after"));
      const auto until = Clock::now() + milliseconds{std::stoi(QueryField(target, "wait_ms"))};
      for (;;) {
        json rows = json::array();
        for (const Event& event : events_) {
          if (event.revision <= after || !event.key.starts_with(prefix)) continue;
          rows.push_back(
              event.removed
                  ? json{{"key", event.key}, {"revision", event.revision}, {"removed", true}}
                  : ItemRow(event.key, event.item));
        }
        if (!rows.empty() || Clock::now() >= until) {
          answered_watches_[caller] += rows.empty() ? 0 : 1;
          return {{"events", rows}, {"store_revision", revision_}};
        }
        changed_.wait_until(lock, until);
      }
    }
    if (path == "/v1/kv-txn") {
      const json body = json::parse(request.body);
      json conflicts = json::array();
      bool holds = true;
      for (const json& row : body.value("expect", json::array())) {
        const std::string key = row.at("key");
        const std::uint64_t revision = items_.contains(key) ? items_[key].revision : 0;
        if (items_.contains(key)) conflicts.push_back(ItemRow(key, items_[key]));
        holds = holds && revision == row.at("revision").get<std::uint64_t>();
      }
      if (!holds) {
        status = 412;
        return {{"items", conflicts}};
      }
      for (const json& row : body.value("puts", json::array())) {
        const std::uint64_t lease = row.value("lease", std::uint64_t{0});
        if (lease != 0 && !leases_.contains(lease)) {
          status = 404;
          return json::object();
        }
      }
      if (!body.value("expect", json::array()).empty()) last_conditional_writer_ = caller;
      ++revision_;
      for (const json& row : body.value("puts", json::array())) {
        Write(row.at("key"), row.at("value"), row.value("lease", std::uint64_t{0}));
      }
      for (const json& key : body.value("deletes", json::array())) Erase(key);
      changed_.notify_all();
      return {{"revision", revision_}};
    }
    if (path == "/v1/kv-lease") {
      const double ttl_s = json::parse(request.body).at("ttl_s_time");
      const std::uint64_t id = ++next_lease_;
      leases_[id] = {ttl_s, Clock::now() + milliseconds{static_cast<int>(ttl_s * 1000)}};
      return {{"lease", id}, {"ttl_s_time", ttl_s}};
    }
    const std::uint64_t id = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    if (!leases_.contains(id)) {
      status = 404;
      return json::object();
    }
    if (path.starts_with("/v1/kv-keep/")) {
      Lease& lease = leases_[id];
      lease.until = Clock::now() + milliseconds{static_cast<int>(lease.ttl_s * 1000)};
      return {{"lease", id}, {"ttl_s_time", lease.ttl_s}};
    }
    EndLease(id);
    return json::object();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::deque<Event> events_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 100;
  std::uint64_t next_lease_ = 0;
  std::map<std::string, std::unique_ptr<Server>> callers_;
  std::string last_conditional_writer_;
  std::map<std::string, int> answered_watches_;
  std::atomic<bool> silent_{false};
  std::atomic<bool> busy_{false};
  Server server_;
};

// A sound target: runs requests, applies grants and releases, and registers itself in the store.
class Target {
 public:
  // What a test may do in place of the usual answer; returns true if it has handled the request.
  using Override = std::function<bool(Connection&, const Message&)>;

  // A port of 0 is a free one.
  Target(std::string id, std::string service, std::string zone, bool sharded, Record& record,
         int port = 0)
      : id_(std::move(id)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        sharded_(sharded),
        record_(record),
        server_([this](std::shared_ptr<Connection> connection) { Serve(connection); }, port) {}

  const std::string& id() const { return id_; }
  int port() const { return server_.port(); }
  std::string Entry() {
    return json{{"service", service_},
                {"address", "127.0.0.1:" + std::to_string(port())},
                {"zone", zone_},
                {"version", "v1"},
                {"max_concurrency", slots},
                {"state", draining ? "draining" : "ready"},
                {"warmup_left_s", 0.0},
                {"seq", ++sequence_},
                {"born", born.load()}}
        .dump();
  }
  // Writes its entry at every heartbeat from now on.
  void Register(Store& store) {
    std::thread([this, &store] {
      for (;;) {
        if (registered) store.Put("servers/" + id_, Entry());
        SleepMs(870);
      }
    }).detach();
  }
  // Ends the process, as a crash does: it holds and knows nothing any more.
  void Crash() {
    registered = false;
    server_.Stop();
    const std::lock_guard lock{mutex_};
    std::fill(until_.begin(), until_.end(), Clock::time_point{});
    std::fill(fences_.begin(), fences_.end(), 0);
  }
  // Starts again under the same id.
  void Restart(std::int64_t born_ms, bool other_port = false) {
    born = born_ms;
    sequence_ = 0;
    server_.Start(other_port);
    registered = true;
  }
  std::map<std::string, int> Runs() {
    const std::lock_guard lock{mutex_};
    return runs_;
  }

  // Whether it holds a grant of the key that has not run out.
  bool Holds(int key) {
    const std::lock_guard lock{mutex_};
    return until_[key] > Clock::now();
  }
  // When it began to run each request.
  std::map<std::string, Clock::time_point> RunTimes() {
    const std::lock_guard lock{mutex_};
    return run_times_;
  }

  // The Unix millisecond of its start.
  std::atomic<std::int64_t> born{1700000000000};
  int slots = 6;
  int work_ms = 20;
  std::size_t answer_bytes = 400;
  std::atomic<bool> registered{true};
  std::atomic<bool> draining{false};
  // Whether it leaves without reporting that.
  std::atomic<bool> leaving{false};
  // Whether its next answer to a release has other bytes where the handover belongs.
  std::atomic<bool> spoil_next_handover{false};
  Override before_run;

 private:
  struct Grant {
    int from = 0;
    int to = 0;
    Clock::time_point until;
  };

  static void Answer(Connection& connection, int status, const std::string& headers,
                     const std::string& body) {
    connection.Send("HTTP/1.1 " + std::to_string(status) + " T\r\n" + headers +
                    "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  void Serve(const std::shared_ptr<Connection>& connection) {
    while (auto request = connection->ReceiveMessage(600000, false)) {
      if (request->Path() == "/v1/grant" || request->Path() == "/v1/release") {
        HandleOrder(*connection, *request);
      } else if (!HandleRequest(*connection, *request)) {
        return;
      }
    }
  }
  void HandleOrder(Connection& connection, const Message& request) {
    const std::string expected = request.Header("x-expect-instance");
    if (!expected.empty() && expected != id_) {
      Answer(connection, 421, "", "");
      return;
    }
    const json body = json::parse(request.body);
    const int from = body.at("from");
    const int to = body.at("to");
    const std::int64_t fence = body.at("fence");
    std::unique_lock lock{mutex_};
    if (request.Path() == "/v1/release") {
      for (int key = from; key <= to; ++key) until_[key] = {};
      lock.unlock();
      const bool spoiled = spoil_next_handover.exchange(false);
      record_.Line("target " + id_ + " releases " + std::to_string(from) + "-" +
                   std::to_string(to) + (spoiled ? " spoiled" : ""));
      Answer(connection, 200,
             std::string{"X-Handover: "} +
                 (spoiled ? "5c0e7a21\xd9\x4b\x36\xf8" : "5c0e7a21d94b36f8") + "\r\n",
             "");
      return;
    }
    for (int key = from; key <= to; ++key) {
      if (fences_[key] > fence) {
        lock.unlock();
        Answer(connection, 409, "", "");
        return;
      }
    }
    const auto until =
        Clock::now() + milliseconds{static_cast<int>(body.at("hold_s").get<double>() * 1000)};
    for (int key = from; key <= to; ++key) {
      fences_[key] = fence;
      until_[key] = until;
    }
    lock.unlock();
    record_.Line("target " + id_ + " granted " + std::to_string(from) + "-" + std::to_string(to) +
                 " fence=" + std::to_string(fence));
    Answer(connection, 200, "", "");
  }
  bool HandleRequest(Connection& connection, const Message& request) {
    const std::string request_id = request.Header("x-request-id");
    const std::string echo = "X-Request-Id: " + request_id + "\r\n";
    const std::string expected = request.Header("x-expect-instance");
    const bool mine = expected.empty() || expected == id_;
    {
      const std::lock_guard lock{mutex_};
      const std::string key = request.Header("x-shard-key");
      const bool holds =
          !sharded_ ||
          (!key.empty() && until_[std::strtoul(key.c_str(), nullptr, 10) & 65535] > Clock::now());
      if (!mine || !holds) {
        record_.Line("target " + id_ + " 421 id=" + request_id);
        Answer(connection, 421, echo + "X-Not-Executed: 1\r\n", "");
        return true;
      }
      ++runs_[request_id];
      run_times_.emplace(request_id, Clock::now());
    }
    record_.Line("target " + id_ + " runs " + request.start_line + " id=" + request_id +
                 " body=" + std::to_string(request.body.size()));
    if (before_run && before_run(connection, request)) return false;
    SleepMs(work_ms);
    const bool closes = leaving || draining;
    Answer(connection, 200,
           echo + "X-Server-Stamp: 3e1b.07.5a2.600.0." + id_ + "\r\n" +
               (closes ? "Connection: close\r\n" : ""),
           std::string(answer_bytes, 'a'));
    return !closes;
  }

  const std::string id_;
  const std::string service_;
  const std::string zone_;
  const bool sharded_;
  Record& record_;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::map<std::string, Clock::time_point> run_times_;
  std::vector<std::int64_t> fences_ = std::vector<std::int64_t>(65536);
  std::vector<Clock::time_point> until_ = std::vector<Clock::time_point>(65536);
  std::atomic<int> sequence_{0};
  Server server_;
};

// Fills in a template of settings: values, and sections that appear if there is a value.
inline std::string Render(std::string text, const std::map<std::string, std::string>& values) {
  for (auto begin = text.find("{{#"); begin != std::string::npos; begin = text.find("{{#")) {
    const auto name_end = text.find("}}", begin);
    const std::string name = text.substr(begin + 3, name_end - begin - 3);
    const std::string closing = "{{/" + name + "}}";
    const auto end = text.find(closing, name_end);
    const std::string inner = text.substr(name_end + 2, end - name_end - 2);
    text.replace(begin, end + closing.size() - begin, values.contains(name) ? inner : "");
  }
  for (auto begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{")) {
    const auto end = text.find("}}", begin);
    const auto value = values.find(text.substr(begin + 2, end - begin - 2));
    text.replace(begin, end + 2 - begin, value == values.end() ? "" : value->second);
  }
  return text;
}

// The processes that were started and not reaped.
inline std::set<pid_t>& StartedProcesses() {
  static std::set<pid_t> processes;
  return processes;
}

// Ends all processes that were started, prints the verdict and ends the program.
[[noreturn]] inline void Finish(int status, const std::string& verdict) {
  for (const pid_t process : StartedProcesses()) {
    ::kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  }
  std::cout << verdict << std::endl;
  std::_Exit(status);
}

// A process of the role of the deploy file, run from the top of the repository.
class Daemon {
 public:
  Daemon(const std::string& name, const std::string& zone, int store_port,
         const std::string& folder, const std::string& cpu_share = "0.2")
      : name_(name), settings_(folder + "/" + name + ".toml"), log_(folder + "/" + name + ".log") {
    callers_ = FreePort();
    ready_ = FreePort();
    const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    std::ifstream file("deploy/router.toml.in");
    std::stringstream text;
    text << file.rdbuf();
    const std::map<std::string, std::string> values{
        {"node_name", name},
        {"zone", zone},
        {"ip", "127.0.0.1"},
        {"listen.front", address(callers_)},
        {"listen.ready", address(ready_)},
        {"listen.control", address(FreePort())},
        {"internal_ports.0", std::to_string(FreePort())},
        {"limits.cpu_share", cpu_share},
        {"limits.memory_mb", "260"},
        {"limits.max_fds", "4100"},
        {"bounds.grace_s", "6"},
        {"bounds.retry_budget_ratio", "0.2"},
        {"bounds.retry_slack", "56"},
        {"bounds.budget_window_s", "10"},
        {"bounds.hold_max_s", "10"},
        {"platform.address", address(store_port)}};
    std::ofstream(settings_) << Render(text.str(), values);
  }
  ~Daemon() { Kill(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  int port() const { return callers_; }
  const std::string& log() const { return log_; }
  void Start() {
    std::string program = "target/sycamorestall";
    std::string role = "route";
    char* arguments[] = {program.data(), role.data(), nullptr};
    std::string settings = "SYCAMORESTALL_CONFIG=" + settings_;
    std::string path = std::string{"PATH="} + std::getenv("PATH");
    char* environment[] = {settings.data(), path.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&process_, program.c_str(), &actions, nullptr, arguments, environment) != 0) {
      throw std::runtime_error("cannot start " + program);
    }
    posix_spawn_file_actions_destroy(&actions);
    StartedProcesses().insert(process_);
  }
  void Signal(int number) const {
    if (process_ > 0) ::kill(process_, number);
  }
  // Whether the process has ended; reaps it.
  bool Ended() {
    if (process_ > 0 && waitpid(process_, &status_, WNOHANG) == process_) {
      StartedProcesses().erase(process_);
      process_ = 0;
    }
    return process_ == 0;
  }
  int status() const { return status_; }
  void Kill() {
    if (process_ > 0) {
      ::kill(process_, SIGKILL);
      waitpid(process_, &status_, 0);
      StartedProcesses().erase(process_);
      process_ = 0;
    }
  }
  // Whether the platform would send consumers: two hundred to GET /v1/ready.
  bool IsReady() const {
    const auto connection = Connect(ready_);
    if (!connection) return false;
    connection->Send("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
    const auto answer = connection->ReceiveMessage(1000, true);
    return answer && answer->Status() == 200;
  }
  bool WaitUntilReady(int seconds = 20) const {
    for (int i = 0; i < seconds * 20; ++i) {
      if (IsReady()) return true;
      SleepMs(50);
    }
    return false;
  }

 private:
  const std::string name_;
  const std::string settings_;
  const std::string log_;
  int callers_ = 0;
  int ready_ = 0;
  pid_t process_ = 0;
  int status_ = 0;
};

inline std::string RequestBytes(const std::string& method, const std::string& path,
                                const std::string& id, int deadline_ms,
                                const std::string& body = "", const std::string& headers = "") {
  std::string bytes = method + " " + path +
                      " HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: " + id +
                      "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + headers;
  if (method != "GET") bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return bytes + "\r\n" + body;
}

inline json Route(const std::string& name, const std::string& prefix, const std::string& kind,
                  const std::string& service, double timeout_s, double aim_s) {
  return {{"name", name},  {"prefix", prefix},       {"kind", kind},   {"service", service},
          {"priority", 1}, {"timeout_s", timeout_s}, {"aim_s", aim_s}, {"max_attempts", 3}};
}

inline std::string Config(int version, const json& routes, const json& services) {
  return json{{"version", version},
              {"hosts", {{{"host", "hulo84.example"}, {"paths", routes}}}},
              {"services", services},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 1048576},
                {"header_timeout_s", 3.0},
                {"idle_timeout_s", 10.0}}}}
      .dump();
}

// Whether the case runs with its disruption.
inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string{trouble} != "0";
}

}  // namespace mock

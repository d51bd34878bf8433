// Small blocking HTTP/1.1 helpers for the stand-ins of the second review: POSIX sockets only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void SleepMs(int ms) { std::this_thread::sleep_for(milliseconds{ms}); }

struct Message {
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  bool Has(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return true;
      }
    }
    return false;
  }
  // The method of a request, or the version of an answer.
  std::string FirstWord() const { return start.substr(0, start.find(' ')); }
  // The target of a request, or the status of an answer.
  std::string SecondWord() const {
    const std::size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
  }
  int Status() const { return std::atoi(SecondWord().c_str()); }
};

// A connected socket that buffers what it reads.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {
    const int one = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Connects to a loopback port; `receive_buffer` of 0 leaves the system's choice.
  static std::unique_ptr<Connection> To(std::uint16_t port, int receive_buffer = 0) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
      setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      ::close(descriptor);
      return nullptr;
    }
    return std::make_unique<Connection>(descriptor);
  }

  bool Write(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t size =
          send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(size);
    }
    return true;
  }

  // Waits for input; false if none came in time.
  bool Wait(int timeout_ms) const {
    pollfd poll_entry{descriptor_, POLLIN, 0};
    return poll(&poll_entry, 1, timeout_ms) > 0;
  }

  // Reads what is there; false at the end of the stream, at an error or if nothing came in time.
  bool ReadSome(int timeout_ms) {
    if (!Wait(timeout_ms)) {
      return false;
    }
    if (read_pause_ms_ > 0) {
      SleepMs(read_pause_ms_);
    }
    char bytes[16384];
    const ssize_t size = recv(descriptor_, bytes, std::min(sizeof bytes, read_bytes_), 0);
    if (size <= 0) {
      ended_ = true;
      reset_ = size < 0;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(size));
    received_ += static_cast<std::size_t>(size);
    return true;
  }

  // From now on reads at most so many bytes, each time after a pause.
  void ReadSlowly(std::size_t bytes, int pause_ms) {
    read_bytes_ = bytes;
    read_pause_ms_ = pause_ms;
  }

  // Reads one message whose body has a length; empty if it did not come whole. An answer to a
  // HEAD request has no body, whatever length it names.
  std::optional<Message> Read(int timeout_ms, bool is_head_answer = false) {
    const auto end = Clock::now() + milliseconds{timeout_ms};
    std::size_t head_end = 0;
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadSome(Left(end))) {
        return std::nullopt;
      }
    }
    Message message;
    std::size_t at = buffer_.find("\r\n");
    message.start = buffer_.substr(0, at);
    while (at < head_end) {
      at += 2;
      const std::size_t line_end = buffer_.find("\r\n", at);
      const std::string line = buffer_.substr(at, line_end - at);
      const std::size_t colon = line.find(':');
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      message.headers.emplace_back(line.substr(0, colon), line.substr(value));
      at = line_end;
    }
    buffer_.erase(0, head_end + 4);
    const std::size_t length =
        is_head_answer ? 0 : std::strtoul(message.Header("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
      if (!ReadSome(Left(end))) {
        return std::nullopt;
      }
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return message;
  }

  // Whether the peer has closed the connection.
  bool HasPeerLeft() const {
    char byte = 0;
    const ssize_t size = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void Close() {
    if (descriptor_ >= 0) {
      ::close(descriptor_);
      descriptor_ = -1;
    }
  }
  void Shutdown() const { shutdown(descriptor_, SHUT_RDWR); }

  const std::string& buffered() const { return buffer_; }
  std::size_t received() const { return received_; }
  bool ended() const { return ended_; }
  bool reset() const { return reset_; }

 private:
  static int Left(Clock::time_point end) {
    const auto left = std::chrono::duration_cast<milliseconds>(end - Clock::now()).count();
    return left > 0 ? static_cast<int>(left) : 0;
  }

  int descriptor_;
  std::string buffer_;
  std::size_t received_ = 0;
  bool ended_ = false;
  bool reset_ = false;
  std::size_t read_bytes_ = SIZE_MAX;
  int read_pause_ms_ = 0;
};

// Accepts connections on a free loopback port, each on a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(Connection&)>;

  explicit Listener(Handler handler) : handler_(std::move(handler)) {
    descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(descriptor_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(descriptor_, 256) != 0) {
      throw std::runtime_error("cannot listen");
    }
    getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~Listener() { Stop(); }

  std::uint16_t port() const { return port_; }
  bool stopping() const { return stopping_; }

  // Ends all connections and listens no more.
  void Stop() {
    if (stopping_.exchange(true)) {
      return;
    }
    shutdown(descriptor_, SHUT_RDWR);
    acceptor_.join();
    ::close(descriptor_);
    {
      const std::lock_guard lock{mutex_};
      for (Connection* each : open_) {
        each->Shutdown();
      }
    }
    for (std::thread& each : threads_) {
      each.join();
    }
  }

 private:
  void Accept() {
    while (!stopping_) {
      const int descriptor = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) {
        if (stopping_) {
          return;
        }
        SleepMs(5);
        continue;
      }
      threads_.emplace_back([this, descriptor] {
        Connection connection{descriptor};
        {
          const std::lock_guard lock{mutex_};
          if (stopping_) {
            return;
          }
          open_.insert(&connection);
        }
        handler_(connection);
        const std::lock_guard lock{mutex_};
        open_.erase(&connection);
      });
    }
  }

  Handler handler_;
  int descriptor_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::set<Connection*> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

inline std::string FormatAnswer(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace review

// A small blocking HTTP/1.1 server and client over loopback sockets, for the stand-ins.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline double SecondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// A request or an answer.
struct Message {
  // The request line or the status line.
  std::string start_line;
  // Header names are in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  int Status() const { return start_line.size() > 12 ? std::atoi(start_line.c_str() + 9) : 0; }
  std::string Method() const { return start_line.substr(0, start_line.find(' ')); }
  std::string Target() const {
    const std::size_t begin = start_line.find(' ') + 1;
    return start_line.substr(begin, start_line.find(' ', begin) - begin);
  }
};

// A connected socket with a read buffer.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {
    const int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Connects to a port; null if that fails.
  static std::unique_ptr<Connection> Open(std::uint16_t port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      ::close(socket);
      return nullptr;
    }
    return std::make_unique<Connection>(socket);
  }

  bool Write(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        if (sent < 0 && errno == EINTR) continue;
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  // Reads a message; empty at the end of the connection, or after the timeout.
  std::optional<Message> Read(std::optional<Clock::time_point> deadline = {}) {
    std::size_t head_end;
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(deadline)) return std::nullopt;
    }
    Message message;
    std::size_t line_begin = 0;
    bool first = true;
    while (line_begin < head_end) {
      const std::size_t line_end = std::min(buffer_.find("\r\n", line_begin), head_end);
      const std::string line = buffer_.substr(line_begin, line_end - line_begin);
      line_begin = line_end + 2;
      if (first) {
        message.start_line = line;
        first = false;
        continue;
      }
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      for (char& each : name) each = static_cast<char>(std::tolower(each));
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      message.headers[name] = line.substr(value);
    }
    buffer_.erase(0, head_end + 4);
    const std::string length = message.Header("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoull(length);
    while (buffer_.size() < size) {
      if (!Fill(deadline)) return std::nullopt;
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return message;
  }

  // Whether the last Read() ended because the peer closed or reset the connection.
  bool ended() const { return ended_; }
  // Whether the peer has closed the connection, or sent something.
  bool HasInput() const {
    pollfd entry{socket_, POLLIN, 0};
    return ::poll(&entry, 1, 0) > 0;
  }
  void Close() {
    if (socket_ >= 0) ::close(std::exchange(socket_, -1));
  }
  // Closes with a reset, as the kernel does for a process that crashes with unread input.
  void Reset() {
    const linger now{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Close();
  }

 private:
  bool Fill(std::optional<Clock::time_point> deadline) {
    char bytes[65536];
    for (;;) {
      int wait_ms = -1;
      if (deadline) {
        const auto left = std::chrono::duration_cast<milliseconds>(*deadline - Clock::now());
        if (left.count() <= 0) return false;
        wait_ms = static_cast<int>(left.count());
      }
      pollfd entry{socket_, POLLIN, 0};
      const int ready = ::poll(&entry, 1, wait_ms);
      if (ready < 0 && errno == EINTR) continue;
      if (ready == 0) return false;
      const ssize_t size = ::recv(socket_, bytes, sizeof bytes, 0);
      if (size <= 0) {
        ended_ = true;
        return false;
      }
      buffer_.append(bytes, static_cast<std::size_t>(size));
      return true;
    }
  }

  int socket_;
  bool ended_ = false;
  std::string buffer_;
};

inline std::string Answer(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts connections on a loopback port, each served by a thread of its own.
class Server {
 public:
  // Serves one connection until it ends.
  using Handler = std::function<void(Connection&)>;

  // Port 0 takes a free one.
  Server(std::uint16_t port, Handler handler) : handler_(std::move(handler)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = Loopback(port);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(listener_, 1024) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    socklen_t size = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }
  std::uint16_t port() const { return port_; }

 private:
  void Accept() {
    for (;;) {
      const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        Sleep(0.01);
        continue;
      }
      std::thread([this, socket] {
        Connection connection{socket};
        handler_(connection);
      }).detach();
    }
  }

  Handler handler_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
};

// Free ports below the range of outgoing connections.
inline std::vector<std::uint16_t> PickFreePorts(std::size_t count) {
  std::vector<std::uint16_t> ports;
  std::vector<int> sockets;
  unsigned state = std::random_device{}();
  while (ports.size() < count) {
    state = state * 1664525U + 1013904223U;
    const auto port = static_cast<std::uint16_t>(10240 + (state >> 12) % 20000);
    const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    if (bind(tcp, generic, sizeof address) == 0 && bind(udp, generic, sizeof address) == 0) {
      ports.push_back(port);
    }
    sockets.push_back(tcp);
    sockets.push_back(udp);
  }
  for (const int each : sockets) ::close(each);
  return ports;
}

}  // namespace standin

#include "fakes/scripted_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string_view>
#include <utility>

namespace sycamorestall::fakes {

namespace {

namespace asio = boost::asio;

std::string FindHeaderValue(const std::string& head, const std::string& name) {
  const std::size_t at = head.find(name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + name.size() + 2;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::size_t NumberAtEndOfPath(const std::string& head) {
  const std::string path = head.substr(0, head.find(" HTTP/"));
  return std::stoul(path.substr(path.rfind('/') + 1));
}

// Resets the connection, though a duplicate of its handle stays open.
void Reset(asio::ip::tcp::socket& socket) {
  sockaddr unspecified{};
  unspecified.sa_family = AF_UNSPEC;
  static_cast<void>(::connect(socket.native_handle(), &unspecified, sizeof unspecified));
}

std::string InsertId(std::string bytes, const std::string& id) {
  constexpr std::string_view kMark = "@ID@";
  for (std::size_t at = bytes.find(kMark); at != std::string::npos; at = bytes.find(kMark, at)) {
    bytes.replace(at, kMark.size(), id);
    at += id.size();
  }
  return bytes;
}

}  // namespace

ScriptedServer::ScriptedServer(Script script)
    : script_(std::move(script)),
      acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
      thread_([this] { AcceptConnections(); }) {}

ScriptedServer::~ScriptedServer() {
  ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  thread_.join();
  for (const int socket : sockets_) {
    ::shutdown(socket, SHUT_RDWR);
  }
  for (std::thread& connection : connections_) {
    connection.join();
  }
  for (const int socket : sockets_) {
    ::close(socket);
  }
}

NetworkAddress ScriptedServer::address() const {
  return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

void ScriptedServer::AcceptConnections() {
  for (int number = 0;; ++number) {
    boost::system::error_code error;
    asio::ip::tcp::socket socket{context_};
    acceptor_.accept(socket, error);
    if (error) {
      return;
    }
    // The destructor shuts down this duplicate handle to unblock the connection's thread.
    sockets_.push_back(::dup(socket.native_handle()));
    connections_.emplace_back(
        [this, number, moved = std::make_shared<asio::ip::tcp::socket>(std::move(socket))] {
          ServeConnection(std::move(*moved), number < script_.answered_connections);
        });
  }
}

void ScriptedServer::SendRepeatedBytes(asio::ip::tcp::socket& socket) {
  ++endless_connections_;
  boost::system::error_code error;
  while (!error) {
    asio::write(socket, asio::buffer(script_.repeated_bytes), error);
  }
  --endless_connections_;
}

void ScriptedServer::ServeConnection(asio::ip::tcp::socket socket, bool send_answers) {
  asio::streambuf buffer;
  std::optional<std::string> earlier_id;
  for (;;) {
    boost::system::error_code error;
    const std::size_t head_size = asio::read_until(socket, buffer, "\r\n\r\n", error);
    if (error) {
      return;
    }
    const std::string head(static_cast<const char*>(buffer.data().data()), head_size);
    buffer.consume(head_size);
    ++requests_;
    const std::string content_length = FindHeaderValue(head, "Content-Length");
    if (!script_.answers_before_body && !content_length.empty()) {
      const std::size_t body_size = std::stoul(content_length);
      while (buffer.size() < body_size && !error) {
        buffer.commit(socket.read_some(buffer.prepare(body_size), error));
      }
      buffer.consume(body_size);
    }
    if (!send_answers) {
      continue;
    }
    std::this_thread::sleep_for(script_.service_time);
    if (!script_.late_bytes.empty() && earlier_id) {
      asio::write(socket, asio::buffer(InsertId(script_.late_bytes, *earlier_id)), error);
      std::this_thread::sleep_for(script_.service_time);
    }
    earlier_id = FindHeaderValue(head, "X-Request-Id");
    std::string bytes = InsertId(script_.bytes, *earlier_id);
    if (script_.cuts_answers) {
      bytes.resize(std::min(bytes.size(), NumberAtEndOfPath(head)));
    }
    asio::write(socket, asio::buffer(bytes), error);
    if (!script_.trailing_bytes.empty()) {
      std::this_thread::sleep_for(script_.service_time);
      asio::write(socket, asio::buffer(InsertId(script_.trailing_bytes, *earlier_id)), error);
    }
    if (!script_.repeated_bytes.empty()) {
      SendRepeatedBytes(socket);
      return;
    }
    if (script_.end == ScriptEnd::kReset) {
      Reset(socket);
      return;
    }
    if (script_.end != ScriptEnd::kKeep) {
      socket.shutdown(asio::socket_base::shutdown_both, error);
      socket.close(error);
      return;
    }
  }
}

}  // namespace sycamorestall::fakes

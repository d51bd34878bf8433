#include "http/http_server.h"

#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "fakes/delayed_runner.h"

using boost::asio::ip::tcp;
using sycamorestall::fakes::DelayedRunner;
using sycamorestall::http::HttpServer;
using sycamorestall::http::Request;
using sycamorestall::http::RequestHandler;
using sycamorestall::http::Responder;
using sycamorestall::http::Response;
using sycamorestall::http::ServerSettings;

namespace {

// Answers each request with its own path, 0 to 20 ms later, from another thread.
class DelayedEcho : public RequestHandler {
 public:
  void Handle(Request request, Responder responder) override {
    Response response;
    response.body = request.path + ":" + std::to_string(request.body.size());
    runner_.RunAfter(std::chrono::microseconds{responder.number() * 7919 % 20000},
                     [responder, response] { responder.Send(response); });
  }

  void HandleCallerDisconnect(std::uint64_t) override { ++disconnects_; }
  int disconnects() const { return disconnects_; }

 private:
  DelayedRunner runner_;
  std::atomic<int> disconnects_{0};
};

// A connection that sends raw bytes and reads raw responses.
class RawCaller {
 public:
  explicit RawCaller(std::uint16_t port) : socket_(context_) {
    socket_.connect({boost::asio::ip::address_v4::loopback(), port});
  }

  void Write(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
  }

  // Reads the head of one response.
  std::string ReadHead() {
    boost::system::error_code error;
    const std::size_t size =
        boost::asio::read_until(socket_, boost::asio::dynamic_buffer(unread_), "\r\n\r\n", error);
    std::string head = unread_.substr(0, size);
    unread_.erase(0, size);
    return head;
  }

  // Reads one response; empty if the connection was closed before the end of its head.
  std::string ReadResponse() {
    boost::system::error_code error;
    boost::asio::read_until(socket_, boost::asio::dynamic_buffer(unread_), "\r\n\r\n", error);
    const std::size_t head_end = unread_.find("\r\n\r\n");
    const std::size_t length_header = unread_.find("Content-Length: ");
    if (head_end == std::string::npos || length_header == std::string::npos) {
      return {};
    }
    const std::size_t response_size = head_end + 4 + std::stoul(unread_.substr(length_header + 16));
    while (unread_.size() < response_size && !error) {
      boost::asio::read(socket_, boost::asio::dynamic_buffer(unread_),
                        boost::asio::transfer_exactly(response_size - unread_.size()), error);
    }
    std::string response = unread_.substr(0, response_size);
    unread_.erase(0, response_size);
    return response;
  }

  void Close() { socket_.close(); }

 private:
  boost::asio::io_context context_;
  tcp::socket socket_;
  std::string unread_;
};

std::string Get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"; }

}  // namespace

TEST_CASE("every caller gets its own complete answer while half of them disconnect early") {
  constexpr int kCallers = 48;
  constexpr int kRequestsPerCaller = 120;
  DelayedEcho echo;
  HttpServer server{ServerSettings{}, echo};
  server.Start();
  std::atomic<int> correct{0};
  std::atomic<int> wrong{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      std::mt19937 random(static_cast<unsigned>(i));
      for (int request = 0; request < kRequestsPerCaller; ++request) {
        const std::string path = "/" + std::to_string(i) + "-" + std::to_string(request);
        RawCaller caller{server.port()};
        caller.Write(Get(path));
        if (i % 2 == 0) {
          std::this_thread::sleep_for(std::chrono::milliseconds{random() % 20});
          caller.Close();
          continue;
        }
        const std::string response = caller.ReadResponse();
        ++(response.ends_with("\r\n\r\n" + path + ":0") ? correct : wrong);
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(correct == kCallers / 2 * kRequestsPerCaller);
  CHECK(wrong == 0);
  CHECK(echo.disconnects() > 0);
  server.Stop();
}

TEST_CASE("pipelined requests are answered in order") {
  DelayedEcho echo;
  HttpServer server{ServerSettings{}, echo};
  server.Start();
  RawCaller caller{server.port()};
  caller.Write(
      Get("/1") + Get("/2") + "POST /3 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc" +
      "POST /4 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n" +
      Get("/5"));
  for (const char* body : {"/1:0", "/2:0", "/3:3", "/4:5", "/5:0"}) {
    CHECK(caller.ReadResponse().ends_with(std::string("\r\n\r\n") + body));
  }
  server.Stop();
}

TEST_CASE("malformed and oversized requests are answered with the matching status") {
  struct Row {
    const char* name;
    std::string bytes;
    const char* status;
  };
  const Row rows[] = {
      {"garbage", "xyzzy\r\n\r\n", " 400 "},
      {"negative length", "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", " 400 "},
      {"huge length", "POST / HTTP/1.1\r\nContent-Length: 18446744073709551615\r\n\r\n", " 413 "},
      {"length over the limit", "POST / HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n", " 413 "},
      {"a chunk without a size", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
       " 400 "},
      {"chunks over the limit", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n900000\r\n",
       " 413 "},
      {"endless head", "GET / HTTP/1.1\r\nA: " + std::string(20000, 'a'), " 431 "},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    DelayedEcho echo;
    HttpServer server{ServerSettings{}, echo};
    server.Start();
    RawCaller caller{server.port()};
    caller.Write(row.bytes);
    CHECK(caller.ReadResponse().find(row.status) != std::string::npos);
    server.Stop();
  }
}

TEST_CASE("a request with Expect: 100-continue gets a 100 response") {
  DelayedEcho echo;
  HttpServer server{ServerSettings{}, echo};
  server.Start();
  RawCaller caller{server.port()};
  caller.Write("POST /a HTTP/1.1\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
  CHECK(caller.ReadHead().find(" 100 ") != std::string::npos);
  caller.Write("abc");
  CHECK(caller.ReadResponse().ends_with("\r\n\r\n/a:3"));
  server.Stop();
}

TEST_CASE("the connection is closed if a request stays incomplete") {
  DelayedEcho echo;
  ServerSettings settings;
  settings.arrival_timeout = std::chrono::milliseconds{300};
  HttpServer server{settings, echo};
  server.Start();
  RawCaller caller{server.port()};
  caller.Write("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
  CHECK(caller.ReadResponse().empty());
  server.Stop();
}

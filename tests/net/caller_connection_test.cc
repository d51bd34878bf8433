#include <doctest/doctest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

#include "clock/system_clock.h"
#include "net/caller_listener.h"
#include "net/http_format.h"

using namespace sycamorestall;  // NOLINT

namespace {

namespace asio = boost::asio;

// Keeps the requests that come, to be answered by the test.
class Collector : public CallerHandler {
 public:
  void TakeRequest(std::shared_ptr<CallerExchange> exchange) override {
    exchanges.push_back(std::move(exchange));
  }
  CallerLimits Limits() const override { return limits; }
  bool Closing() const override { return closing; }

  std::vector<std::shared_ptr<CallerExchange>> exchanges;
  CallerLimits limits;
  bool closing = false;
};

// A listener and one caller's socket in one loop.
class Link {
 public:
  Link() : listener_(context_, Free(), collector), socket_(context_) {
    socket_.connect({asio::ip::make_address("127.0.0.1"), port_});
  }
  void Send(const std::string& bytes) {
    asio::write(socket_, asio::buffer(bytes));
    Run();
  }
  void Run(int milliseconds = 20) {
    context_.restart();
    context_.run_for(std::chrono::milliseconds{milliseconds});
  }
  void Answer(std::size_t index, const std::string& body) {
    OutgoingMessage message;
    message.head = StatusLine(200);
    AppendHeader(message.head, "Content-Length", std::to_string(body.size()));
    message.body = std::make_shared<const std::string>(body);
    collector.exchanges.at(index)->Answer(std::move(message));
    Run();
  }
  // What has come back so far.
  std::string Received() {
    socket_.non_blocking(true);
    std::string all;
    char bytes[4096];
    for (;;) {
      boost::system::error_code error;
      const std::size_t size = socket_.read_some(asio::buffer(bytes), error);
      if (error == asio::error::eof) {
        ended = true;
      }
      if (error) {
        return all;
      }
      all.append(bytes, size);
    }
  }
  void Close() {
    socket_.close();
    Run();
  }
  CallerListener& listener() { return listener_; }

  Collector collector;
  bool ended = false;

 private:
  NetworkAddress Free() {
    asio::ip::tcp::acceptor probe{context_, {asio::ip::make_address("127.0.0.1"), 0}};
    port_ = probe.local_endpoint().port();
    return {"127.0.0.1", port_};
  }

  asio::io_context context_{1};
  std::uint16_t port_ = 0;
  CallerListener listener_;
  asio::ip::tcp::socket socket_;
};

std::size_t At(const std::string& text, const std::string& part) { return text.find(part); }

}  // namespace

TEST_CASE("requests sent behind one another run together and are answered in order") {
  Link link;
  link.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTT");
  link.Send("P/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(link.collector.exchanges.size() == 3);
  link.Answer(2, "third");
  link.Answer(1, "second");
  CHECK(link.Received().empty());
  link.Answer(0, "first");
  const std::string received = link.Received();
  CHECK(At(received, "first") < At(received, "second"));
  CHECK(At(received, "second") < At(received, "third"));
  CHECK(At(received, "third") != std::string::npos);
}

TEST_CASE("a caller that leaves is noticed while its request runs") {
  Link link;
  link.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(link.collector.exchanges.size() == 1);
  bool told = false;
  link.collector.exchanges.front()->OnAbandoned([&told] { told = true; });
  link.Close();
  CHECK(told);
  CHECK(link.collector.exchanges.front()->abandoned());
}

TEST_CASE("what is no proper request is refused and never passed on") {
  struct Row {
    std::string name;
    std::string bytes;
    std::string status;
  };
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const Row rows[] = {
      {"no HTTP", "hello\r\n\r\n", " 400 "},
      {"two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
       " 400 "},
      {"length and chunks", "POST / HTTP/1.1\r\nContent-Length: 3\r\n" + chunked + "\r\n0\r\n\r\n",
       " 400 "},
      {"negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", " 400 "},
      {"long head", "GET / HTTP/1.1\r\nA: " + std::string(2000, 'x') + "\r\n\r\n", " 431 "},
      {"long body", "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", " 413 "},
      {"long chunks", "POST / HTTP/1.1\r\n" + chunked + "\r\nfff0\r\n" + std::string(6000, 'x'),
       " 413 "}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Link link;
    link.collector.limits.max_header_bytes = 1000;
    link.collector.limits.max_body_bytes = 4096;
    link.Send(row.bytes);
    CHECK(link.collector.exchanges.empty());
    CHECK(At(link.Received(), row.status) == 8);
  }
}

TEST_CASE("bodies come whole, with a length or in chunks") {
  Link link;
  link.Send("POST /1 HTTP/1.1\r\nContent-Length: 6\r\n\r\nabc");
  CHECK(link.collector.exchanges.empty());
  link.Send("defPOST /2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n");
  REQUIRE(link.collector.exchanges.size() == 2);
  CHECK(*link.collector.exchanges[0]->body() == "abcdef");
  CHECK(*link.collector.exchanges[1]->body() == "xyz");
}

TEST_CASE("a stopping daemon answers, says so, and closes behind the answer") {
  Link link;
  link.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  link.collector.closing = true;
  link.listener().CloseIdle();
  CHECK_FALSE(link.ended);
  link.Answer(0, "done");
  const std::string received = link.Received();
  CHECK(At(received, "done") != std::string::npos);
  CHECK(At(received, "Connection: close") != std::string::npos);
  link.Received();
  CHECK(link.ended);
}

TEST_CASE("idle connections are closed after the limit, busy ones are not") {
  struct Row {
    std::string name;
    std::string sent;
    int later_s;
    bool ended;
  };
  const Row rows[] = {{"idle, young", "", 10, false},
                      {"idle, old", "", 16, true},
                      {"half a request", "GET / HTTP/1.1\r\n", 6, true},
                      {"running", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 60, false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Link link;
    link.Send(row.sent);
    link.listener().CheckTimeouts(BootNow() + std::chrono::seconds{row.later_s});
    link.Run();
    link.Received();
    CHECK(link.ended == row.ended);
  }
}

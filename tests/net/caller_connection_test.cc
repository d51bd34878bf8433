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

// Collects the requests for the test to answer.
class RequestCollector : public CallerHandler {
 public:
  void HandleRequest(std::shared_ptr<CallerExchange> exchange) override {
    exchanges.push_back(std::move(exchange));
  }
  CallerLimits Limits() const override { return limits; }
  bool ShouldCloseConnections() const override { return closing; }

  std::vector<std::shared_ptr<CallerExchange>> exchanges;
  CallerLimits limits;
  bool closing = false;
};

// A listener with one connected caller socket on the same event loop.
class ConnectionFixture {
 public:
  explicit ConnectionFixture(std::shared_ptr<MemoryAccount> account = nullptr)
      : listener_(context_, ReserveFreePort(), collector, 0, std::move(account)),
        socket_(context_) {
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
  // Returns the bytes that the caller has received since the last call.
  std::string Received() {
    socket_.non_blocking(true);
    std::string received;
    char bytes[4096];
    for (;;) {
      boost::system::error_code error;
      const std::size_t size = socket_.read_some(asio::buffer(bytes), error);
      if (error == asio::error::eof) {
        connection_ended = true;
      }
      if (error) {
        return received;
      }
      received.append(bytes, size);
    }
  }
  // Sends bytes that the listener's event loop does not see before the next run.
  void SendUnseen(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }
  // Sends as many of the bytes as the other side takes and returns their number.
  std::size_t SendUntilBlocked(const std::string& bytes) {
    socket_.non_blocking(true);
    std::size_t sent = 0;
    boost::system::error_code error;
    while (sent < bytes.size()) {
      sent += socket_.write_some(asio::buffer(bytes) + sent, error);
      if (error == asio::error::would_block) {
        Run();
        sent += socket_.write_some(asio::buffer(bytes) + sent, error);
      }
      if (error) {
        break;
      }
    }
    return sent;
  }
  void Close() {
    socket_.close();
    Run();
  }
  CallerListener& listener() { return listener_; }
  // Closes connections as if they had been idle for long.
  void CloseWhenIdle() { listener_.CloseConnectionsWhenIdle(BootNow() + std::chrono::seconds{10}); }

  RequestCollector collector;
  bool connection_ended = false;

 private:
  NetworkAddress ReserveFreePort() {
    asio::ip::tcp::acceptor probe{context_, {asio::ip::make_address("127.0.0.1"), 0}};
    port_ = probe.local_endpoint().port();
    return {"127.0.0.1", port_};
  }

  asio::io_context context_{1};
  std::uint16_t port_ = 0;
  CallerListener listener_;
  asio::ip::tcp::socket socket_;
};

// Small header fields, seven bytes each.
std::string Fields(std::size_t count) {
  std::string fields;
  for (std::size_t i = 0; i < count; ++i) {
    fields += "a: b\r\n";
  }
  return fields;
}

std::size_t PositionOf(const std::string& text, const std::string& part) { return text.find(part); }

}  // namespace

TEST_CASE("pipelined requests run concurrently and are answered in order") {
  ConnectionFixture fixture;
  fixture.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTT");
  fixture.Send("P/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(fixture.collector.exchanges.size() == 3);
  fixture.Answer(2, "third");
  fixture.Answer(1, "second");
  CHECK(fixture.Received().empty());
  fixture.Answer(0, "first");
  const std::string received = fixture.Received();
  CHECK(PositionOf(received, "first") < PositionOf(received, "second"));
  CHECK(PositionOf(received, "second") < PositionOf(received, "third"));
  CHECK(PositionOf(received, "third") != std::string::npos);
}

TEST_CASE("a disconnect is reported while the caller's request runs") {
  ConnectionFixture fixture;
  fixture.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(fixture.collector.exchanges.size() == 1);
  bool notified = false;
  fixture.collector.exchanges.front()->OnAbandoned([&notified] { notified = true; });
  fixture.Close();
  CHECK(notified);
  CHECK(fixture.collector.exchanges.front()->abandoned());
}

TEST_CASE("a request that is read after its caller has left is not handled") {
  ConnectionFixture fixture;
  fixture.SendUnseen("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  // The listener's event loop sees both at once, as it does when it comes late.
  fixture.Close();
  CHECK(fixture.collector.exchanges.empty());
  CHECK(fixture.listener().open_connections() == 0);
}

TEST_CASE("callers that come back on new connections do not use up the descriptors") {
  constexpr std::size_t kMaxConnections = 20;
  constexpr std::size_t kCallers = 300;
  asio::io_context context{1};
  asio::ip::tcp::acceptor probe{context, {asio::ip::make_address("127.0.0.1"), 0}};
  const std::uint16_t port = probe.local_endpoint().port();
  probe.close();
  RequestCollector collector;
  CallerListener listener{context, {"127.0.0.1", port}, collector, kMaxConnections};
  const auto run = [&context] {
    context.restart();
    context.run_for(std::chrono::milliseconds{5});
  };
  // The first caller's request stays open all the while.
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> sockets;
  for (std::size_t i = 0; i < kCallers; ++i) {
    sockets.push_back(std::make_unique<asio::ip::tcp::socket>(context));
    sockets.back()->connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(*sockets.back(), asio::buffer("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 27));
    run();
    // Each new request is read at once.
    REQUIRE(collector.exchanges.size() == i + 1);
    if (i > 0) {
      OutgoingMessage refusal;
      refusal.head = StatusLine(503);
      AppendHeader(refusal.head, "Content-Length", "0");
      collector.exchanges.back()->Answer(std::move(refusal));
      run();
    }
    CHECK(listener.open_connections() <= kMaxConnections);
  }
  CHECK(listener.evicted_connections() == kCallers - kMaxConnections);
  CHECK_FALSE(collector.exchanges.front()->abandoned());
}

// Guards against callers that keep all connections busy with requests that they never finish.
TEST_CASE("callers that stop in a request do not use up the descriptors") {
  constexpr std::size_t kMaxConnections = 20;
  asio::io_context context{1};
  asio::ip::tcp::acceptor probe{context, {asio::ip::make_address("127.0.0.1"), 0}};
  const std::uint16_t port = probe.local_endpoint().port();
  probe.close();
  RequestCollector collector;
  CallerListener listener{context, {"127.0.0.1", port}, collector, kMaxConnections};
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> sockets;
  const std::string begin = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nx";
  for (std::size_t i = 0; i < 3 * kMaxConnections; ++i) {
    sockets.push_back(std::make_unique<asio::ip::tcp::socket>(context));
    sockets.back()->connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(*sockets.back(), asio::buffer(begin));
    context.restart();
    context.run_for(std::chrono::milliseconds{5});
    CHECK(listener.open_connections() <= kMaxConnections);
  }
  asio::write(*sockets.back(), asio::buffer("x", 1));
  context.restart();
  context.run_for(std::chrono::milliseconds{5});
  CHECK(collector.exchanges.size() == 1);
}

TEST_CASE("malformed and oversized requests are rejected before they reach the handler") {
  struct Row {
    std::string name;
    std::string bytes;
    std::string status;
    std::string further_bytes = {};
  };
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const Row rows[] = {
      {"not HTTP", "hello\r\n\r\n", " 400 "},
      {"two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
       " 400 "},
      {"length and chunks", "POST / HTTP/1.1\r\nContent-Length: 3\r\n" + chunked + "\r\n0\r\n\r\n",
       " 400 "},
      {"negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", " 400 "},
      {"long head", "GET / HTTP/1.1\r\nA: " + std::string(2000, 'x') + "\r\n\r\n", " 431 "},
      {"long body", "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", " 413 "},
      {"long body, begun with the head",
       "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + std::string(100, 'x'), " 413 "},
      {"long body, complete with the head",
       "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x'), " 413 "},
      {"long head of small fields in two parts",
       "GET / HTTP/1.1\r\n" + std::string(200, 'a') + ": b\r\n", " 431 ", Fields(200)},
      {"long chunk extension", "POST / HTTP/1.1\r\n" + chunked + "\r\n1;" + std::string(2000, 'x'),
       " 431 "},
      {"long trailers", "POST / HTTP/1.1\r\n" + chunked + "\r\n0\r\n" + Fields(200) + "\r\n",
       " 431 "},
      {"trailers without end", "POST / HTTP/1.1\r\n" + chunked + "\r\n0\r\n" + Fields(150), " 431 ",
       Fields(150)},
      {"long chunks", "POST / HTTP/1.1\r\n" + chunked + "\r\nfff0\r\n" + std::string(6000, 'x'),
       " 413 "}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ConnectionFixture fixture;
    fixture.collector.limits.max_header_bytes = 1000;
    fixture.collector.limits.max_body_bytes = 4096;
    fixture.Send(row.bytes);
    if (!row.further_bytes.empty()) {
      fixture.Send(row.further_bytes);
    }
    CHECK(fixture.collector.exchanges.empty());
    CHECK(PositionOf(fixture.Received(), row.status) == 8);
  }
}

TEST_CASE("the handler gets complete bodies, with Content-Length or chunked") {
  ConnectionFixture fixture;
  fixture.Send("POST /1 HTTP/1.1\r\nContent-Length: 6\r\n\r\nabc");
  CHECK(fixture.collector.exchanges.empty());
  fixture.Send("defPOST /2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n");
  REQUIRE(fixture.collector.exchanges.size() == 2);
  CHECK(*fixture.collector.exchanges[0]->body() == "abcdef");
  CHECK(*fixture.collector.exchanges[1]->body() == "xyz");
}

TEST_CASE("a stopping daemon sends the answer with Connection: close and then closes") {
  ConnectionFixture fixture;
  fixture.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.collector.closing = true;
  fixture.CloseWhenIdle();
  CHECK_FALSE(fixture.connection_ended);
  fixture.Answer(0, "done");
  const std::string received = fixture.Received();
  CHECK(PositionOf(received, "done") != std::string::npos);
  CHECK(PositionOf(received, "Connection: close") != std::string::npos);
  fixture.Received();
  CHECK(fixture.connection_ended);
}

TEST_CASE("no request that was handed on is abandoned because an earlier answer closes") {
  const std::string request = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
  struct Row {
    std::string name;
    std::string sent_before;
    std::string sent_after;
    std::size_t handed_on;
  };
  const Row rows[] = {{"alone", request, "", 1},
                      {"two pipelined", request + request, "", 2},
                      {"one more while stopping", request + request, request, 3}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ConnectionFixture fixture;
    fixture.Send(row.sent_before);
    fixture.collector.closing = true;
    fixture.CloseWhenIdle();
    fixture.Send(row.sent_after);
    REQUIRE(fixture.collector.exchanges.size() == row.handed_on);
    for (std::size_t i = 0; i < row.handed_on; ++i) {
      CAPTURE(i);
      const bool is_last = i + 1 == row.handed_on;
      CHECK_FALSE(fixture.collector.exchanges[i]->abandoned());
      fixture.Answer(i, "answer " + std::to_string(i));
      const std::string received = fixture.Received();
      CHECK(PositionOf(received, "answer " + std::to_string(i)) != std::string::npos);
      CHECK((PositionOf(received, "Connection: close") != std::string::npos) == is_last);
      CHECK(fixture.connection_ended == is_last);
    }
  }
}

TEST_CASE("a request that arrives while a closing answer is written is not handed on") {
  ConnectionFixture fixture;
  fixture.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(fixture.collector.exchanges.size() == 1);
  fixture.collector.closing = true;
  constexpr std::size_t kMoreThanSocketBuffers = std::size_t{32} * 1024 * 1024;
  fixture.Answer(0, std::string(kMoreThanSocketBuffers, 'x'));
  fixture.Send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(fixture.collector.exchanges.size() == 1);
}

TEST_CASE("a request that has arrived is answered, not lost to the close of an idle connection") {
  ConnectionFixture fixture;
  fixture.Run();
  fixture.SendUnseen("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.CloseWhenIdle();
  fixture.Run();
  REQUIRE(fixture.collector.exchanges.size() == 1);
  fixture.Answer(0, "done");
  CHECK(PositionOf(fixture.Received(), "done") != std::string::npos);
}

TEST_CASE("a request that crosses the close of an idle connection is not read") {
  ConnectionFixture fixture;
  fixture.Run();
  fixture.CloseWhenIdle();
  fixture.Run();
  fixture.Received();
  CHECK(fixture.connection_ended);
  const std::string request(std::size_t{32} * 1024 * 1024, 'x');
  CHECK(fixture.SendUntilBlocked(request) < request.size());
}

TEST_CASE("a connection that was just opened is not closed before its first request") {
  ConnectionFixture fixture;
  fixture.Run();
  fixture.collector.closing = true;
  fixture.listener().CloseConnectionsWhenIdle(BootNow());
  fixture.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(fixture.collector.exchanges.size() == 1);
  fixture.Answer(0, "done");
  CHECK(PositionOf(fixture.Received(), "done") != std::string::npos);
}

TEST_CASE("a connection stays open until its caller has closed it behind the last answer") {
  ConnectionFixture fixture;
  fixture.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.collector.closing = true;
  fixture.Answer(0, "done");
  CHECK(fixture.listener().open_connections() == 1);
  fixture.Close();
  CHECK(fixture.listener().open_connections() == 0);
}

TEST_CASE("idle connections are closed after their timeout, busy ones are not") {
  struct Row {
    std::string name;
    std::string sent;
    int elapsed_s;
    bool connection_ended;
  };
  const Row rows[] = {{"idle, before the timeout", "", 10, false},
                      {"idle, after the timeout", "", 16, true},
                      {"incomplete request", "GET / HTTP/1.1\r\n", 6, true},
                      {"open request", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 60, false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ConnectionFixture fixture;
    fixture.Send(row.sent);
    fixture.listener().CheckTimeouts(BootNow() + std::chrono::seconds{row.elapsed_s});
    fixture.Run();
    fixture.Received();
    CHECK(fixture.connection_ended == row.connection_ended);
  }
}

// Guards against memory that is held for callers without being counted, or counted when it is no
// longer held.
TEST_CASE("what a connection holds counts in the account as long as it is held") {
  constexpr std::size_t kBodyBytes = 100'000;
  const auto account = std::make_shared<MemoryAccount>(std::size_t{1} << 20);
  ConnectionFixture fixture{account};
  fixture.Send("POST /1 HTTP/1.1\r\nContent-Length: 100000\r\n\r\n");
  CHECK(account->held() < kBodyBytes / 10);
  fixture.Send(std::string(kBodyBytes - 1, 'x'));
  CHECK(account->held() > kBodyBytes - 1);
  fixture.Send("x");
  REQUIRE(fixture.collector.exchanges.size() == 1);
  CHECK(account->held() > kBodyBytes);
  fixture.Answer(0, "done");
  fixture.collector.exchanges.clear();
  CHECK(account->held() == 0);
}

TEST_CASE("a request that does not fit is refused before it is read, and nothing of it runs") {
  const auto account = std::make_shared<MemoryAccount>(std::size_t{1} << 18);
  struct Row {
    std::string name;
    std::string head;
    std::size_t body_bytes;
  };
  const Row rows[] = {
      {"announced", "POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n", 0},
      {"in chunks", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nf0000\r\n", 600'000}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ConnectionFixture fixture{account};
    fixture.Send(row.head);
    fixture.SendUntilBlocked(std::string(row.body_bytes, 'x'));
    fixture.Run();
    CHECK(fixture.collector.exchanges.empty());
    const std::string received = fixture.Received();
    CHECK(PositionOf(received, " 503 ") == 8);
    CHECK(PositionOf(received, "Connection: close") != std::string::npos);
    CHECK(account->held() == 0);
  }
}

// Guards against a caller whose requests, unread answers included, are taken without end.
TEST_CASE("no further requests are read while the open ones hold much") {
  constexpr int kRequests = 40;
  constexpr std::size_t kBodyBytes = 100'000;
  const auto account = std::make_shared<MemoryAccount>(std::size_t{1} << 30);
  ConnectionFixture fixture{account};
  std::string requests;
  for (int i = 0; i < kRequests; ++i) {
    requests += "POST /1 HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + std::string(kBodyBytes, 'x');
  }
  fixture.SendUntilBlocked(requests);
  fixture.Run();
  const std::size_t taken = fixture.collector.exchanges.size();
  CHECK(taken < kRequests / 2);
  for (std::size_t i = 0; i < taken; ++i) {
    fixture.Answer(i, "done");
  }
  CHECK(fixture.collector.exchanges.size() > taken);
}

// Guards against bytes that the system holds for a connection that is not read at present.
TEST_CASE("bytes that wait to be read count until they are read") {
  constexpr std::size_t kBodyBytes = std::size_t{1} << 20;
  const auto account = std::make_shared<MemoryAccount>(64 * kBodyBytes);
  ConnectionFixture fixture{account};
  fixture.Send("POST /1 HTTP/1.1\r\nContent-Length: 1048576\r\n\r\n" +
               std::string(kBodyBytes, 'x'));
  REQUIRE(fixture.collector.exchanges.size() == 1);
  const std::size_t held_before = account->held();
  fixture.SendUntilBlocked("GET /2 HTTP/1.1\r\nA: " + std::string(10'000, 'x') + "\r\n\r\n");
  fixture.listener().CheckTimeouts(BootNow());
  CHECK(account->held() > held_before + 10'000);
  fixture.Answer(0, "done");
  fixture.collector.exchanges.erase(fixture.collector.exchanges.begin());
  REQUIRE(fixture.collector.exchanges.size() == 1);
  CHECK(account->held() < kBodyBytes);
}

// Guards against a limit that stays as it was when the connection became idle.
TEST_CASE("a request is read with the limits that apply when it begins") {
  ConnectionFixture fixture;
  fixture.collector.limits.max_body_bytes = 10;
  fixture.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.Answer(0, "done");
  fixture.collector.limits.max_body_bytes = 1000;
  fixture.Send("POST /2 HTTP/1.1\r\nContent-Length: 100\r\n\r\n" + std::string(100, 'x'));
  CHECK(fixture.collector.exchanges.size() == 2);
}

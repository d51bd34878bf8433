#include "http/http_client.h"

#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <string>
#include <thread>

#include "fakes/scripted_server.h"
#include "http/client_error.h"

using boost::asio::ip::tcp;
using sycamorestall::http::Call;
using sycamorestall::http::CallResult;
using sycamorestall::http::Method;

namespace {

// Answers the first request on each connection and closes the connection without an
// answer at the second one, as a crashing endpoint does.
class ClosingServer {
 public:
  ClosingServer() : acceptor_(context_, tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0}) {
    thread_ = std::thread([this] { Serve(); });
  }

  ~ClosingServer() {
    stopping_ = true;
    boost::system::error_code ignored;
    tcp::socket wake_up{context_};
    wake_up.connect(acceptor_.local_endpoint(), ignored);
    wake_up.close(ignored);
    thread_.join();
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()) + "/";
  }
  int requests() const { return requests_; }

 private:
  void Serve() {
    while (!stopping_) {
      tcp::socket socket{context_};
      acceptor_.accept(socket);
      boost::system::error_code error;
      ReadRequest(socket, error);
      if (!error) {
        const std::string answer =
            "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok";
        boost::asio::write(socket, boost::asio::buffer(answer), error);
        ReadRequest(socket, error);
      }
    }
  }

  void ReadRequest(tcp::socket& socket, boost::system::error_code& error) {
    std::string head;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(head), "\r\n\r\n", error);
    if (!error) {
      ++requests_;
    }
  }

  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> requests_{0};
  std::thread thread_;
};

CallResult SendRequest(sycamorestall::http::HttpClient& client, Call call) {
  std::promise<CallResult> promise;
  auto future = promise.get_future();
  client.StartCall(std::move(call),
                   [&](CallResult result) { promise.set_value(std::move(result)); });
  return future.get();
}

}  // namespace

TEST_CASE("a request is retried on a new connection only if it is idempotent") {
  struct Row {
    const char* name;
    bool idempotent;
    int requests_seen;
    bool answered;
  };
  const Row rows[] = {{"idempotent", true, 3, true}, {"not idempotent", false, 2, false}};
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    ClosingServer server;
    sycamorestall::http::HttpClient client{sycamorestall::http::ClientSettings{}};
    Call call;
    call.method = Method::kPost;
    call.url = server.url();
    call.idempotent = row.idempotent;
    CHECK(!SendRequest(client, call).error);
    const CallResult second = SendRequest(client, call);
    CHECK(!second.error == row.answered);
    CHECK(server.requests() == row.requests_seen);
    CHECK(second.perhaps_sent);
  }
}

TEST_CASE("a refused connection is reported as a request that was not sent") {
  sycamorestall::http::HttpClient client{sycamorestall::http::ClientSettings{}};
  Call call;
  call.url = "http://127.0.0.1:1/";
  const CallResult result = SendRequest(client, call);
  CHECK(result.error == sycamorestall::http::ClientError::kNotConnected);
  CHECK(!result.perhaps_sent);
}

TEST_CASE("an answer with a status that is no final one is no answer") {
  for (const std::string status : {"000", "100", "600"}) {
    CAPTURE(status);
    sycamorestall::fakes::ScriptedServer server{
        sycamorestall::fakes::Script{"HTTP/1.1 " + status + " Reason\r\nEndpoint-Outcome: run\r\n" +
                                         "Content-Length: 2\r\n\r\nok",
                                     sycamorestall::fakes::ScriptEnd::kClose}};
    sycamorestall::http::HttpClient client{sycamorestall::http::ClientSettings{}};
    Call call;
    call.url = "http://127.0.0.1:" + std::to_string(server.address().port) + "/";
    const CallResult result = SendRequest(client, call);
    CHECK(result.error == sycamorestall::http::ClientError::kBroken);
    CHECK(result.perhaps_sent);
  }
}

#include "router/repeating_endpoint.h"

#include <algorithm>
#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "clock/system_clock.h"

namespace sycamorestall::testing {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// How long work goes on after a release has arrived.
constexpr std::chrono::milliseconds kWorkTime{500};

std::string HeaderValue(const std::string& head, const std::string& name) {
  const std::size_t at = head.find(name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + name.size() + 2;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

// Removes and returns the first bytes of a buffer.
std::string TakeBytes(asio::streambuf& input, std::size_t size) {
  const auto begin = asio::buffers_begin(input.data());
  std::string taken(begin, begin + static_cast<std::ptrdiff_t>(size));
  input.consume(size);
  return taken;
}

std::string FormatAnswer(const std::string& id, bool has_handover) {
  std::string answer = "HTTP/1.1 200 OK\r\n";
  if (!id.empty()) {
    answer += "X-Request-Id: " + id + "\r\n";
  }
  if (has_handover) {
    answer += "X-Handover: state\r\n";
  }
  return answer + "Content-Length: 0\r\n\r\n";
}

}  // namespace

RepeatingEndpoint::RepeatingEndpoint(asio::io_context& context, Behavior behavior)
    : behavior_(behavior),
      context_(context),
      acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}) {
  Accept();
}

bool RepeatingEndpoint::WasGranted(KeyNumber key) const {
  return std::any_of(granted_ranges_.begin(), granted_ranges_.end(),
                     [key](const KeyRange& each) { return each.Contains(key); });
}

Instant RepeatingEndpoint::HoldsUntil(Duration time_to_live) const {
  if (released_at_) {
    return *released_at_;
  }
  return last_grant_at_ + time_to_live;
}

void RepeatingEndpoint::Accept() {
  acceptor_.async_accept([this](const error_code& error, asio::ip::tcp::socket socket) {
    if (error) {
      return;
    }
    ReadHead(std::make_shared<Connection>(std::move(socket)));
    Accept();
  });
}

void RepeatingEndpoint::ReadHead(const std::shared_ptr<Connection>& connection) {
  asio::async_read_until(connection->socket, connection->input, "\r\n\r\n",
                         [this, connection](const error_code& error, std::size_t size) {
                           if (error) {
                             return;
                           }
                           Message message{TakeBytes(connection->input, size), ""};
                           const std::string length = HeaderValue(message.head, "Content-Length");
                           ReadBody(connection, std::move(message), std::stoul("0" + length));
                         });
}

void RepeatingEndpoint::ReadBody(const std::shared_ptr<Connection>& connection, Message message,
                                 std::size_t size) {
  const std::size_t missing = size - std::min(size, connection->input.size());
  asio::async_read(connection->socket, connection->input, asio::transfer_exactly(missing),
                   [this, connection, message = std::move(message), size](
                       const error_code& error, std::size_t /*read*/) mutable {
                     if (error) {
                       return;
                     }
                     message.body = TakeBytes(connection->input, size);
                     HandleMessage(connection, message);
                     ReadHead(connection);
                   });
}

void RepeatingEndpoint::HandleMessage(const std::shared_ptr<Connection>& connection,
                                      const Message& message) {
  Send(connection, std::exchange(connection->repeated_answer, {}));
  const std::string id = HeaderValue(message.head, "X-Request-Id");
  const bool is_grant = message.head.starts_with("POST /v1/grant ");
  const bool is_release = message.head.starts_with("POST /v1/release ");
  if (!is_grant && !is_release) {
    const std::string answer = FormatAnswer(id, false);
    connection->repeated_answer = behavior_.repeats_requests ? answer : "";
    Send(connection, answer);
    return;
  }
  const bool has_handover =
      is_release ? !behavior_.ignores_releases : behavior_.grants_carry_handover;
  const std::string answer = FormatAnswer(behavior_.echoes_order_ids ? id : "", has_handover);
  connection->repeated_answer = behavior_.repeats_orders ? answer : "";
  if (is_grant) {
    RecordGrant(message.body);
    Send(connection, answer);
  } else if (behavior_.ignores_releases) {
    Send(connection, answer);
  } else {
    AnswerReleaseLater(connection, answer);
  }
}

void RepeatingEndpoint::RecordGrant(const std::string& body) {
  const auto grant = nlohmann::json::parse(body);
  granted_ranges_.push_back({grant.at("from").get<KeyNumber>(), grant.at("to").get<KeyNumber>()});
  ++grants_received_;
  last_grant_at_ = BootNow();
  released_at_.reset();
}

void RepeatingEndpoint::AnswerReleaseLater(const std::shared_ptr<Connection>& connection,
                                           const std::string& answer) {
  const auto timer = std::make_shared<asio::steady_timer>(context_, kWorkTime);
  timer->async_wait([this, timer, connection, answer](const error_code& error) {
    if (!error) {
      released_at_ = BootNow();
      Send(connection, answer);
    }
  });
}

void RepeatingEndpoint::Send(const std::shared_ptr<Connection>& connection,
                             const std::string& bytes) {
  error_code ignored;  // The daemon may have closed the connection.
  asio::write(connection->socket, asio::buffer(bytes), ignored);
}

}  // namespace sycamorestall::testing

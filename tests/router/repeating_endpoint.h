#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/boot_clock.h"
#include "core/key_range.h"
#include "core/network_address.h"

namespace sycamorestall::testing {

// An endpoint on the event loop of a test that accepts grants and works on until a release is
// answered. It may answer twice: the second answer is sent when the next message arrives.
class RepeatingEndpoint {
 public:
  struct Behavior {
    bool repeats_requests = false;
    bool repeats_orders = false;
    bool grants_carry_handover = false;
    bool echoes_order_ids = false;
    // Answers releases at once, without a handover, and keeps the keys.
    bool ignores_releases = false;
  };

  RepeatingEndpoint(boost::asio::io_context& context, Behavior behavior);

  NetworkAddress address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  int grants_received() const { return grants_received_; }
  const std::vector<KeyRange>& granted_ranges() const { return granted_ranges_; }
  // Whether a grant of the key was ever received.
  bool WasGranted(KeyNumber key) const;
  // Until when the endpoint holds keys: when it answered their release, or otherwise when
  // the last grant ends.
  Instant HoldsUntil(Duration time_to_live) const;

 private:
  struct Connection {
    explicit Connection(boost::asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    boost::asio::ip::tcp::socket socket;
    boost::asio::streambuf input;
    // The second answer that is still due.
    std::string repeated_answer;
  };
  // A request or order as received.
  struct Message {
    std::string head;
    std::string body;
  };

  void Accept();
  void ReadHead(const std::shared_ptr<Connection>& connection);
  void ReadBody(const std::shared_ptr<Connection>& connection, Message message, std::size_t size);
  void HandleMessage(const std::shared_ptr<Connection>& connection, const Message& message);
  void RecordGrant(const std::string& body);
  // Answers a release when the running work has ended.
  void AnswerReleaseLater(const std::shared_ptr<Connection>& connection, const std::string& answer);
  void Send(const std::shared_ptr<Connection>& connection, const std::string& bytes);

  const Behavior behavior_;
  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  int grants_received_ = 0;
  std::vector<KeyRange> granted_ranges_;
  Instant last_grant_at_;
  std::optional<Instant> released_at_;
};

}  // namespace sycamorestall::testing

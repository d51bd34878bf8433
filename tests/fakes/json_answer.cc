#include "fakes/json_answer.h"

#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include "net/http_format.h"

namespace sycamorestall::fakes {

void AnswerJson(CallerExchange& exchange, unsigned status, const nlohmann::json& body,
                const std::string& more_head) {
  OutgoingMessage message;
  message.body = std::make_shared<const std::string>(body.dump());
  message.head = StatusLine(status);
  AppendHeader(message.head, "Content-Type", "application/json");
  AppendHeader(message.head, "Content-Length", std::to_string(message.body->size()));
  message.head += more_head;
  exchange.Answer(std::move(message));
}

NetworkAddress FindFreeAddress(boost::asio::io_context& context) {
  namespace asio = boost::asio;
  const asio::ip::tcp::acceptor probe{context, {asio::ip::make_address("127.0.0.1"), 0}};
  return {"127.0.0.1", probe.local_endpoint().port()};
}

}  // namespace sycamorestall::fakes

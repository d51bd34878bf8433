#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <string>
#include <vector>

namespace sycamorestall {

// A complete HTTP request as received.
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
// A complete HTTP response as received.
using HttpAnswer = boost::beast::http::response<boost::beast::http::string_body>;

// Immutable bytes, shared to avoid copies.
using SharedBytes = std::shared_ptr<const std::string>;

// A message to send. The body is shared because it may be large and is kept for retries.
struct OutgoingMessage {
  std::string head;
  SharedBytes body;
};

}  // namespace sycamorestall

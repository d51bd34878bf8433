#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <string>
#include <vector>

namespace sycamorestall {

// A whole request as a caller sent it.
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
// A whole answer as an endpoint gave it.
using HttpAnswer = boost::beast::http::response<boost::beast::http::string_body>;

// Bytes ready to be written, shared so that nothing is copied on the way.
using SharedBytes = std::shared_ptr<const std::string>;

// A message ready to be written: its head, and its body, which may be large and
// is shared with whoever may have to send it again.
struct OutgoingMessage {
  std::string head;
  SharedBytes body;
};

}  // namespace sycamorestall

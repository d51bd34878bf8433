#include "net/answer_head.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

namespace sycamorestall {

namespace {

// The classes of status codes (RFC 9110, section 15).
constexpr unsigned kMinInterimStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxFinalStatus = 599;
constexpr boost::beast::string_view kChunked = "chunked";
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

bool IsValidStatus(unsigned status) {
  return status >= kMinInterimStatus && status <= kMaxFinalStatus && status != kSwitchingProtocols;
}

// Whether every transfer coding that is named is the one that the parser takes off. The parser
// ignores any other.
bool HasKnownTransferCoding(const HttpAnswer& head) {
  const auto [begin, end] = head.equal_range(boost::beast::http::field::transfer_encoding);
  return std::all_of(
      begin, end, [](const auto& field) { return boost::beast::iequals(field.value(), kChunked); });
}

}  // namespace

const char* ToString(HeadFault fault) {
  switch (fault) {
    case HeadFault::kContinuedLine:
      return "line of the head continued";
    case HeadFault::kInvalidStatus:
      return "status not valid";
    case HeadFault::kUnknownTransferCoding:
      return "unknown transfer coding";
  }
  return "unknown";
}

std::optional<HeadFault> FindHeadFault(const HttpAnswer& head) {
  if (!IsValidStatus(head.result_int())) {
    return HeadFault::kInvalidStatus;
  }
  if (!HasKnownTransferCoding(head)) {
    return HeadFault::kUnknownTransferCoding;
  }
  return std::nullopt;
}

bool IsInterim(const HttpAnswer& head) { return head.result_int() < kMinFinalStatus; }

bool HasContinuedLine(std::string_view bytes) {
  // The empty line that ends the head.
  if (bytes.starts_with(kLineEnd)) {
    return false;
  }
  const std::string_view head = bytes.substr(0, bytes.find(kHeadEnd));
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

}  // namespace sycamorestall

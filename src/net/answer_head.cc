#include "net/answer_head.h"

namespace sycamorestall {

namespace {

// The status codes that end a request (RFC 9110, section 15).
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxFinalStatus = 599;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

bool IsFinalStatus(unsigned status) {
  return status >= kMinFinalStatus && status <= kMaxFinalStatus;
}

}  // namespace

const char* ToString(HeadFault fault) {
  switch (fault) {
    case HeadFault::kContinuedLine:
      return "line of the head continued";
    case HeadFault::kNoFinalStatus:
      return "status is no final one";
  }
  return "unknown";
}

std::optional<HeadFault> FindHeadFault(const HttpAnswer& head) {
  if (!IsFinalStatus(head.result_int())) {
    return HeadFault::kNoFinalStatus;
  }
  return std::nullopt;
}

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

#include "net/answer_head.h"

namespace sycamorestall {

namespace {

// The status codes that end a request (RFC 9110, section 15).
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxFinalStatus = 599;

bool IsFinalStatus(unsigned status) {
  return status >= kMinFinalStatus && status <= kMaxFinalStatus;
}

}  // namespace

const char* ToString(HeadFault fault) {
  switch (fault) {
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

}  // namespace sycamorestall

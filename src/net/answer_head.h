#pragma once

#include <optional>
#include <string_view>

#include "net/http_types.h"

namespace sycamorestall {

// What makes an answer unusable although the parser accepts its head.
enum class HeadFault {
  // A line of the head is continued on the next one, which begins with a blank.
  kContinuedLine,
  // The status belongs to no class, or switches to another protocol, which no request asks for.
  kInvalidStatus,
  // The body is in a transfer coding other than chunks, so the received bytes are not the body.
  kUnknownTransferCoding,
};

// Describes the fault, for the log.
const char* ToString(HeadFault fault);

// Checks the head of an answer; empty if there is no fault.
std::optional<HeadFault> FindHeadFault(const HttpAnswer& head);

// Whether another answer follows to the same request.
bool IsInterim(const HttpAnswer& head);

// Whether a line of the head is continued on the next one. The parser joins such lines, so that a
// field whose name begins with a blank would become part of the value before it. The bytes begin
// with the first line that the parser has not taken yet, and may go beyond the head.
bool HasContinuedLine(std::string_view bytes);

}  // namespace sycamorestall

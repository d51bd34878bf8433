#pragma once

#include <optional>

#include "net/http_types.h"

namespace sycamorestall {

// What makes an answer unusable although the parser accepts its head.
enum class HeadFault {
  // The status is not one that ends a request: it is interim or of no class at all.
  kNoFinalStatus,
};

// Describes the fault, for the log.
const char* ToString(HeadFault fault);

// Checks the head of an answer; empty if there is no fault.
std::optional<HeadFault> FindHeadFault(const HttpAnswer& head);

}  // namespace sycamorestall

#pragma once

#include <cstdint>

namespace sycamorestall {

// Whether the message being parsed announces a body longer than the limit, in bytes. Beast's own
// limit does not notice it if the body begins in the same buffer as the head.
template <typename Parser>
bool AnnouncesLongerBody(const Parser& parser, std::uint64_t limit) {
  return parser.is_header_done() && parser.content_length().value_or(0) > limit;
}

}  // namespace sycamorestall

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sycamorestall::http {

// What the head of a request says of the body behind it.
struct Framing {
  enum class Verdict {
    // The head is not yet complete.
    kIncomplete,
    kComplete,
    // A length that is not a number, repeated with another value, or negative.
    kBadLength,
    // A transfer coding; a length is required.
    kLengthRequired,
    kHeadTooLarge,
  };
  Verdict verdict = Verdict::kIncomplete;
  // Bytes of the head, the empty line included.
  std::size_t head_bytes = 0;
  std::uint64_t body_bytes = 0;
  bool expects_continue = false;

  friend bool operator==(const Framing&, const Framing&) = default;
};

// Finds out where a request's head ends and how long its body is.
Framing FrameRequest(std::string_view bytes);

}  // namespace sycamorestall::http

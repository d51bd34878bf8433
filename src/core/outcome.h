#pragma once

#include <cstdint>
#include <string>

namespace sycamorestall {

// What a caller is told about its request. Not-run guarantees that it has not run and
// will not run.
enum class Outcome : std::uint8_t { kRun, kNotRun, kUnknown };

// The outcome's value in the response header.
inline const char* ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRun:
      return "run";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

// The answer to a request, from an endpoint or a daemon. The reason is empty for
// answers of endpoints and a short fixed code for those of daemons.
struct Answer {
  Outcome outcome = Outcome::kUnknown;
  std::uint16_t status = 0;
  std::string reason;
  std::string content_type;
  std::string body;
  std::uint32_t retry_after_s = 0;

  friend bool operator==(const Answer&, const Answer&) = default;

  // For serialization with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(outcome, status, reason, content_type, body, retry_after_s);
  }
};

}  // namespace sycamorestall

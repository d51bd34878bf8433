#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "core/endpoint_notice.h"
#include "core/identifiers.h"

namespace sycamorestall {

// The number of a key of a service whose endpoints own keys.
using KeyNumber = std::uint32_t;

// The number of keys of such a service; keys run from 0 to kKeyCount - 1.
inline constexpr KeyNumber kKeyCount = 65536;

// Orders the successive owners of a key: each new owner has a higher token than all
// before.
using FencingToken = Number<struct FencingTag, std::uint64_t>;

// A range of adjacent keys; both ends are included.
struct KeyRange {
  KeyNumber first = 0;
  KeyNumber last = 0;

  // The number of keys in the range.
  KeyNumber size() const { return last - first + 1; }
  bool Contains(KeyNumber key) const { return first <= key && key <= last; }
  bool Overlaps(const KeyRange& other) const { return first <= other.last && other.first <= last; }

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const KeyRange&, const KeyRange&) = default;
};

// The range as it is shown in logs.
inline std::string ToString(const KeyRange& range) {
  return std::to_string(range.first) + "-" + std::to_string(range.last);
}

// Lets an endpoint serve keys for a limited time.
struct KeyGrant {
  KeyRange range;
  FencingToken token;
  std::chrono::milliseconds time_to_live{};
  // What the previous owner returned when it released the keys; empty if unknown.
  std::string handover_state;

  friend bool operator==(const KeyGrant&, const KeyGrant&) = default;
};

// The reply of an endpoint to a grant or a release.
struct OrderReply {
  enum class Outcome {
    kDone,
    // The endpoint has seen a higher fencing token for one of the keys.
    kOutdated,
    // Another endpoint has the address, so the intended one has ended.
    kAnotherEndpoint,
    // The order was not carried out.
    kRefused,
  };
  Outcome outcome = Outcome::kRefused;
  // State to pass to the next owner of the keys; empty if there is none.
  std::string handover_state;
  // What the reply says about the endpoint.
  EndpointNotice notice{};

  friend bool operator==(const OrderReply&, const OrderReply&) = default;
};

}  // namespace sycamorestall

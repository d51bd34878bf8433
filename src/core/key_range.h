#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "core/identifiers.h"

namespace sycamorestall {

// A key of a service whose endpoints own keys.
using KeyNumber = std::uint32_t;

// The number of keys of such a service: keys are 0 to one below it.
inline constexpr KeyNumber kKeyCount = 65536;

// Orders the owners that a key has had: each has a higher one than all before.
using FencingToken = Number<struct FencingTag, std::uint64_t>;

// Adjacent keys, both ends included.
struct KeyRange {
  KeyNumber first = 0;
  KeyNumber last = 0;

  // How many keys there are.
  KeyNumber size() const { return last - first + 1; }
  bool Contains(KeyNumber key) const { return first <= key && key <= last; }
  bool Overlaps(const KeyRange& other) const { return first <= other.last && other.first <= last; }

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const KeyRange&, const KeyRange&) = default;
};

// The range's name in logs.
inline std::string ToString(const KeyRange& range) {
  return std::to_string(range.first) + "-" + std::to_string(range.last);
}

// Lets an endpoint serve keys for a while.
struct KeyGrant {
  KeyRange range;
  FencingToken token;
  std::chrono::milliseconds time_to_live{};
  // What the keys' last owner gave back with them; empty if unknown.
  std::string handover_state;

  friend bool operator==(const KeyGrant&, const KeyGrant&) = default;
};

// How an endpoint took a grant or a release.
struct OrderReply {
  enum class Outcome {
    kDone,
    // It has seen a higher fencing token on one of the keys.
    kOutdated,
    // Another endpoint has its address: the one that was asked has ended.
    kAnotherEndpoint,
    // It did not carry the order out.
    kRefused,
  };
  Outcome outcome = Outcome::kRefused;
  // What goes to the keys' next owner; empty if there is none.
  std::string handover_state;

  friend bool operator==(const OrderReply&, const OrderReply&) = default;
};

}  // namespace sycamorestall

#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/boot_clock.h"

namespace sycamorestall {

// An idempotency key: a UUID of version 7 (RFC 9562, section 5.7), which contains its
// time of creation.
struct UuidV7 {
  std::array<std::uint8_t, 16> bytes{};

  // Time of creation by the clock of the caller that created the key.
  WallMilliseconds created() const;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const UuidV7&, const UuidV7&) = default;

  // For serialization with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(bytes);
  }
};

// Parses the text form (8-4-4-4-12 hexadecimal digits). Returns nullopt if the text is
// not a UUID of version 7 and the RFC's variant.
std::optional<UuidV7> ParseUuidV7(std::string_view text);

// Returns the text form in lower case.
std::string ToString(const UuidV7& uuid);

// Creates a key from a time and at least 74 random bits.
UuidV7 MakeUuidV7(WallMilliseconds created, std::uint64_t random_high, std::uint64_t random_low);

}  // namespace sycamorestall

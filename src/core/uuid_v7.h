#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/boot_clock.h"

namespace sycamorestall {

// An idempotency key: a UUID of version 7 (RFC 9562, section 5.7), which carries
// the moment of its creation.
struct UuidV7 {
  std::array<std::uint8_t, 16> bytes{};

  // Milliseconds since 1970, UTC, as the maker's clock had it.
  WallMilliseconds created() const;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const UuidV7&, const UuidV7&) = default;

  // Lets cereal read and write the key.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(bytes);
  }
};

// Reads the text form (8-4-4-4-12 hexadecimal digits); empty when the text is
// not a UUID or not of version 7 and the RFC's variant.
std::optional<UuidV7> ParseUuidV7(std::string_view text);

// The text form in lower case.
std::string ToString(const UuidV7& uuid);

// Makes a key from a moment and 74 or more random bits.
UuidV7 MakeUuidV7(WallMilliseconds created, std::uint64_t random_high, std::uint64_t random_low);

}  // namespace sycamorestall

#include "core/uuid_v7.h"

namespace sycamorestall {

namespace {

constexpr std::size_t kTextLength = 36;
constexpr std::uint8_t kVersionSeven = 0x70;
constexpr std::uint8_t kRfcVariant = 0x80;
constexpr std::size_t kVersionByte = 6;
constexpr std::size_t kVariantByte = 8;
constexpr std::size_t kTimeBytes = 6;

bool IsHyphenPosition(std::size_t position) {
  return position == 8 || position == 13 || position == 18 || position == 23;
}

std::optional<std::uint8_t> ParseHexDigit(char digit) {
  if (digit >= '0' && digit <= '9') {
    return static_cast<std::uint8_t>(digit - '0');
  }
  if (digit >= 'a' && digit <= 'f') {
    return static_cast<std::uint8_t>(digit - 'a' + 10);
  }
  if (digit >= 'A' && digit <= 'F') {
    return static_cast<std::uint8_t>(digit - 'A' + 10);
  }
  return std::nullopt;
}

}  // namespace

WallMilliseconds UuidV7::created() const {
  std::int64_t value = 0;
  for (std::size_t i = 0; i < kTimeBytes; ++i) {
    value = value << 8 | bytes[i];
  }
  return WallMilliseconds{value};
}

std::optional<UuidV7> ParseUuidV7(std::string_view text) {
  if (text.size() != kTextLength) {
    return std::nullopt;
  }
  UuidV7 uuid;
  std::size_t digits = 0;
  for (std::size_t position = 0; position < text.size(); ++position) {
    if (IsHyphenPosition(position)) {
      if (text[position] != '-') {
        return std::nullopt;
      }
      continue;
    }
    const std::optional<std::uint8_t> digit = ParseHexDigit(text[position]);
    if (!digit) {
      return std::nullopt;
    }
    std::uint8_t& byte = uuid.bytes[digits / 2];
    byte = static_cast<std::uint8_t>(byte << 4 | *digit);
    ++digits;
  }
  const bool is_version_seven = (uuid.bytes[kVersionByte] & 0xf0) == kVersionSeven;
  const bool is_rfc_variant = (uuid.bytes[kVariantByte] & 0xc0) == kRfcVariant;
  if (!is_version_seven || !is_rfc_variant) {
    return std::nullopt;
  }
  return uuid;
}

std::string ToString(const UuidV7& uuid) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(kTextLength);
  for (const std::uint8_t byte : uuid.bytes) {
    if (IsHyphenPosition(text.size())) {
      text.push_back('-');
    }
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 0xf]);
  }
  return text;
}

UuidV7 MakeUuidV7(WallMilliseconds created, std::uint64_t random_high, std::uint64_t random_low) {
  UuidV7 uuid;
  const auto milliseconds = static_cast<std::uint64_t>(created.count());
  for (std::size_t i = 0; i < kTimeBytes; ++i) {
    uuid.bytes[i] = static_cast<std::uint8_t>(milliseconds >> (8 * (kTimeBytes - 1 - i)));
  }
  uuid.bytes[kVersionByte] = static_cast<std::uint8_t>(kVersionSeven | (random_high & 0x0f));
  uuid.bytes[kVersionByte + 1] = static_cast<std::uint8_t>(random_high >> 4);
  for (std::size_t i = kVariantByte; i < uuid.bytes.size(); ++i) {
    uuid.bytes[i] = static_cast<std::uint8_t>(random_low >> (8 * (i - kVariantByte)));
  }
  uuid.bytes[kVariantByte] =
      static_cast<std::uint8_t>(kRfcVariant | (uuid.bytes[kVariantByte] & 0x3f));
  return uuid;
}

}  // namespace sycamorestall

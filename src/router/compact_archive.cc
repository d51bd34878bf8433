#include "router/compact_archive.h"

#include <limits>

namespace sycamorestall {

namespace {

constexpr unsigned kBitsPerByte = 7;
constexpr std::uint64_t kLowBits = 0x7f;
constexpr std::uint64_t kMoreFollows = 0x80;
constexpr unsigned kLastShift = 63;
// The two lowest bits of a text's length tell how it is written.
constexpr std::uint64_t kPacked = 1;
constexpr std::uint64_t kSamePrefix = 2;
constexpr unsigned kFlagBits = 2;
constexpr unsigned kDigitBits = 4;
constexpr std::string_view kDigits = "0123456789abcdef";

bool IsDigit(char character) {
  return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
}

// Returns how many characters at the end of the text can be packed; an even number.
std::size_t CountPackedDigits(const std::string& text) {
  std::size_t count = 0;
  while (count < text.size() && IsDigit(text[text.size() - 1 - count])) {
    ++count;
  }
  count -= count % 2;
  const bool packable = count >= kMinPackedDigits && text.size() - count <= kMaxPackedPrefixBytes;
  return packable ? count : 0;
}

char PackDigits(char high, char low) {
  return static_cast<char>((kDigits.find(high) << kDigitBits) | kDigits.find(low));
}

}  // namespace

void CompactOutputArchive::WriteNumber(std::uint64_t number) {
  while (number > kLowBits) {
    bytes_.push_back(static_cast<char>((number & kLowBits) | kMoreFollows));
    number >>= kBitsPerByte;
  }
  bytes_.push_back(static_cast<char>(number));
}

void CompactOutputArchive::WriteText(const std::string& text) {
  const std::size_t digits = CountPackedDigits(text);
  if (digits == 0) {
    WriteNumber(text.size() << kFlagBits);
    bytes_ += text;
    return;
  }
  const std::string prefix = text.substr(0, text.size() - digits);
  const bool same = prefix == prefix_;
  WriteNumber((digits << kFlagBits) | kPacked | (same ? kSamePrefix : 0));
  if (!same) {
    WriteNumber(prefix.size());
    bytes_ += prefix;
    prefix_ = prefix;
  }
  for (std::size_t i = prefix.size(); i < text.size(); i += 2) {
    bytes_.push_back(PackDigits(text[i], text[i + 1]));
  }
}

std::uint64_t CompactInputArchive::ReadNumber(std::uint64_t max) {
  std::uint64_t number = 0;
  for (unsigned shift = 0;; shift += kBitsPerByte) {
    RequireBytes(1);
    const auto byte = static_cast<unsigned char>(bytes_.front());
    bytes_.remove_prefix(1);
    if (shift == kLastShift && byte > 1) {
      throw cereal::Exception("number of more than 64 bits");
    }
    number |= (byte & kLowBits) << shift;
    if ((byte & kMoreFollows) == 0) {
      break;
    }
  }
  if (number > max) {
    throw cereal::Exception("number out of range");
  }
  return number;
}

void CompactInputArchive::ReadBytes(void* target, std::size_t size) {
  RequireBytes(size);
  std::memcpy(target, bytes_.data(), size);
  bytes_.remove_prefix(size);
}

void CompactInputArchive::RequireBytes(std::uint64_t size) const {
  if (size > bytes_.size()) {
    throw cereal::Exception("fewer bytes than announced");
  }
}

std::string CompactInputArchive::ReadString(std::size_t size) {
  RequireBytes(size);
  std::string text{bytes_.substr(0, size)};
  bytes_.remove_prefix(size);
  return text;
}

std::string CompactInputArchive::ReadText() {
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint64_t>::max();
  const std::uint64_t head = ReadNumber(kMax);
  const std::uint64_t size = head >> kFlagBits;
  if ((head & kPacked) == 0) {
    if ((head & kSamePrefix) != 0) {
      throw cereal::Exception("text with unknown flags");
    }
    return ReadString(size);
  }
  if ((head & kSamePrefix) == 0) {
    prefix_ = ReadString(ReadNumber(kMaxPackedPrefixBytes));
  }
  if (size % 2 != 0) {
    throw cereal::Exception("odd number of digits");
  }
  RequireBytes(size / 2);
  std::string text = prefix_;
  text.reserve(prefix_.size() + size);
  for (const char each : ReadString(size / 2)) {
    const auto byte = static_cast<unsigned char>(each);
    text.push_back(kDigits[byte >> kDigitBits]);
    text.push_back(kDigits[byte & ((1U << kDigitBits) - 1)]);
  }
  return text;
}

}  // namespace sycamorestall

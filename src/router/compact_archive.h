#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>

namespace sycamorestall {

// The archives of cereal in which daemons write and read their messages. Unsigned integers and
// lengths take as many bytes as their value needs, seven bits in each (LEB128). Of a text that ends
// in hexadecimal digits, as the names of instances do, two digits take a byte, and what precedes
// them is left out if it is the same as in the text before.

// The least number of hexadecimal digits that are packed.
inline constexpr std::size_t kMinPackedDigits = 4;
// The most bytes that precede packed digits. A longer text repeated in many places would take far
// more memory than its datagram.
inline constexpr std::size_t kMaxPackedPrefixBytes = 32;

// Writes values; bytes() returns what was written.
class CompactOutputArchive
    : public cereal::OutputArchive<CompactOutputArchive, cereal::AllowEmptyClassElision> {
 public:
  CompactOutputArchive()
      : cereal::OutputArchive<CompactOutputArchive, cereal::AllowEmptyClassElision>(this) {}

  void WriteNumber(std::uint64_t number);
  void WriteBytes(const void* bytes, std::size_t size) {
    bytes_.append(static_cast<const char*>(bytes), size);
  }
  void WriteText(const std::string& text);
  const std::string& bytes() const { return bytes_; }

 private:
  std::string bytes_;
  // What precedes the packed digits of the latest text.
  std::string prefix_;
};

// Reads what CompactOutputArchive wrote. Compares each length with the bytes that are left before
// memory is allocated for it, as the bytes may come from anywhere. Throws cereal::Exception for
// malformed bytes.
class CompactInputArchive
    : public cereal::InputArchive<CompactInputArchive, cereal::AllowEmptyClassElision> {
 public:
  // The bytes have to outlive the archive.
  explicit CompactInputArchive(std::string_view bytes)
      : cereal::InputArchive<CompactInputArchive, cereal::AllowEmptyClassElision>(this),
        bytes_(bytes) {}

  // Throws if the number exceeds the maximum.
  std::uint64_t ReadNumber(std::uint64_t max);
  void ReadBytes(void* target, std::size_t size);
  std::string ReadText();
  // Throws unless so many bytes are left.
  void RequireBytes(std::uint64_t size) const;
  std::string_view rest() const { return bytes_; }

 private:
  std::string ReadString(std::size_t size);

  std::string_view bytes_;
  std::string prefix_;
};

// cereal's interface of an archive.

template <typename Integer>
requires std::is_unsigned_v<Integer>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive& archive, const Integer& number) {
  archive.WriteNumber(number);
}

template <typename Integer>
requires std::is_unsigned_v<Integer>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive& archive, Integer& number) {
  number = static_cast<Integer>(archive.ReadNumber(std::numeric_limits<Integer>::max()));
}

template <typename Real>
requires std::is_floating_point_v<Real>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive& archive, const Real& number) {
  archive.WriteBytes(&number, sizeof number);
}

template <typename Real>
requires std::is_floating_point_v<Real>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive& archive, Real& number) {
  archive.ReadBytes(&number, sizeof number);
}

inline void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive& archive, const std::string& text) {
  archive.WriteText(text);
}

inline void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive& archive, std::string& text) {
  text = archive.ReadText();
}

template <typename Size>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive& archive, const cereal::SizeTag<Size>& tag) {
  archive.WriteNumber(tag.size);
}

template <typename Size>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive& archive, cereal::SizeTag<Size>& tag) {
  tag.size = archive.ReadNumber(std::numeric_limits<std::uint64_t>::max());
  // Each element takes a byte at least.
  archive.RequireBytes(tag.size);
}

}  // namespace sycamorestall

CEREAL_SETUP_ARCHIVE_TRAITS(sycamorestall::CompactInputArchive, sycamorestall::CompactOutputArchive)

#include "peer/peer_codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <istream>
#include <ostream>
#include <streambuf>

namespace sycamorestall {

namespace {

constexpr int kBitsPerByte = 8;

// Stream buffer that appends to an existing string, without a copy.
class StringAppendBuffer : public std::streambuf {
 public:
  explicit StringAppendBuffer(std::string& target) : target_(target) {}

 protected:
  std::streamsize xsputn(const char* bytes, std::streamsize count) override {
    target_.append(bytes, static_cast<std::size_t>(count));
    return count;
  }

  int_type overflow(int_type character) override {
    target_.push_back(static_cast<char>(character));
    return character;
  }

 private:
  std::string& target_;
};

// Stream buffer that reads from bytes it does not own.
class StringViewBuffer : public std::streambuf {
 public:
  explicit StringViewBuffer(std::string_view bytes) {
    char* begin = const_cast<char*>(bytes.data());  // NOLINT: the get area is only read
    setg(begin, begin, begin + bytes.size());
  }
};

template <typename Message>
void AppendEncoded(const Message& message, std::string& buffer) {
  StringAppendBuffer target{buffer};
  std::ostream stream{&target};
  cereal::PortableBinaryOutputArchive archive{stream};
  archive(message);
}

template <typename Message>
std::optional<Message> Decode(std::string_view bytes) {
  StringViewBuffer source{bytes};
  std::istream stream{&source};
  // cereal throws its own exception for malformed bytes; an excessive length makes the standard
  // library throw std::length_error or std::bad_alloc.
  try {
    Message message;
    cereal::PortableBinaryInputArchive archive{stream};
    archive(message);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

void AppendFrame(const PeerMessage& message, std::string& buffer) {
  const std::size_t start = buffer.size();
  buffer.append(kFrameHeaderBytes, '\0');
  AppendEncoded(message, buffer);
  const std::size_t length = buffer.size() - start - kFrameHeaderBytes;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    buffer[start + i] = static_cast<char>(length >> (kBitsPerByte * i));
  }
}

std::size_t DecodeFrameLength(std::string_view header) {
  std::size_t length = 0;
  for (std::size_t i = kFrameHeaderBytes; i > 0; --i) {
    length = length << kBitsPerByte | static_cast<unsigned char>(header[i - 1]);
  }
  return length;
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  return Decode<PeerMessage>(bytes);
}

std::string EncodeGossip(const GossipMessage& message) {
  std::string bytes;
  AppendEncoded(message, bytes);
  return bytes;
}

std::optional<GossipMessage> DecodeGossip(std::string_view bytes) {
  return Decode<GossipMessage>(bytes);
}

}  // namespace sycamorestall

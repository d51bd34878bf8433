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

constexpr int kByteBits = 8;

// Writes into a string that is already there, without a copy.
class AppendBuffer : public std::streambuf {
 public:
  explicit AppendBuffer(std::string& target) : target_(target) {}

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

// Reads from bytes that belong to somebody else.
class ViewBuffer : public std::streambuf {
 public:
  explicit ViewBuffer(std::string_view bytes) {
    char* begin = const_cast<char*>(bytes.data());  // NOLINT: a get area is never written
    setg(begin, begin, begin + bytes.size());
  }
};

template <typename Message>
void Append(const Message& message, std::string& buffer) {
  AppendBuffer target{buffer};
  std::ostream stream{&target};
  cereal::PortableBinaryOutputArchive archive{stream};
  archive(message);
}

template <typename Message>
std::optional<Message> Decode(std::string_view bytes) {
  ViewBuffer source{bytes};
  std::istream stream{&source};
  // cereal reports malformed bytes as its own exception, and lengths beyond
  // reason as the standard library's.
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
  Append(message, buffer);
  const std::size_t length = buffer.size() - start - kFrameHeaderBytes;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    buffer[start + i] = static_cast<char>(length >> (kByteBits * i));
  }
}

std::size_t FrameLength(std::string_view header) {
  std::size_t length = 0;
  for (std::size_t i = kFrameHeaderBytes; i > 0; --i) {
    length = length << kByteBits | static_cast<unsigned char>(header[i - 1]);
  }
  return length;
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  return Decode<PeerMessage>(bytes);
}

std::string EncodeGossip(const GossipMessage& message) {
  std::string bytes;
  Append(message, bytes);
  return bytes;
}

std::optional<GossipMessage> DecodeGossip(std::string_view bytes) {
  return Decode<GossipMessage>(bytes);
}

}  // namespace sycamorestall

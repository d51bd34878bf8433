#include "router/daemon_message.h"

#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <sstream>
#include <utility>

#include "router/bounded_input_archive.h"
#include "store/value_compression.h"

namespace sycamorestall {

// cereal serialization of types declared elsewhere.
template <typename Archive>
void serialize(Archive& archive, ServedRange& range) {
  archive(range.range.first, range.range.last, range.owner);
}

template <typename Archive>
void serialize(Archive& archive, AnnouncementPart& part) {
  archive(part.service, part.term, part.sequence, part.base_sequence, part.part_index,
          part.part_count, part.ranges);
}

template <typename Archive>
void serialize(Archive& archive, NotOwnerReport& report) {
  archive(report.service, report.key, report.endpoint);
}

template <typename Archive>
void serialize(Archive& archive, LeadershipHandOver& hand_over) {
  archive(hand_over.service, hand_over.record.head, hand_over.record.pieces,
          hand_over.confirmed_ms_ago);
}

template <typename Archive>
void serialize(Archive& archive, CrashReport& report) {
  archive(report.request.value, report.run.endpoint, report.run.incarnation, report.ms_ago);
}

template <typename Archive>
void serialize(Archive& archive, RelayedEvent& event) {
  archive(event.key, event.value, event.revision, event.removed, event.uncompressed_bytes,
          event.earlier_revision);
}
template <typename Archive>
void serialize(Archive& archive, StoreUpdate& update) {
  archive(update.base, update.revision, update.answered_ms_ago, update.base_assumed, update.events);
}
template <typename Archive>
void serialize(Archive& archive, DaemonMessage& message) {
  archive(message.sender, message.domain, message.stopping, message.store_unreachable,
          message.loads, message.demands, message.announcements, message.not_owner_reports,
          message.drain_reports, message.leadership_hand_overs, message.store_updates,
          message.store_revision, message.knows_recent_changes, message.weight,
          message.service_times, message.crash_reports);
}

namespace {

// Smaller messages are sent as they are.
constexpr std::size_t kMinCompressedBytes = 512;
// No message is larger before it is compressed.
constexpr std::uint32_t kMaxMessageBytes = 512U * 1024;

// A datagram: a serialized message, which may be compressed.
struct Datagram {
  // Size of the message once decompressed; 0 if it is not compressed.
  std::uint32_t uncompressed_bytes = 0;
  std::string bytes;

  // Serialization by cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(uncompressed_bytes, bytes);
  }
};

template <typename Value>
std::string Serialize(const Value& value) {
  std::ostringstream out;
  {
    cereal::BinaryOutputArchive archive{out};
    archive(value);
  }
  return out.str();
}

// Throws an exception if the bytes are not a serialized value.
template <typename Value>
Value Deserialize(const std::string& bytes) {
  BoundedInputArchive archive{bytes};
  Value value;
  archive(value);
  return value;
}

}  // namespace

std::string EncodeMessage(const DaemonMessage& message) {
  Datagram datagram{0, Serialize(message)};
  if (datagram.bytes.size() >= kMinCompressedBytes) {
    if (auto compressed = CompressValue(datagram.bytes, "")) {
      datagram.uncompressed_bytes = static_cast<std::uint32_t>(datagram.bytes.size());
      datagram.bytes = std::move(*compressed);
    }
  }
  return Serialize(datagram);
}

std::optional<DaemonMessage> DecodeMessage(const std::string& bytes) {
  try {
    auto datagram = Deserialize<Datagram>(bytes);
    if (datagram.uncompressed_bytes > kMaxMessageBytes) {
      return std::nullopt;
    }
    if (datagram.uncompressed_bytes > 0) {
      auto message = DecompressValue(datagram.bytes, datagram.uncompressed_bytes, "");
      if (!message) {
        return std::nullopt;
      }
      datagram.bytes = std::move(*message);
    }
    return Deserialize<DaemonMessage>(datagram.bytes);
  } catch (const std::exception&) {
    // Not a message of this version; the transport drops the datagram.
    return std::nullopt;
  }
}

}  // namespace sycamorestall

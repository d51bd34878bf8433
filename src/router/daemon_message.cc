#include "router/daemon_message.h"

#include <cereal/archives/binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <sstream>

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
          message.leadership_hand_overs, message.store_updates, message.store_revision,
          message.knows_recent_changes, message.weight);
}

std::string EncodeMessage(const DaemonMessage& message) {
  std::ostringstream out;
  {
    cereal::BinaryOutputArchive archive{out};
    archive(message);
  }
  return out.str();
}

std::optional<DaemonMessage> DecodeMessage(const std::string& bytes) {
  std::istringstream in{bytes};
  try {
    cereal::BinaryInputArchive archive{in};
    DaemonMessage message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    // Not a message of this version; the transport drops the datagram.
    return std::nullopt;
  }
}

}  // namespace sycamorestall

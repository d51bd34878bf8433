#include "router/daemon_message.h"

#include <algorithm>
#include <cereal/types/array.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <limits>
#include <utility>

#include "router/compact_archive.h"
#include "store/value_compression.h"

namespace sycamorestall {

// cereal serialization of types declared elsewhere.

// Loads are written as the differences of their hashes, which ascend, each with the number of
// requests in the lowest bits. A number that doesn't fit follows, less kFollowingLoad.
constexpr unsigned kLoadBits = 2;
constexpr std::uint64_t kFollowingLoad = (1U << kLoadBits) - 1;

void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive& archive,
                               const std::vector<HashedLoad>& loads) {
  archive(cereal::make_size_tag(loads.size()));
  std::uint16_t previous = 0;
  for (const HashedLoad& each : loads) {
    const std::uint64_t load = std::min<std::uint64_t>(each.in_flight, kFollowingLoad);
    const auto difference = static_cast<std::uint16_t>(each.endpoint_hash - previous);
    archive.WriteNumber((std::uint64_t{difference} << kLoadBits) | load);
    if (load == kFollowingLoad) {
      archive.WriteNumber(each.in_flight - kFollowingLoad);
    }
    previous = each.endpoint_hash;
  }
}

void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive& archive, std::vector<HashedLoad>& loads) {
  constexpr std::uint64_t kMaxDifference = std::numeric_limits<std::uint16_t>::max();
  constexpr std::uint64_t kMaxLoad = std::numeric_limits<std::uint16_t>::max();
  std::size_t size = 0;
  archive(cereal::make_size_tag(size));
  loads.resize(size);
  std::uint16_t previous = 0;
  for (HashedLoad& each : loads) {
    const std::uint64_t number = archive.ReadNumber((kMaxDifference << kLoadBits) | kFollowingLoad);
    std::uint64_t load = number & kFollowingLoad;
    if (load == kFollowingLoad) {
      load += archive.ReadNumber(kMaxLoad - kFollowingLoad);
    }
    previous = static_cast<std::uint16_t>(previous + (number >> kLoadBits));
    each = {previous, static_cast<std::uint16_t>(load)};
  }
}

// Ranges are written as the distance from the range before, the length, and the index of the owner
// in a list of all owners.
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive& archive,
                               const std::vector<ServedRange>& ranges) {
  std::vector<InstanceId> owners;
  for (const ServedRange& each : ranges) {
    owners.push_back(each.owner);
  }
  std::sort(owners.begin(), owners.end());
  owners.erase(std::unique(owners.begin(), owners.end()), owners.end());
  archive(owners, cereal::make_size_tag(ranges.size()));
  KeyNumber next = 0;
  for (const ServedRange& each : ranges) {
    const auto owner = std::lower_bound(owners.begin(), owners.end(), each.owner);
    // Unsigned differences restore any numbers, also those of ranges that are not sorted.
    archive(KeyNumber{each.range.first - next}, KeyNumber{each.range.last - each.range.first},
            static_cast<std::uint32_t>(owner - owners.begin()));
    next = each.range.last + 1;
  }
}

void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive& archive, std::vector<ServedRange>& ranges) {
  std::vector<InstanceId> owners;
  std::size_t size = 0;
  archive(owners, cereal::make_size_tag(size));
  ranges.resize(size);
  KeyNumber next = 0;
  for (ServedRange& each : ranges) {
    KeyNumber distance = 0;
    KeyNumber length = 0;
    std::uint32_t owner = 0;
    archive(distance, length, owner);
    if (owner >= owners.size()) {
      throw cereal::Exception("owner not listed");
    }
    each.range.first = next + distance;
    each.range.last = each.range.first + length;
    each.owner = owners[owner];
    next = each.range.last + 1;
  }
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

namespace {

template <typename Value>
bool IsDefault(const Value& value) {
  if constexpr (requires { value.empty(); }) {
    return value.empty();
  } else {
    return value == Value{};
  }
}

// Writes or reads those of the values that are not empty or zero, behind a number whose bits tell
// which ones they are.
template <typename Archive, typename... Values>
void SerializePresent(Archive& archive, Values&... values) {
  std::uint32_t present = 0;
  std::uint32_t bit = 1;
  if constexpr (Archive::is_saving::value) {
    ((present |= IsDefault(values) ? 0 : bit, bit <<= 1U), ...);
  }
  archive(present);
  if (present >> sizeof...(values) != 0) {
    throw cereal::Exception("unknown parts");
  }
  bit = 1;
  const auto serialize_if_present = [&](auto& value) {
    if ((present & bit) != 0) {
      archive(value);
    }
    bit <<= 1U;
  };
  (serialize_if_present(values), ...);
}

}  // namespace

template <typename Archive>
void serialize(Archive& archive, DaemonMessage& message) {
  SerializePresent(archive, message.sender, message.domain, message.stopping,
                   message.store_unreachable, message.loads, message.hashed_loads, message.demands,
                   message.announcements, message.not_owner_reports, message.drain_reports,
                   message.leadership_hand_overs, message.store_updates, message.store_revision,
                   message.knows_recent_changes, message.weight, message.service_times,
                   message.crash_reports, message.operator_revision, message.update_requests);
}

namespace {

// Smaller messages are sent as they are.
constexpr std::size_t kMinCompressedBytes = 512;
// No message is larger before it is compressed.
constexpr std::uint32_t kMaxMessageBytes = 512U * 1024;

// The first byte of each datagram. It tells messages of this encoding from others.
constexpr std::uint8_t kEncodingVersion = 0xd4;

// Throws an exception if the bytes are not a message.
DaemonMessage ReadMessage(std::string_view bytes) {
  CompactInputArchive archive{bytes};
  DaemonMessage message;
  archive(message);
  if (!archive.rest().empty()) {
    throw cereal::Exception("bytes behind the message");
  }
  return message;
}

}  // namespace

// A datagram is the version, the size of the message before it was compressed, or 0 if it is not,
// and the message.
std::string EncodeMessage(const DaemonMessage& message) {
  CompactOutputArchive archive;
  archive(message);
  const std::string& bytes = archive.bytes();
  std::optional<std::string> compressed;
  if (bytes.size() >= kMinCompressedBytes) {
    compressed = CompressValue(bytes, "");
  }
  const bool is_smaller = compressed && compressed->size() < bytes.size();
  CompactOutputArchive datagram;
  datagram(kEncodingVersion);
  datagram.WriteNumber(is_smaller ? bytes.size() : 0);
  return datagram.bytes() + (is_smaller ? *compressed : bytes);
}

std::optional<DaemonMessage> DecodeMessage(const std::string& bytes) {
  try {
    CompactInputArchive datagram{bytes};
    std::uint8_t version = 0;
    datagram(version);
    const std::uint64_t uncompressed_bytes = datagram.ReadNumber(kMaxMessageBytes);
    if (version != kEncodingVersion) {
      return std::nullopt;
    }
    if (uncompressed_bytes == 0) {
      return ReadMessage(datagram.rest());
    }
    const auto message = DecompressValue(datagram.rest(), uncompressed_bytes, "");
    return message ? std::optional{ReadMessage(*message)} : std::nullopt;
  } catch (const std::exception&) {
    // Not a message of this version; the transport drops the datagram.
    return std::nullopt;
  }
}

}  // namespace sycamorestall

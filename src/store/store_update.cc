#include "store/store_update.h"

#include <algorithm>
#include <utility>

#include "store/value_compression.h"

namespace sycamorestall {

namespace {

// Updates are split at this size, but not within a revision.
constexpr std::size_t kMaxUpdateBytes = std::size_t{8} * 1024;
// Events of one revision that together are larger do not fit into a datagram.
constexpr std::size_t kMaxRevisionBytes = std::size_t{48} * 1024;
// Approximate size of an event without its key and value.
constexpr std::size_t kEventOverheadBytes = 32;

// Values of at least this size are compressed: configurations with many routes are far
// larger than a datagram.
constexpr std::size_t kMinCompressedBytes = 1024;
// The store holds no larger values.
constexpr std::uint32_t kMaxValueBytes = 16U * 1024 * 1024;

std::size_t EncodedSize(const RelayedEvent& event) {
  return event.key.size() + event.value.size() + kEventOverheadBytes;
}

}  // namespace

RelayedEvent CompressEvent(const StoreEvent& event, const StoreItem* earlier) {
  const std::string& value = event.item.value;
  RelayedEvent compressed{event.item.key, value, event.item.revision, event.removed, 0, {}};
  if (value.size() < kMinCompressedBytes) {
    return compressed;
  }
  auto bytes = CompressValue(value, earlier == nullptr ? "" : earlier->value);
  if (!bytes || bytes->size() >= value.size()) {
    return compressed;
  }
  compressed.value = std::move(*bytes);
  compressed.uncompressed_bytes = static_cast<std::uint32_t>(value.size());
  compressed.earlier_revision = earlier == nullptr ? Revision{} : earlier->revision;
  return compressed;
}

std::optional<StoreEvent> DecompressEvent(const RelayedEvent& event, const ValueHistory& values) {
  StoreEvent decompressed{{event.key, event.value, event.revision}, event.removed};
  if (event.uncompressed_bytes == 0) {
    return decompressed;
  }
  const StoreItem* earlier = nullptr;
  if (event.earlier_revision.value != 0) {
    earlier = values.Find(event.key, event.earlier_revision);
    if (earlier == nullptr) {
      return std::nullopt;
    }
  }
  if (event.uncompressed_bytes > kMaxValueBytes) {
    return std::nullopt;
  }
  auto value = DecompressValue(event.value, event.uncompressed_bytes,
                               earlier == nullptr ? "" : earlier->value);
  if (!value) {
    return std::nullopt;
  }
  decompressed.item.value = std::move(*value);
  return decompressed;
}

std::vector<StoreUpdate> SplitIntoUpdates(const std::vector<RelayedEvent>& events, Revision base,
                                          Revision revision) {
  std::vector<StoreUpdate> updates;
  StoreUpdate current;
  current.base = base;
  current.revision = base;
  std::size_t size = 0;
  for (auto revision_begin = events.begin(); revision_begin != events.end();) {
    const Revision event_revision = revision_begin->revision;
    const auto revision_end = std::find_if(
        revision_begin, events.end(),
        [event_revision](const RelayedEvent& each) { return each.revision != event_revision; });
    std::size_t revision_size = 0;
    for (auto each = revision_begin; each != revision_end; ++each) {
      revision_size += EncodedSize(*each);
    }
    const bool too_large = revision_size > kMaxRevisionBytes;
    if (!current.events.empty() && (too_large || size + revision_size > kMaxUpdateBytes)) {
      StoreUpdate next;
      next.base = current.revision;
      next.revision = current.revision;
      updates.push_back(std::exchange(current, std::move(next)));
      size = 0;
    }
    const Revision reached = std::min(event_revision, revision);
    if (too_large) {
      current.base = reached;
    } else {
      current.events.insert(current.events.end(), revision_begin, revision_end);
      size += revision_size;
    }
    current.revision = std::max(current.revision, reached);
    revision_begin = revision_end;
  }
  current.revision = std::max(current.revision, revision);
  updates.push_back(std::move(current));
  return updates;
}

}  // namespace sycamorestall

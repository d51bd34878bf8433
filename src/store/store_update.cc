#include "store/store_update.h"

#include <zlib.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamorestall {

namespace {

// Updates are split at this size, but not within a revision.
constexpr std::size_t kMaxUpdateBytes = std::size_t{8} * 1024;
// Events of one revision that together are larger do not fit into a datagram.
constexpr std::size_t kMaxRevisionBytes = std::size_t{48} * 1024;
// Approximate size of an event without its key and value.
constexpr std::size_t kEventOverheadBytes = 32;

// Values of at least this size are compressed: configurations with many routes are far
// larger than a datagram and shrink to a tenth.
constexpr std::size_t kMinCompressedBytes = 1024;
// The store holds no larger values.
constexpr std::uint32_t kMaxValueBytes = 16U * 1024 * 1024;

std::size_t EncodedSize(const RelayedEvent& event) {
  return event.key.size() + event.value.size() + kEventOverheadBytes;
}

std::vector<RelayedEvent> CompressAll(const std::vector<StoreEvent>& events) {
  std::vector<RelayedEvent> compressed;
  compressed.reserve(events.size());
  std::transform(events.begin(), events.end(), std::back_inserter(compressed), CompressEvent);
  return compressed;
}

}  // namespace

RelayedEvent CompressEvent(const StoreEvent& event) {
  RelayedEvent compressed{event.item.key, event.item.value, event.item.revision, event.removed, 0};
  if (event.item.value.size() < kMinCompressedBytes) {
    return compressed;
  }
  uLongf size = compressBound(event.item.value.size());
  std::string bytes(size, '\0');
  const int result = compress2(reinterpret_cast<Bytef*>(bytes.data()), &size,
                               reinterpret_cast<const Bytef*>(event.item.value.data()),
                               event.item.value.size(), Z_BEST_SPEED);
  if (result != Z_OK || size >= event.item.value.size()) {
    return compressed;
  }
  bytes.resize(size);
  compressed.value = std::move(bytes);
  compressed.uncompressed_bytes = static_cast<std::uint32_t>(event.item.value.size());
  return compressed;
}

std::optional<StoreEvent> DecompressEvent(const RelayedEvent& event) {
  StoreEvent decompressed{{event.key, event.value, event.revision}, event.removed};
  if (event.uncompressed_bytes == 0) {
    return decompressed;
  }
  if (event.uncompressed_bytes > kMaxValueBytes) {
    return std::nullopt;
  }
  uLongf size = event.uncompressed_bytes;
  decompressed.item.value.assign(size, '\0');
  const int result =
      uncompress(reinterpret_cast<Bytef*>(decompressed.item.value.data()), &size,
                 reinterpret_cast<const Bytef*>(event.value.data()), event.value.size());
  if (result != Z_OK || size != event.uncompressed_bytes) {
    return std::nullopt;
  }
  return decompressed;
}

std::vector<StoreUpdate> SplitIntoUpdates(const std::vector<StoreEvent>& events, Revision base,
                                          Revision revision, std::uint32_t answered_ms_ago) {
  std::vector<StoreUpdate> updates;
  StoreUpdate current{base, base, answered_ms_ago, {}};
  std::size_t size = 0;
  const std::vector<RelayedEvent> compressed = CompressAll(events);
  for (auto revision_begin = compressed.begin(); revision_begin != compressed.end();) {
    const Revision event_revision = revision_begin->revision;
    const auto revision_end = std::find_if(
        revision_begin, compressed.end(),
        [event_revision](const RelayedEvent& each) { return each.revision != event_revision; });
    std::size_t revision_size = 0;
    for (auto each = revision_begin; each != revision_end; ++each) {
      revision_size += EncodedSize(*each);
    }
    const bool too_large = revision_size > kMaxRevisionBytes;
    if (!current.events.empty() && (too_large || size + revision_size > kMaxUpdateBytes)) {
      updates.push_back(
          std::exchange(current, {current.revision, current.revision, answered_ms_ago, {}}));
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

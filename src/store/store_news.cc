#include "store/store_news.h"

#include <zlib.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamorestall {

namespace {

// News are closed when they have become this large.
constexpr std::size_t kNewsBytes = std::size_t{8} * 1024;
// Events of one revision that are larger than this do not fit into a datagram.
constexpr std::size_t kMaxGroupBytes = std::size_t{48} * 1024;
// What an event takes beside its key and value, about.
constexpr std::size_t kEventBytes = 32;

// Values from this size on are compressed: configurations with many routes are far
// larger than a datagram, and shrink to a tenth.
constexpr std::size_t kPackedFrom = 1024;
// Nothing that the store keeps is longer.
constexpr std::uint32_t kMaxValueBytes = 16U * 1024 * 1024;

std::size_t SizeOf(const NewsEvent& event) {
  return event.key.size() + event.value.size() + kEventBytes;
}

std::vector<NewsEvent> PackAll(const std::vector<StoreEvent>& events) {
  std::vector<NewsEvent> packed;
  packed.reserve(events.size());
  std::transform(events.begin(), events.end(), std::back_inserter(packed), PackEvent);
  return packed;
}

}  // namespace

NewsEvent PackEvent(const StoreEvent& event) {
  NewsEvent packed{event.item.key, event.item.value, event.item.revision, event.removed, 0};
  if (event.item.value.size() < kPackedFrom) {
    return packed;
  }
  uLongf size = compressBound(event.item.value.size());
  std::string bytes(size, '\0');
  const int result = compress2(reinterpret_cast<Bytef*>(bytes.data()), &size,
                               reinterpret_cast<const Bytef*>(event.item.value.data()),
                               event.item.value.size(), Z_BEST_SPEED);
  if (result != Z_OK || size >= event.item.value.size()) {
    return packed;
  }
  bytes.resize(size);
  packed.value = std::move(bytes);
  packed.unpacked_bytes = static_cast<std::uint32_t>(event.item.value.size());
  return packed;
}

std::optional<StoreEvent> UnpackEvent(const NewsEvent& event) {
  StoreEvent unpacked{{event.key, event.value, event.revision}, event.removed};
  if (event.unpacked_bytes == 0) {
    return unpacked;
  }
  if (event.unpacked_bytes > kMaxValueBytes) {
    return std::nullopt;
  }
  uLongf size = event.unpacked_bytes;
  unpacked.item.value.assign(size, '\0');
  const int result =
      uncompress(reinterpret_cast<Bytef*>(unpacked.item.value.data()), &size,
                 reinterpret_cast<const Bytef*>(event.value.data()), event.value.size());
  if (result != Z_OK || size != event.unpacked_bytes) {
    return std::nullopt;
  }
  return unpacked;
}

void NewsWriter::Reset(Revision revision) {
  told_ = revision;
  events_.clear();
}

std::vector<StoreNews> NewsWriter::Take(Revision revision, std::uint32_t answered_ms_ago) {
  std::vector<StoreNews> all;
  StoreNews current{told_, told_, answered_ms_ago, {}};
  std::size_t size = 0;
  const std::vector<NewsEvent> events = PackAll(std::exchange(events_, {}));
  for (auto group = events.begin(); group != events.end();) {
    const Revision at = group->revision;
    const auto end = std::find_if(group, events.end(),
                                  [at](const NewsEvent& each) { return each.revision != at; });
    std::size_t group_size = 0;
    for (auto each = group; each != end; ++each) {
      group_size += SizeOf(*each);
    }
    const bool too_large = group_size > kMaxGroupBytes;
    if (!current.events.empty() && (too_large || size + group_size > kNewsBytes)) {
      all.push_back(
          std::exchange(current, {current.revision, current.revision, answered_ms_ago, {}}));
      size = 0;
    }
    if (too_large) {
      current.base = at;
    } else {
      current.events.insert(current.events.end(), group, end);
      size += group_size;
    }
    current.revision = at;
    group = end;
  }
  current.revision = std::max(current.revision, revision);
  told_ = current.revision;
  all.push_back(std::move(current));
  return all;
}

}  // namespace sycamorestall

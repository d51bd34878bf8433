#include "store/store_news.h"

#include <algorithm>
#include <utility>

namespace sycamorestall {

namespace {

// News are closed when they have become this large.
constexpr std::size_t kNewsBytes = std::size_t{8} * 1024;
// Events of one revision that are larger than this do not fit into a datagram.
constexpr std::size_t kMaxGroupBytes = std::size_t{48} * 1024;
// What an event takes beside its key and value, about.
constexpr std::size_t kEventBytes = 32;

std::size_t SizeOf(const StoreEvent& event) {
  return event.item.key.size() + event.item.value.size() + kEventBytes;
}

}  // namespace

void NewsWriter::Reset(Revision revision) {
  told_ = revision;
  events_.clear();
}

std::vector<StoreNews> NewsWriter::Take(Revision revision, std::uint32_t answered_ms_ago) {
  std::vector<StoreNews> all;
  StoreNews current{told_, told_, answered_ms_ago, {}};
  std::size_t size = 0;
  const std::vector<StoreEvent> events = std::exchange(events_, {});
  for (auto group = events.begin(); group != events.end();) {
    const Revision at = group->item.revision;
    const auto end = std::find_if(
        group, events.end(), [at](const StoreEvent& each) { return each.item.revision != at; });
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

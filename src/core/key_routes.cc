#include "core/key_routes.h"

#include <algorithm>
#include <utility>

namespace sycamorestall {

namespace {

// Leaders repeat announcements more often than this, so if the latest one is older, no
// leader is heard.
constexpr std::chrono::milliseconds kMaxAnnouncementAge{3000};

bool StartsBefore(const ServedRange& left, const ServedRange& right) {
  return left.range.first < right.range.first;
}

// The keys that the changes cover, as sorted ranges with gaps between them.
std::vector<KeyRange> CoveredKeys(const std::vector<ServedRange>& changes) {
  std::vector<KeyRange> keys;
  keys.reserve(changes.size());
  for (const ServedRange& each : changes) {
    keys.push_back(each.range);
  }
  std::sort(keys.begin(), keys.end(),
            [](const KeyRange& left, const KeyRange& right) { return left.first < right.first; });
  std::vector<KeyRange> merged;
  for (const KeyRange& each : keys) {
    if (!merged.empty() && each.first <= merged.back().last + 1) {
      merged.back().last = std::max(merged.back().last, each.last);
    } else {
      merged.push_back(each);
    }
  }
  return merged;
}

// Appends the parts of a range that are not removed.
void AppendRemainingParts(const ServedRange& each, const std::vector<KeyRange>& removed_keys,
                          std::vector<ServedRange>& kept) {
  KeyNumber first = each.range.first;
  auto removed =
      std::lower_bound(removed_keys.begin(), removed_keys.end(), first,
                       [](const KeyRange& range, KeyNumber number) { return range.last < number; });
  for (; removed != removed_keys.end() && removed->first <= each.range.last; ++removed) {
    if (first < removed->first) {
      kept.push_back({{first, removed->first - 1}, each.owner});
    }
    if (removed->last >= each.range.last) {
      return;
    }
    first = removed->last + 1;
  }
  kept.push_back({{first, each.range.last}, each.owner});
}

}  // namespace

std::vector<ServedRange> ComputeChanges(const std::vector<ServedRange>& from,
                                        const std::vector<ServedRange>& to) {
  std::vector<ServedRange> changes;
  for (const ServedRange& each : from) {
    if (!std::binary_search(to.begin(), to.end(), each, StartsBefore) ||
        *std::lower_bound(to.begin(), to.end(), each, StartsBefore) != each) {
      changes.push_back({each.range, InstanceId{}});
    }
  }
  for (const ServedRange& each : to) {
    const auto same = std::lower_bound(from.begin(), from.end(), each, StartsBefore);
    if (same == from.end() || *same != each) {
      changes.push_back(each);
    }
  }
  return changes;
}

std::vector<ServedRange> ApplyChanges(const std::vector<ServedRange>& ranges,
                                      const std::vector<ServedRange>& changes) {
  const std::vector<KeyRange> removed_keys = CoveredKeys(changes);
  std::vector<ServedRange> next;
  next.reserve(ranges.size() + changes.size());
  for (const ServedRange& each : ranges) {
    AppendRemainingParts(each, removed_keys, next);
  }
  std::copy_if(changes.begin(), changes.end(), std::back_inserter(next),
               [](const ServedRange& each) { return !each.owner.empty(); });
  std::sort(next.begin(), next.end(), StartsBefore);
  return next;
}

void KeyRoutes::ApplyRecord(const OwnershipRecord& record) {
  term_ = record.term;
  recorded_ranges_.clear();
  for (const OwnedRange& each : record.ranges) {
    recorded_ranges_.push_back({each.range, each.owner});
  }
}

void KeyRoutes::ApplyAnnouncement(KeyAnnouncement announcement, Instant now) {
  const bool is_outdated =
      announcement.term < announced_term_ ||
      (announcement.term == announced_term_ && announcement.sequence < sequence_);
  if (is_outdated) {
    return;
  }
  const bool is_full = announcement.base == 0;
  if (!is_full && (announcement.term != full_announcement_.term ||
                   announcement.base != full_announcement_.sequence)) {
    // The full announcement that the changes apply to was not received.
    return;
  }
  announced_term_ = announcement.term;
  sequence_ = announcement.sequence;
  announced_at_ = now;
  if (is_full) {
    full_announcement_ = std::move(announcement);
    std::sort(full_announcement_.ranges.begin(), full_announcement_.ranges.end(), StartsBefore);
    announced_ranges_ = full_announcement_.ranges;
    return;
  }
  announced_ranges_ = ApplyChanges(full_announcement_.ranges, announcement.ranges);
}

bool KeyRoutes::AnnouncementIsFresh(Instant now) const {
  return announced_at_ && announced_term_ >= term_ && now - *announced_at_ < kMaxAnnouncementAge;
}

std::optional<InstanceId> KeyRoutes::OwnerOf(KeyNumber key, Instant now) const {
  const std::vector<ServedRange>& ranges =
      AnnouncementIsFresh(now) ? announced_ranges_ : recorded_ranges_;
  const auto next_range = std::upper_bound(
      ranges.begin(), ranges.end(), key,
      [](KeyNumber number, const ServedRange& each) { return number < each.range.first; });
  if (next_range == ranges.begin()) {
    return std::nullopt;
  }
  const ServedRange& candidate = *std::prev(next_range);
  return candidate.range.Contains(key) ? std::optional{candidate.owner} : std::nullopt;
}

}  // namespace sycamorestall

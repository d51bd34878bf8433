#include "core/key_routes.h"

#include <algorithm>
#include <utility>

namespace sycamorestall {

namespace {

// Leaders repeat announcements; one that is older says that none is heard.
constexpr std::chrono::milliseconds kAnnouncementLife{3000};

bool ByKey(const ServedRange& left, const ServedRange& right) {
  return left.range.first < right.range.first;
}

// The keys that changes speak of, as ranges that do not touch, in order.
std::vector<KeyRange> KeysOf(const std::vector<ServedRange>& changes) {
  std::vector<KeyRange> keys;
  keys.reserve(changes.size());
  for (const ServedRange& each : changes) {
    keys.push_back(each.range);
  }
  std::sort(keys.begin(), keys.end(),
            [](const KeyRange& left, const KeyRange& right) { return left.first < right.first; });
  std::vector<KeyRange> united;
  for (const KeyRange& each : keys) {
    if (!united.empty() && each.first <= united.back().last + 1) {
      united.back().last = std::max(united.back().last, each.last);
    } else {
      united.push_back(each);
    }
  }
  return united;
}

// Adds what a range keeps beside the keys that are cut out of it.
void KeepRest(const ServedRange& each, const std::vector<KeyRange>& cuts,
              std::vector<ServedRange>& kept) {
  KeyNumber first = each.range.first;
  auto cut =
      std::lower_bound(cuts.begin(), cuts.end(), first,
                       [](const KeyRange& range, KeyNumber number) { return range.last < number; });
  for (; cut != cuts.end() && cut->first <= each.range.last; ++cut) {
    if (first < cut->first) {
      kept.push_back({{first, cut->first - 1}, each.owner});
    }
    if (cut->last >= each.range.last) {
      return;
    }
    first = cut->last + 1;
  }
  kept.push_back({{first, each.range.last}, each.owner});
}

}  // namespace

std::vector<ServedRange> ComputeChanges(const std::vector<ServedRange>& from,
                                        const std::vector<ServedRange>& to) {
  std::vector<ServedRange> changes;
  for (const ServedRange& each : from) {
    if (!std::binary_search(to.begin(), to.end(), each, ByKey) ||
        *std::lower_bound(to.begin(), to.end(), each, ByKey) != each) {
      changes.push_back({each.range, InstanceId{}});
    }
  }
  for (const ServedRange& each : to) {
    const auto same = std::lower_bound(from.begin(), from.end(), each, ByKey);
    if (same == from.end() || *same != each) {
      changes.push_back(each);
    }
  }
  return changes;
}

std::vector<ServedRange> ApplyChanges(const std::vector<ServedRange>& ranges,
                                      const std::vector<ServedRange>& changes) {
  const std::vector<KeyRange> cuts = KeysOf(changes);
  std::vector<ServedRange> next;
  next.reserve(ranges.size() + changes.size());
  for (const ServedRange& each : ranges) {
    KeepRest(each, cuts, next);
  }
  std::copy_if(changes.begin(), changes.end(), std::back_inserter(next),
               [](const ServedRange& each) { return !each.owner.empty(); });
  std::sort(next.begin(), next.end(), ByKey);
  return next;
}

void KeyRoutes::ApplyRecord(const OwnershipRecord& record) {
  term_ = record.term;
  recorded_.clear();
  for (const OwnedRange& each : record.ranges) {
    recorded_.push_back({each.range, each.owner});
  }
}

void KeyRoutes::ApplyAnnouncement(KeyAnnouncement announcement, Instant now) {
  const bool older = announcement.term < announced_term_ ||
                     (announcement.term == announced_term_ && announcement.sequence < sequence_);
  if (older) {
    return;
  }
  const bool is_whole = announcement.base == 0;
  if (!is_whole && (announcement.term != whole_.term || announcement.base != whole_.sequence)) {
    // The whole announcement that it builds on was missed.
    return;
  }
  announced_term_ = announcement.term;
  sequence_ = announcement.sequence;
  announced_at_ = now;
  if (is_whole) {
    whole_ = std::move(announcement);
    std::sort(whole_.ranges.begin(), whole_.ranges.end(), ByKey);
    current_ = whole_.ranges;
    return;
  }
  current_ = ApplyChanges(whole_.ranges, announcement.ranges);
}

bool KeyRoutes::AnnouncementHolds(Instant now) const {
  return announced_at_ && announced_term_ >= term_ && now - *announced_at_ < kAnnouncementLife;
}

std::optional<InstanceId> KeyRoutes::OwnerOf(KeyNumber key, Instant now) const {
  const std::vector<ServedRange>& ranges = AnnouncementHolds(now) ? current_ : recorded_;
  const auto after = std::upper_bound(
      ranges.begin(), ranges.end(), key,
      [](KeyNumber number, const ServedRange& each) { return number < each.range.first; });
  if (after == ranges.begin()) {
    return std::nullopt;
  }
  const ServedRange& candidate = *std::prev(after);
  return candidate.range.Contains(key) ? std::optional{candidate.owner} : std::nullopt;
}

}  // namespace sycamorestall

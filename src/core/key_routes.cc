#include "core/key_routes.h"

#include <algorithm>
#include <utility>

namespace sycamorestall {

namespace {

// Leaders repeat announcements; one that is older says that none is heard.
constexpr std::chrono::milliseconds kAnnouncementLife{3000};

}  // namespace

void KeyRoutes::TakeRecord(const OwnershipRecord& record) {
  term_ = record.term;
  recorded_ = record.ranges;
}

void KeyRoutes::TakeAnnouncement(KeyAnnouncement announcement, Instant now) {
  const bool older =
      announcement.term < announced_.term ||
      (announcement.term == announced_.term && announcement.sequence < announced_.sequence);
  if (older) {
    return;
  }
  announced_ = std::move(announcement);
  std::sort(announced_.served.begin(), announced_.served.end(),
            [](const OwnedRange& left, const OwnedRange& right) {
              return left.range.first < right.range.first;
            });
  announced_at_ = now;
}

bool KeyRoutes::AnnouncementHolds(Instant now) const {
  return announced_at_ && announced_.term >= term_ && now - *announced_at_ < kAnnouncementLife;
}

std::optional<InstanceId> KeyRoutes::OwnerOf(KeyNumber key, Instant now) const {
  const std::vector<OwnedRange>& ranges = AnnouncementHolds(now) ? announced_.served : recorded_;
  auto after = std::upper_bound(
      ranges.begin(), ranges.end(), key,
      [](KeyNumber number, const OwnedRange& each) { return number < each.range.first; });
  if (after == ranges.begin()) {
    return std::nullopt;
  }
  const OwnedRange& candidate = *std::prev(after);
  return candidate.range.Contains(key) ? std::optional{candidate.owner} : std::nullopt;
}

}  // namespace sycamorestall

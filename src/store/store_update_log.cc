#include "store/store_update_log.h"

#include <algorithm>
#include <map>
#include <string>

namespace sycamorestall {

namespace {

// Receivers that are further behind read all contents from the store.
constexpr std::chrono::seconds kRetention{15};

}  // namespace

void StoreUpdateLog::Begin(Revision revision, Instant now) {
  begun_at_ = now;
  complete_after_ = revision;
}

void StoreUpdateLog::Add(const StoreEvent& event, Instant now) {
  if (event.item.revision > complete_after_) {
    entries_.push_back({event, now});
  }
}

void StoreUpdateLog::DiscardOld(Instant now) {
  while (!entries_.empty() && now - entries_.front().added_at > kRetention) {
    complete_after_ = std::max(complete_after_, entries_.front().event.item.revision);
    entries_.pop_front();
  }
}

Revision StoreUpdateLog::RevisionBefore(Instant time) const {
  Revision revision = complete_after_;
  for (const Entry& each : entries_) {
    if (each.added_at >= time) {
      break;
    }
    revision = std::max(revision, each.event.item.revision);
  }
  return revision;
}

std::vector<StoreEvent> StoreUpdateLog::LatestEventsAfter(Revision after) const {
  std::map<std::string, const StoreEvent*> latest;
  for (const Entry& each : entries_) {
    if (each.event.item.revision > after) {
      latest[each.event.item.key] = &each.event;
    }
  }
  std::vector<StoreEvent> events;
  events.reserve(latest.size());
  for (const auto& [key, event] : latest) {
    events.push_back(*event);
  }
  std::stable_sort(events.begin(), events.end(), [](const StoreEvent& a, const StoreEvent& b) {
    return a.item.revision < b.item.revision;
  });
  return events;
}

std::vector<StoreUpdate> StoreUpdateLog::UpdatesAfter(Revision after, Revision revision,
                                                      const ValueHistory& values) const {
  const Revision base = after < complete_after_ ? complete_after_ : std::min(after, revision);
  std::vector<RelayedEvent> events;
  for (const StoreEvent& each : LatestEventsAfter(after)) {
    events.push_back(CompressEvent(each, values.CurrentAt(each.item.key, after)));
  }
  return SplitIntoUpdates(events, base, revision);
}

}  // namespace sycamorestall

#include "core/endpoint_history.h"

#include <algorithm>

namespace sycamorestall {

namespace {

// How long a removed endpoint is remembered.
constexpr std::chrono::minutes kRetention{10};
// An endpoint that has just started has sent no more heartbeats than this.
constexpr std::uint64_t kMaxFirstHeartbeat = 3;
// More incarnations of an endpoint do not start while writes of the first may still come.
constexpr std::size_t kMaxEarlierIncarnations = 8;

}  // namespace

const char* ToString(EntryAge age) {
  switch (age) {
    case EntryAge::kCurrent:
      return "current";
    case EntryAge::kOutdated:
      return "outdated";
    case EntryAge::kUnconfirmedStart:
      break;
  }
  return "unconfirmed start";
}

void EndpointHistory::RecordEntry(const EndpointEntry& entry) {
  KnownEndpoint& known = endpoints_[entry.id];
  if (entry.incarnation != known.incarnation) {
    if (known.heartbeat > 0) {
      known.earlier[known.incarnation] = known.heartbeat;
    }
    known.earlier.erase(entry.incarnation);
    if (known.earlier.size() > kMaxEarlierIncarnations) {
      known.earlier.erase(known.earlier.begin());
    }
    known.heartbeat = 0;
  }
  // Counts of an endpoint without an incarnation start anew with each start.
  known.heartbeat =
      entry.incarnation.value == 0 ? entry.heartbeat : std::max(known.heartbeat, entry.heartbeat);
  known.incarnation = entry.incarnation;
  known.draining = entry.draining;
  known.removed_at.reset();
}

void EndpointHistory::RecordRemoval(const InstanceId& id, Instant now) {
  const auto known = endpoints_.find(id);
  if (known != endpoints_.end()) {
    known->second.removed_at = now;
  }
  DiscardOld(now);
}

void EndpointHistory::DiscardOld(Instant now) {
  std::erase_if(endpoints_, [now](const auto& each) {
    return each.second.removed_at && now - *each.second.removed_at > kRetention;
  });
}

EntryAge EndpointHistory::Judge(const EndpointEntry& entry, bool restored) const {
  const auto known = endpoints_.find(entry.id);
  if (known == endpoints_.end()) {
    return EntryAge::kCurrent;
  }
  if (entry.incarnation != known->second.incarnation) {
    return JudgeOtherIncarnation(entry, known->second, restored);
  }
  if (entry.incarnation.value == 0) {
    return restored ? EntryAge::kCurrent : JudgeWithoutIncarnation(entry, known->second);
  }
  return JudgeSameIncarnation(entry, known->second, restored);
}

EntryAge EndpointHistory::JudgeSameIncarnation(const EndpointEntry& entry,
                                               const KnownEndpoint& known, bool restored) {
  const bool has_left = restored && known.removed_at.has_value();
  const bool contradicts = known.draining && !entry.draining;
  return has_left || contradicts ? EntryAge::kOutdated : EntryAge::kCurrent;
}

EntryAge EndpointHistory::JudgeOtherIncarnation(const EndpointEntry& entry,
                                                const KnownEndpoint& known, bool restored) {
  if (restored && entry.incarnation < known.incarnation) {
    return EntryAge::kOutdated;
  }
  const auto earlier = known.earlier.find(entry.incarnation);
  if (earlier != known.earlier.end()) {
    return entry.heartbeat <= earlier->second ? EntryAge::kOutdated : EntryAge::kUnconfirmedStart;
  }
  // Clocks of machines differ, so that a later start may have an earlier time.
  return entry.incarnation > known.incarnation ? EntryAge::kCurrent : EntryAge::kUnconfirmedStart;
}

EntryAge EndpointHistory::JudgeWithoutIncarnation(const EndpointEntry& entry,
                                                  const KnownEndpoint& known) {
  if (known.removed_at || entry.heartbeat <= kMaxFirstHeartbeat) {
    return EntryAge::kCurrent;
  }
  const bool contradicts = known.draining && !entry.draining;
  return contradicts || entry.heartbeat < known.heartbeat ? EntryAge::kUnconfirmedStart
                                                          : EntryAge::kCurrent;
}

}  // namespace sycamorestall

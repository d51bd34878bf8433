#include "core/endpoint_history.h"

#include <algorithm>

namespace sycamorestall {

namespace {

// How long a removed endpoint is remembered.
constexpr std::chrono::minutes kRetention{10};
// A write that the store did not answer is carried out this much later at the most.
constexpr std::chrono::seconds kMaxWriteDelay{10};
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
    case EntryAge::kUnconfirmedReturn:
      return "unconfirmed return";
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
  known.removal.reset();
}

void EndpointHistory::RecordRemoval(const InstanceId& id, RemovalCause cause, Instant now) {
  const auto known = endpoints_.find(id);
  if (known != endpoints_.end()) {
    known->second.removal = Removal{cause, now};
  }
  DiscardOld(now);
}

void EndpointHistory::DiscardOld(Instant now) {
  std::erase_if(endpoints_, [now](const auto& each) {
    return each.second.removal && now - each.second.removal->at > kRetention;
  });
}

bool EndpointHistory::MayPrecedeRemoval(const KnownEndpoint& known, Instant now) {
  return known.removal && known.removal->cause == RemovalCause::kRemoved &&
         now - known.removal->at < kMaxWriteDelay;
}

EntryAge EndpointHistory::Judge(const EndpointEntry& entry, bool restored, Instant now) const {
  const auto known = endpoints_.find(entry.id);
  if (known == endpoints_.end()) {
    // It is back in the list, or has left before this daemon started.
    const bool is_new = !loaded_ || entry.heartbeat <= kMaxFirstHeartbeat;
    return is_new ? EntryAge::kCurrent : EntryAge::kUnconfirmedReturn;
  }
  if (entry.incarnation != known->second.incarnation) {
    return JudgeOtherIncarnation(entry, known->second, restored, now);
  }
  if (entry.incarnation.value == 0) {
    return restored ? EntryAge::kCurrent : JudgeWithoutIncarnation(entry, known->second, now);
  }
  return JudgeSameIncarnation(entry, known->second, restored, now);
}

EntryAge EndpointHistory::JudgeSameIncarnation(const EndpointEntry& entry,
                                               const KnownEndpoint& known, bool restored,
                                               Instant now) {
  if (known.draining && !entry.draining) {
    return EntryAge::kOutdated;
  }
  if (restored) {
    return known.removal ? EntryAge::kOutdated : EntryAge::kCurrent;
  }
  const bool is_repeated = known.removal && entry.heartbeat == known.heartbeat;
  if (entry.heartbeat < known.heartbeat || is_repeated) {
    return EntryAge::kOutdated;
  }
  return MayPrecedeRemoval(known, now) ? EntryAge::kUnconfirmedReturn : EntryAge::kCurrent;
}

EntryAge EndpointHistory::JudgeOtherIncarnation(const EndpointEntry& entry,
                                                const KnownEndpoint& known, bool restored,
                                                Instant now) {
  if (restored && entry.incarnation < known.incarnation) {
    return EntryAge::kOutdated;
  }
  const auto earlier = known.earlier.find(entry.incarnation);
  const bool was_known = earlier != known.earlier.end();
  if (was_known && entry.heartbeat <= earlier->second) {
    return EntryAge::kOutdated;
  }
  // Clocks of machines differ, so that a later start may have an earlier time.
  const bool started_later = entry.incarnation > known.incarnation && !was_known;
  const bool is_past_late_writes = known.removal && !MayPrecedeRemoval(known, now);
  if (started_later || is_past_late_writes) {
    return EntryAge::kCurrent;
  }
  return known.removal ? EntryAge::kUnconfirmedReturn : EntryAge::kUnconfirmedStart;
}

EntryAge EndpointHistory::JudgeWithoutIncarnation(const EndpointEntry& entry,
                                                  const KnownEndpoint& known, Instant now) {
  if (entry.heartbeat <= kMaxFirstHeartbeat) {
    return EntryAge::kCurrent;
  }
  if (known.removal) {
    return MayPrecedeRemoval(known, now) ? EntryAge::kUnconfirmedReturn : EntryAge::kCurrent;
  }
  const bool contradicts = known.draining && !entry.draining;
  return contradicts || entry.heartbeat < known.heartbeat ? EntryAge::kUnconfirmedStart
                                                          : EntryAge::kCurrent;
}

}  // namespace sycamorestall

#pragma once

#include <map>
#include <optional>

#include "core/endpoint_entry.h"

namespace sycamorestall {

// What an entry says of its endpoint, given what was known before.
enum class EntryAge {
  // It describes the endpoint as it is.
  kCurrent,
  // It was written before what is known.
  kOutdated,
  // The endpoint is back in the list, or an earlier heartbeat of it was written late.
  kUnconfirmedReturn,
  // The endpoint has started again with an earlier start time, or a heartbeat of an earlier
  // incarnation was written late.
  kUnconfirmedStart,
};

// The age as a word for logs and metrics.
const char* ToString(EntryAge age);

// Why an endpoint is no longer in the list.
enum class RemovalCause {
  // It left, or was silent for too long.
  kRemoved,
  // Its entry was lost: the store was out of reach, or another writer overwrote it.
  kLost,
};

// Remembers the incarnations and heartbeats of endpoints and their removals, so that entries which
// the store wrote late, or took from an older copy, are told from those of endpoints that are back.
class EndpointHistory {
 public:
  // Notes that all endpoints listed at this daemon's start have been recorded.
  void FinishLoading() { loaded_ = true; }
  // Notes an entry that was applied.
  void RecordEntry(const EndpointEntry& entry);
  // Notes that an endpoint's entry was removed.
  void RecordRemoval(const InstanceId& id, RemovalCause cause, Instant now);
  // Judges an entry. `restored` tells that it comes from a store that may have gone back to an
  // older copy.
  EntryAge Judge(const EndpointEntry& entry, bool restored, Instant now) const;

 private:
  struct Removal {
    RemovalCause cause = RemovalCause::kRemoved;
    Instant at;
  };
  struct KnownEndpoint {
    Incarnation incarnation;
    // The highest count of a heartbeat of the incarnation.
    std::uint64_t heartbeat = 0;
    bool draining = false;
    std::optional<Removal> removal;
    // The highest counts of earlier incarnations.
    std::map<Incarnation, std::uint64_t> earlier = {};
  };

  static EntryAge JudgeSameIncarnation(const EndpointEntry& entry, const KnownEndpoint& known,
                                       bool restored, Instant now);
  static EntryAge JudgeOtherIncarnation(const EndpointEntry& entry, const KnownEndpoint& known,
                                        bool restored, Instant now);
  // Judges an entry without an incarnation, of an endpoint that had none before.
  static EntryAge JudgeWithoutIncarnation(const EndpointEntry& entry, const KnownEndpoint& known,
                                          Instant now);
  // Whether a write from before the removal may still come.
  static bool MayPrecedeRemoval(const KnownEndpoint& known, Instant now);
  void DiscardOld(Instant now);

  bool loaded_ = false;
  std::map<InstanceId, KnownEndpoint> endpoints_;
};

}  // namespace sycamorestall

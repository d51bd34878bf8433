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
  // The endpoint has started again with an earlier start time, or a heartbeat of an earlier
  // incarnation was written late.
  kUnconfirmedStart,
};

// The age as a word for logs and metrics.
const char* ToString(EntryAge age);

// Remembers the incarnations and heartbeats of endpoints and their removals, so that entries which
// the store wrote late, or took from an older copy, are told from those of endpoints that are back.
class EndpointHistory {
 public:
  // Notes an entry that was applied.
  void RecordEntry(const EndpointEntry& entry);
  // Notes that an endpoint's entry was removed.
  void RecordRemoval(const InstanceId& id, Instant now);
  // Judges an entry. `restored` tells that it comes from a store that may have gone back to an
  // older copy.
  EntryAge Judge(const EndpointEntry& entry, bool restored) const;

 private:
  struct KnownEndpoint {
    Incarnation incarnation;
    // The highest count of a heartbeat of the incarnation.
    std::uint64_t heartbeat = 0;
    bool draining = false;
    std::optional<Instant> removed_at;
    // The highest counts of earlier incarnations.
    std::map<Incarnation, std::uint64_t> earlier = {};
  };

  static EntryAge JudgeSameIncarnation(const EndpointEntry& entry, const KnownEndpoint& known,
                                       bool restored);
  static EntryAge JudgeOtherIncarnation(const EndpointEntry& entry, const KnownEndpoint& known,
                                        bool restored);
  // Judges an entry without an incarnation, of an endpoint that had none before.
  static EntryAge JudgeWithoutIncarnation(const EndpointEntry& entry, const KnownEndpoint& known);
  void DiscardOld(Instant now);

  std::map<InstanceId, KnownEndpoint> endpoints_;
};

}  // namespace sycamorestall

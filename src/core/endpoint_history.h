#pragma once

#include <map>
#include <optional>

#include "core/endpoint_entry.h"

namespace sycamorestall {

// Remembers which endpoints have left or are leaving, so that an older copy of the store cannot
// bring them back. Entries without an incarnation are not remembered: a restart under the same id
// would look like an older copy.
class EndpointHistory {
 public:
  // Notes an entry that was applied.
  void RecordEntry(const EndpointEntry& entry);
  // Notes that an endpoint's entry was removed.
  void RecordRemoval(const InstanceId& id, Instant now);
  // Whether an entry is older than what is known of the endpoint. `restored` tells that it comes
  // from a store that may have gone back to an older copy.
  bool IsOutdated(const EndpointEntry& entry, bool restored) const;

 private:
  struct KnownEndpoint {
    Incarnation incarnation;
    bool draining = false;
    std::optional<Instant> removed_at;
  };

  void DiscardOld(Instant now);

  std::map<InstanceId, KnownEndpoint> endpoints_;
};

}  // namespace sycamorestall

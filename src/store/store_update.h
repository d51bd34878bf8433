#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "store/store.h"

namespace sycamorestall {

// A store event as sent between daemons: large values are compressed.
struct RelayedEvent {
  std::string key;
  std::string value;
  Revision revision;
  bool removed = false;
  // Size of the value once decompressed; 0 if it is not compressed.
  std::uint32_t uncompressed_bytes = 0;

  friend bool operator==(const RelayedEvent&, const RelayedEvent&) = default;
};

// Converts an event for sending, compressing its value if that makes it smaller.
RelayedEvent CompressEvent(const StoreEvent& event);
// Restores the original event; empty if its value cannot be decompressed.
std::optional<StoreEvent> DecompressEvent(const RelayedEvent& event);

// A batch of store events that the watching daemon relays to the other daemons of its domain.
struct StoreUpdate {
  // The events after `base` up to and including `revision`, without those that changed nothing. Of
  // each key only the latest event may be there.
  Revision base;
  Revision revision;
  // Time since the store last answered the sender.
  std::uint32_t answered_ms_ago = 0;
  std::vector<RelayedEvent> events;

  friend bool operator==(const StoreUpdate&, const StoreUpdate&) = default;
};

// Splits events, sorted by revision, into updates that fit into datagrams and lead from the base to
// the revision; always at least one. Events of one revision stay in one update, as receivers would
// take a part of them for the whole revision. Revisions too large for a datagram are left out,
// which leaves a gap that receivers detect. Events after the revision are in the last update.
std::vector<StoreUpdate> SplitIntoUpdates(const std::vector<StoreEvent>& events, Revision base,
                                          Revision revision, std::uint32_t answered_ms_ago);

}  // namespace sycamorestall

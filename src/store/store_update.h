#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "store/store.h"
#include "store/value_history.h"

namespace sycamorestall {

// A store event as sent between daemons: large values are compressed, as the difference from an
// earlier version if the receiver has one.
struct RelayedEvent {
  std::string key;
  std::string value;
  Revision revision;
  bool removed = false;
  // Size of the value once decompressed; 0 if it is not compressed.
  std::uint32_t uncompressed_bytes = 0;
  // The revision of the earlier version of the value; 0 if there is none.
  Revision earlier_revision;

  friend bool operator==(const RelayedEvent&, const RelayedEvent&) = default;
};

// Converts an event for sending. `earlier` is a version of its value that the receiver has, or
// null.
RelayedEvent CompressEvent(const StoreEvent& event, const StoreItem* earlier);
// Restores the original event; empty if its value cannot be decompressed, or the earlier version
// is not known.
std::optional<StoreEvent> DecompressEvent(const RelayedEvent& event, const ValueHistory& values);

// A batch of store events that the watching daemon relays to the other daemons of its domain.
struct StoreUpdate {
  // The events after `base` up to and including `revision`, without those that changed nothing. Of
  // each key only the latest event may be there.
  Revision base;
  Revision revision;
  // Time since the store last answered the sender, in milliseconds.
  std::uint32_t answered_ms_ago = 0;
  // Whether the receiver has not confirmed `base` yet; if it misses updates before that, they are
  // sent again.
  bool base_assumed = false;
  std::vector<RelayedEvent> events;

  friend bool operator==(const StoreUpdate&, const StoreUpdate&) = default;
};

// Splits events, sorted by revision, into updates that fit into datagrams and lead from the base to
// the revision; always at least one. Events of one revision stay in one update, as receivers would
// take a part of them for the whole revision. Revisions too large for a datagram are left out,
// which leaves a gap that receivers detect. Events after the revision are in the last update.
std::vector<StoreUpdate> SplitIntoUpdates(const std::vector<RelayedEvent>& events, Revision base,
                                          Revision revision);

}  // namespace sycamorestall

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
  // The events after `base` up to and including `revision`, without those that changed nothing.
  Revision base;
  Revision revision;
  // Time since the store last answered the sender.
  std::uint32_t answered_ms_ago = 0;
  std::vector<RelayedEvent> events;

  friend bool operator==(const StoreUpdate&, const StoreUpdate&) = default;
};

// Collects events and splits them into updates that fit into datagrams. Events of one revision
// stay in one update, as receivers would take a part of them for the whole revision.
class StoreUpdateBatcher {
 public:
  // Adds an event that changed something in this daemon.
  void Add(const StoreEvent& event) { events_.push_back(event); }
  // Discards the collected events. Receivers behind the revision have to call the store
  // themselves.
  void Reset(Revision revision);
  // Returns and clears the updates since the last call or reset, up to the revision; always at
  // least one. Revisions too large for a datagram are left out, which leaves a gap that
  // receivers detect.
  std::vector<StoreUpdate> DrainUpdates(Revision revision, std::uint32_t answered_ms_ago);
  // Number of revisions left out so far because they were too large.
  std::uint64_t left_out_revisions() const { return left_out_revisions_; }

 private:
  Revision drained_until_;
  std::vector<StoreEvent> events_;
  std::uint64_t left_out_revisions_ = 0;
};

}  // namespace sycamorestall

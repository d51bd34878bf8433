#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "store/store.h"

namespace sycamorestall {

// An event as it goes from daemon to daemon: large values are compressed.
struct NewsEvent {
  std::string key;
  std::string value;
  Revision revision;
  bool removed = false;
  // How long the value is when it is not compressed any more; 0 says that it is not.
  std::uint32_t unpacked_bytes = 0;

  friend bool operator==(const NewsEvent&, const NewsEvent&) = default;
};

// Makes an event ready to be passed on.
NewsEvent PackEvent(const StoreEvent& event);
// The event as the store gave it; empty when its value cannot be read.
std::optional<StoreEvent> UnpackEvent(const NewsEvent& event);

// What a daemon that watches the store passes on to the others of its domain.
struct StoreNews {
  // The events are those between the two revisions, but for what told nothing new.
  Revision base;
  Revision revision;
  // How long ago the store last answered the daemon that passes this on.
  std::uint32_t answered_ms_ago = 0;
  std::vector<NewsEvent> events;

  friend bool operator==(const StoreNews&, const StoreNews&) = default;
};

// Gathers events to be passed on, and cuts them into news that fit into datagrams.
// Events of one revision stay together: a part of them would look like all.
class NewsWriter {
 public:
  // Adds an event that told this daemon something new.
  void Add(const StoreEvent& event) { events_.push_back(event); }
  // Forgets what was gathered: whoever knows less than the revision has to ask the
  // store itself.
  void Reset(Revision revision);
  // The news since the last call or reset, up to the revision; at least one. Events
  // too large for a datagram are left out, which leaves a gap that others notice.
  std::vector<StoreNews> Take(Revision revision, std::uint32_t answered_ms_ago);

 private:
  Revision told_;
  std::vector<StoreEvent> events_;
};

}  // namespace sycamorestall

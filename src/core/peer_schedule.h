#pragma once

#include <cstddef>

#include "core/boot_clock.h"

namespace sycamorestall {

// How often daemons tell each other about themselves. Each sends to all others, so the intervals
// grow with their number: a daemon receives a bounded number of datagrams a second.
struct PeerSchedule {
  // Between two messages of a daemon to all others.
  Duration gossip_interval{};
  // What a daemon said counts for this long. Longer than two intervals, as datagrams get lost.
  Duration state_time_to_live{};
  // Between two reports of a daemon's requests to the leader of their keys.
  Duration demand_interval{};

  friend bool operator==(const PeerSchedule&, const PeerSchedule&) = default;
};

// Returns the schedule for a number of daemons, this one included.
PeerSchedule PeerScheduleFor(std::size_t daemons);

// Returns the time between two announcements of a leader that each take so many datagrams to each
// of its peers.
Duration AnnouncementInterval(std::size_t peers, std::size_t datagrams_each);

}  // namespace sycamorestall

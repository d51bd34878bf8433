#include "core/peer_schedule.h"

#include <algorithm>

namespace sycamorestall {

namespace {

constexpr std::chrono::milliseconds kMinGossipInterval{100};
constexpr std::chrono::milliseconds kMinStateTimeToLive{1000};
constexpr double kIntervalsToLive = 2.5;
constexpr std::chrono::milliseconds kMinDemandInterval{100};
constexpr std::chrono::milliseconds kMinAnnouncementInterval{40};
// Datagrams a second: of gossip to each daemon, of demand to a leader, and of announcements by a
// leader.
constexpr double kMaxGossipRate = 130;
constexpr double kMaxDemandRate = 300;
constexpr double kMaxAnnouncementRate = 400;

// The interval at which so many datagrams come at the given rate.
Duration IntervalFor(std::size_t datagrams, double rate) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(datagrams) / rate));
}

}  // namespace

PeerSchedule PeerScheduleFor(std::size_t daemons) {
  PeerSchedule schedule;
  schedule.gossip_interval =
      std::max<Duration>(kMinGossipInterval, IntervalFor(daemons, kMaxGossipRate));
  schedule.state_time_to_live = std::max<Duration>(
      kMinStateTimeToLive,
      std::chrono::duration_cast<Duration>(schedule.gossip_interval * kIntervalsToLive));
  schedule.demand_interval =
      std::max<Duration>(kMinDemandInterval, IntervalFor(daemons, kMaxDemandRate));
  return schedule;
}

Duration AnnouncementInterval(std::size_t peers, std::size_t datagrams_each) {
  return std::max<Duration>(kMinAnnouncementInterval,
                            IntervalFor(peers * datagrams_each, kMaxAnnouncementRate));
}

}  // namespace sycamorestall

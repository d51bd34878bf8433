#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/boot_clock.h"

namespace sycamorestall {

// What an endpoint's answer says about its load.
struct ReportedLoad {
  // Requests that it runs, that wait there, and that it can run at a time.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  // The time that requests take there at present, in percent of the usual one; empty if it did not
  // say.
  std::optional<std::uint32_t> service_time_percent{};

  friend bool operator==(const ReportedLoad&, const ReportedLoad&) = default;
};

// The latest load that an endpoint reported to this daemon. It corrects the load counted from the
// daemons' messages while it is newer than these, and the expected service time for a short while,
// as that changes many times a second.
class LatestReportedLoad {
 public:
  // own_in_flight are this daemon's requests in flight there, which the load includes.
  void Set(const ReportedLoad& load, std::size_t own_in_flight, Instant now);
  // Forgets the counts, as what the other daemons reported is newer.
  void DropCounts() { peers_in_flight_.reset(); }

  // The requests in flight there from the other daemons; empty if that is not known.
  const std::optional<std::size_t>& peers_in_flight() const { return peers_in_flight_; }
  // The factor by which requests take longer there than usual; 1 if that is not known.
  double ServiceTimeFactor(Instant now) const;
  // When the load was received; empty if there was none.
  const std::optional<Instant>& received_at() const { return received_at_; }

 private:
  std::optional<std::size_t> peers_in_flight_;
  double service_time_factor_ = 1;
  std::optional<Instant> received_at_;
};

}  // namespace sycamorestall

#include "router/memory_reporter.h"

#include <string>

namespace sycamorestall {

namespace {

constexpr std::chrono::seconds kLineInterval{1};

}  // namespace

void MemoryReporter::LogReleases(Instant now) {
  const MemoryReleases releases = account_.releases();
  if (releases == logged_ || now < next_line_at_) {
    return;
  }
  log_.Warning("memory short held=" + std::to_string(account_.held()) +
               " limit=" + std::to_string(account_.max_bytes()) +
               " refused=" + std::to_string(releases.refused - logged_.refused) +
               " closed=" + std::to_string(releases.closed - logged_.closed));
  logged_ = releases;
  next_line_at_ = now + kLineInterval;
}

void MemoryReporter::UpdateGauges(Metrics& metrics) const {
  metrics.SetGauge("memory_held_bytes", static_cast<double>(account_.held()));
  metrics.SetGauge("memory_held_peak_bytes", static_cast<double>(account_.peak()));
  metrics.SetGauge("memory_limit_bytes", static_cast<double>(account_.max_bytes()));
  metrics.SetGauge("memory_refusals_total", static_cast<double>(account_.releases().refused));
  metrics.SetGauge("memory_closed_connections_total",
                   static_cast<double>(account_.releases().closed));
}

}  // namespace sycamorestall

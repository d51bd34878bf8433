#include "core/reported_load.h"

#include <algorithm>
#include <cmath>

namespace sycamorestall {

namespace {

// A reported service time loses two thirds of its weight in this time; endpoints are slow or fast
// for about 0.4 s.
constexpr double kFactorDecaySeconds = 0.2;
constexpr double kUsualPercent = 100;

}  // namespace

void LatestReportedLoad::Set(const ReportedLoad& load, std::size_t own_in_flight, Instant now) {
  const std::size_t total = std::size_t{load.running} + load.waiting;
  peers_in_flight_ = total - std::min(total, own_in_flight);
  service_time_factor_ =
      load.service_time_percent ? *load.service_time_percent / kUsualPercent : 1.0;
  received_at_ = now;
}

double LatestReportedLoad::ServiceTimeFactor(Instant now) const {
  if (!received_at_) {
    return 1;
  }
  const double age_s = std::max(0.0, std::chrono::duration<double>(now - *received_at_).count());
  return 1 + (service_time_factor_ - 1) * std::exp(-age_s / kFactorDecaySeconds);
}

}  // namespace sycamorestall

#include "core/endpoint_choice.h"

#include <algorithm>

namespace sycamorestall {

namespace {

// Service time assumed while no endpoint of the service has been measured.
constexpr double kDefaultServiceTimeSeconds = 0.1;
// Multiplies the service time of an endpoint that is still warming up.
constexpr double kColdStartFactor = 2.0;
// Extra cost of a failed attempt, as a multiple of a served one's cost.
constexpr double kFailurePenalty = 8.0;

}  // namespace

double ExpectedLatencySeconds(const EndpointState& endpoint, double mean_service_time_s,
                              Instant now) {
  const double fallback =
      mean_service_time_s > 0 ? mean_service_time_s : kDefaultServiceTimeSeconds;
  const double service_time_s =
      endpoint.mean_service_time_s > 0 ? endpoint.mean_service_time_s : fallback;
  const double cold_start_factor =
      endpoint.mean_service_time_s == 0 && now < endpoint.warm_up_ends_at ? kColdStartFactor : 1.0;
  return service_time_s * endpoint.queueing_factor() * cold_start_factor;
}

std::optional<EndpointChoice> LeastLatencyChooser::Choose(
    const EndpointFleet& fleet, const EndpointChoiceRequest& request) const {
  const double mean_s = fleet.MeanServiceTimeSeconds(request.service);
  const EndpointState* best = nullptr;
  bool best_avoided = false;
  double best_cost = 0;
  double best_expected_s = 0;
  for (const auto& [id, state] : fleet.EndpointsOfService(request.service)) {
    const EndpointState& endpoint = *state;
    const bool paused = endpoint.PauseLeft(request.now) > Duration{};
    if (endpoint.draining() || paused || request.tried.contains(id)) {
      continue;
    }
    const double expected_latency_s = ExpectedLatencySeconds(endpoint, mean_s, request.now);
    const double load_factor =
        1 + static_cast<double>(endpoint.load()) /
                static_cast<double>(std::max<std::size_t>(endpoint.entry.slots, 1));
    const double domain_factor =
        endpoint.entry.domain == request.domain ? 1.0 : request.cross_domain_cost_factor;
    const double cost = expected_latency_s * load_factor * domain_factor *
                        (1 + kFailurePenalty * endpoint.failure_rate);
    const bool avoided = request.now < endpoint.avoid_until ||
                         request.domains.IsUnreachable(endpoint.entry.domain, request.now);
    const bool better = best == nullptr || (best_avoided && !avoided) ||
                        (best_avoided == avoided && cost < best_cost);
    if (better) {
      best = &endpoint;
      best_avoided = avoided;
      best_cost = cost;
      best_expected_s = expected_latency_s;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return EndpointChoice{best->entry.id, best_expected_s};
}

}  // namespace sycamorestall

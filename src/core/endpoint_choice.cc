#include "core/endpoint_choice.h"

#include <algorithm>

namespace sycamorestall {

namespace {

// What a request takes while nothing is known of any endpoint of the service.
constexpr double kUnknownServiceSeconds = 0.1;
// How much longer an answer takes just after the start of an endpoint.
constexpr double kColdFactor = 2.0;
// How much a failed answer is held to cost against one that is served.
constexpr double kFailureFactor = 8.0;

}  // namespace

double ExpectedAnswerSeconds(const EndpointState& endpoint, double mean_service_s, Instant now) {
  const double fallback = mean_service_s > 0 ? mean_service_s : kUnknownServiceSeconds;
  const double service_s = endpoint.service_s > 0 ? endpoint.service_s : fallback;
  const double cold = endpoint.service_s == 0 && now < endpoint.warm_at ? kColdFactor : 1.0;
  return service_s * endpoint.rounds() * cold;
}

std::optional<Choice> ShortestAnswerChooser::Choose(const EndpointFleet& fleet,
                                                    const ChoiceRequest& request) const {
  const double mean_s = fleet.MeanServiceSeconds(request.service);
  const EndpointState* best = nullptr;
  bool best_avoided = false;
  double best_cost = 0;
  double best_expected_s = 0;
  for (const auto& [id, state] : fleet.OfService(request.service)) {
    const EndpointState& endpoint = *state;
    if (endpoint.entry.draining || request.tried.contains(id)) {
      continue;
    }
    const double expected_s = ExpectedAnswerSeconds(endpoint, mean_s, request.now);
    const double busy = 1 + static_cast<double>(endpoint.load()) /
                                static_cast<double>(std::max<std::size_t>(endpoint.entry.slots, 1));
    const double domain =
        endpoint.entry.domain == request.domain ? 1.0 : request.other_domain_factor;
    const double cost = expected_s * busy * domain * (1 + kFailureFactor * endpoint.failure_share);
    const bool avoided = request.now < endpoint.avoid_until ||
                         request.domains.IsSilent(endpoint.entry.domain, request.now);
    const bool better = best == nullptr || (best_avoided && !avoided) ||
                        (best_avoided == avoided && cost < best_cost);
    if (better) {
      best = &endpoint;
      best_avoided = avoided;
      best_cost = cost;
      best_expected_s = expected_s;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return Choice{best->entry.id, best_expected_s};
}

}  // namespace sycamorestall

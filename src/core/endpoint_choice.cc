#include "core/endpoint_choice.h"

#include <algorithm>

namespace sycamorestall {

namespace {

// What an answer takes while nothing is known of any endpoint of the service.
constexpr double kUnknownAnswerSeconds = 0.1;
// How much longer an answer takes just after the start of an endpoint.
constexpr double kColdFactor = 2.0;
// How much a failed answer is held to cost against one that is served.
constexpr double kFailureFactor = 8.0;
// Crossing failure domains costs bytes and a little time.
constexpr double kOtherDomainFactor = 1.1;

}  // namespace

double ExpectedAnswerSeconds(const EndpointState& endpoint, double mean_answer_s, Instant now) {
  const double fallback = mean_answer_s > 0 ? mean_answer_s : kUnknownAnswerSeconds;
  const double answer_s = endpoint.answer_s > 0 ? endpoint.answer_s : fallback;
  const auto slots = static_cast<double>(std::max<std::size_t>(endpoint.entry.slots, 1));
  const double ahead = static_cast<double>(endpoint.load()) + 1;
  const double rounds = std::max(1.0, ahead / slots);
  const double cold = endpoint.answer_s == 0 && now < endpoint.warm_at ? kColdFactor : 1.0;
  return answer_s * rounds * cold;
}

std::optional<Choice> ShortestAnswerChooser::Choose(const EndpointFleet& fleet,
                                                    const ChoiceRequest& request) const {
  const double mean_s = fleet.MeanAnswerSeconds(request.service);
  const EndpointState* best = nullptr;
  bool best_avoided = false;
  double best_cost = 0;
  double best_expected_s = 0;
  for (const auto& [id, endpoint] : fleet.all()) {
    if (endpoint.entry.service != request.service || endpoint.entry.draining ||
        request.tried.contains(id)) {
      continue;
    }
    const double expected_s = ExpectedAnswerSeconds(endpoint, mean_s, request.now);
    const double busy = 1 + static_cast<double>(endpoint.load()) /
                                static_cast<double>(std::max<std::size_t>(endpoint.entry.slots, 1));
    const double domain = endpoint.entry.domain == request.domain ? 1.0 : kOtherDomainFactor;
    const double cost = expected_s * busy * domain * (1 + kFailureFactor * endpoint.failure_share);
    const bool avoided = request.now < endpoint.avoid_until;
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

#include "core/endpoint_choice.h"

#include <algorithm>
#include <random>
#include <vector>

namespace sycamorestall {

namespace {

// Service time assumed while no endpoint of the service has been measured.
constexpr double kDefaultServiceTimeSeconds = 0.1;
// Multiplies the service time of an endpoint that is still warming up.
constexpr double kColdStartFactor = 2.0;
// Extra cost of a failed attempt, as a multiple of a served one's cost.
constexpr double kFailurePenalty = 8.0;
// Requests that an endpoint may get per slot before the daemons hear of each other's.
constexpr double kQueueRoomPerSlot = 2.0;
constexpr std::size_t kMinCompared = 2;

}  // namespace

double ExpectedLatencySeconds(const EndpointState& endpoint, double mean_service_time_s,
                              Instant now) {
  const double fallback =
      mean_service_time_s > 0 ? mean_service_time_s : kDefaultServiceTimeSeconds;
  const double service_time_s =
      endpoint.mean_service_time_s > 0 ? endpoint.mean_service_time_s : fallback;
  const double cold_start_factor =
      endpoint.mean_service_time_s == 0 && now < endpoint.warm_up_ends_at ? kColdStartFactor : 1.0;
  return service_time_s * endpoint.slowdown.At(now) * endpoint.queueing_factor() *
         cold_start_factor;
}

namespace {

bool IsPreferred(const EndpointState& endpoint, const EndpointChoiceRequest& request) {
  return request.preferred_domains == nullptr ||
         request.preferred_domains->contains(endpoint.entry.domain);
}

// The endpoints that accept requests: those of other than the preferred domains only if there are
// no others, and those to be avoided only if there are none of these either.
std::vector<const EndpointState*> UsableEndpoints(const EndpointFleet& fleet,
                                                  const EndpointChoiceRequest& request) {
  std::vector<const EndpointState*> preferred;
  std::vector<const EndpointState*> usable;
  std::vector<const EndpointState*> avoided;
  for (const auto& [id, endpoint] : fleet.EndpointsOfService(request.service)) {
    const bool limited =
        request.cold_limiter != nullptr && !request.cold_limiter->MaySend(*endpoint, request.now);
    if (!endpoint->AcceptsRequests(request.now) || limited || request.tried.contains(id)) {
      continue;
    }
    const bool avoid = request.now < endpoint->avoid_until ||
                       request.domains.IsUnreachable(endpoint->entry.domain, request.now);
    (avoid ? avoided : IsPreferred(*endpoint, request) ? preferred : usable).push_back(endpoint);
  }
  if (!preferred.empty()) {
    return preferred;
  }
  return usable.empty() ? avoided : usable;
}

// How many endpoints to compare so that the one that looks best does not get more requests than it
// can queue before the daemons hear of each other's.
std::size_t CountToCompare(const std::vector<const EndpointState*>& endpoints, double mean_s,
                           const EndpointChoiceRequest& request) {
  double load = 0;
  double slots = 0;
  for (const EndpointState* endpoint : endpoints) {
    load += static_cast<double>(endpoint->load());
    slots += static_cast<double>(endpoint->entry.slots);
  }
  const double service_time_s = mean_s > 0 ? mean_s : kDefaultServiceTimeSeconds;
  const double ages = std::chrono::duration<double>(request.load_age).count() / service_time_s;
  // Requests of the others that an endpoint gets on average before they are known here.
  const double others = 1 - 1 / static_cast<double>(std::max<std::size_t>(request.daemons, 1));
  const double unknown = others * ages * load / static_cast<double>(endpoints.size());
  const double room = kQueueRoomPerSlot * slots / static_cast<double>(endpoints.size());
  const double count = room / std::max(unknown, room / static_cast<double>(endpoints.size()));
  return std::max(kMinCompared, static_cast<std::size_t>(count));
}

// Moves `count` endpoints taken at random to the front, half of them from the own domain if it has
// as many.
void MoveSampleToFront(std::vector<const EndpointState*>& endpoints, std::size_t count,
                       const EndpointChoiceRequest& request) {
  std::minstd_rand random{static_cast<std::minstd_rand::result_type>(request.random)};
  std::shuffle(endpoints.begin(), endpoints.end(), random);
  std::size_t own = 0;
  for (std::size_t i = 0; i < endpoints.size() && own < (count + 1) / 2; ++i) {
    if (endpoints[i]->entry.domain == request.domain) {
      std::swap(endpoints[own++], endpoints[i]);
    }
  }
}

}  // namespace

std::optional<EndpointChoice> LeastLatencyChooser::Choose(
    const EndpointFleet& fleet, const EndpointChoiceRequest& request) const {
  std::vector<const EndpointState*> endpoints = UsableEndpoints(fleet, request);
  if (endpoints.empty()) {
    return std::nullopt;
  }
  const double mean_s = fleet.MeanServiceTimeSeconds(request.service);
  const std::size_t count = CountToCompare(endpoints, mean_s, request);
  if (count < endpoints.size()) {
    MoveSampleToFront(endpoints, count, request);
    endpoints.resize(count);
  }
  const EndpointState* best = nullptr;
  double best_cost = 0;
  double best_expected_s = 0;
  for (const EndpointState* endpoint : endpoints) {
    const double expected_s = ExpectedLatencySeconds(*endpoint, mean_s, request.now) *
                              endpoint->reported_load.ServiceTimeFactor(request.now);
    const double load_factor =
        1 + static_cast<double>(endpoint->load()) /
                static_cast<double>(std::max<std::size_t>(endpoint->entry.slots, 1));
    const double domain_factor =
        endpoint->entry.domain == request.domain ? 1.0 : request.cross_domain_cost_factor;
    const double cost =
        expected_s * load_factor * domain_factor * (1 + kFailurePenalty * endpoint->failure_rate);
    if (best == nullptr || cost < best_cost) {
      best = endpoint;
      best_cost = cost;
      best_expected_s = expected_s;
    }
  }
  return EndpointChoice{best->entry.id, best_expected_s};
}

}  // namespace sycamorestall

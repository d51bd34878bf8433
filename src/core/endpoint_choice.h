#pragma once

#include <set>

#include "core/cold_start_limiter.h"
#include "core/domain_reachability.h"
#include "core/endpoint_fleet.h"

namespace sycamorestall {

// What matters about a request of a service without keys when it might leave its failure domain.
struct KeylessRequest {
  std::size_t body_bytes = 0;
  // The time until its latency target.
  Duration latency_target{};
};

// The request that an endpoint is chosen for, and the state that the choice depends on.
struct EndpointChoiceRequest {
  ServiceName service;
  // The daemon's own failure domain.
  DomainName domain;
  // Endpoints that this request has already been sent to; never chosen again.
  std::set<InstanceId> tried;
  // Multiplies the cost of endpoints in other domains, because traffic between
  // domains is charged for.
  double cross_domain_cost_factor = 1.2;
  // Endpoints of unreachable domains are chosen only if there is no other.
  const DomainReachability& domains;
  Instant now;
  // How old the reported loads of the other daemons may be, and the number of all daemons.
  Duration load_age{};
  std::size_t daemons = 1;
  // A number that differs between requests, for choices made at random.
  std::uint64_t random = 0;
  // Endpoints to which it allows no request now are not chosen; null if there is no such limit.
  const ColdStartLimiter* cold_limiter = nullptr;
  // If an endpoint of these domains can be chosen, none of others is; null for any domain.
  const std::set<DomainName>* preferred_domains = nullptr;
  // Empty for services with keys.
  std::optional<KeylessRequest> without_keys{};
};

// The chosen endpoint and its expected latency in seconds, including queueing.
struct EndpointChoice {
  InstanceId endpoint;
  double expected_latency_s = 0;

  friend bool operator==(const EndpointChoice&, const EndpointChoice&) = default;
};

// Chooses the endpoint for a request that any endpoint of the service can serve.
class EndpointChooser {
 public:
  virtual ~EndpointChooser() = default;

  // Returns nullopt if no endpoint of the service accepts requests or all have been tried.
  virtual std::optional<EndpointChoice> Choose(const EndpointFleet& fleet,
                                               const EndpointChoiceRequest& request) const = 0;
};

// Chooses the endpoint with the lowest cost: the expected latency (from the requests
// in flight from all daemons, the slots and the measured service time), raised for
// load, recent failures and other domains. This balances the load across endpoints
// that differ in speed, become slow, fail or start cold. Under a load of which the
// other daemons' part is known late, only some endpoints, taken at random, are compared:
// otherwise all daemons would send to the same ones until they hear of it.
class LeastLatencyChooser : public EndpointChooser {
 public:
  std::optional<EndpointChoice> Choose(const EndpointFleet& fleet,
                                       const EndpointChoiceRequest& request) const override;
};

// Returns the expected latency of one more request at the endpoint, in seconds.
// mean_service_time_s is the mean over the service; 0 while unknown.
double ExpectedLatencySeconds(const EndpointState& endpoint, double mean_service_time_s,
                              Instant now);

}  // namespace sycamorestall

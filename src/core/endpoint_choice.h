#pragma once

#include <set>

#include "core/domain_watch.h"
#include "core/endpoint_fleet.h"

namespace sycamorestall {

// What a choice of an endpoint is made for.
struct ChoiceRequest {
  ServiceName service;
  // The daemon's own failure domain.
  DomainName domain;
  // Endpoints that have already been tried for this request.
  std::set<InstanceId> tried;
  // How much longer an answer from the daemon's own domain may take before another
  // domain is chosen: bytes between domains are paid for.
  double other_domain_factor = 1.2;
  // Which failure domains seem to be out of reach.
  const DomainWatch& domains;
  Instant now;
};

// An endpoint chosen, and how long an answer is likely to take there.
struct Choice {
  InstanceId endpoint;
  double expected_s = 0;

  friend bool operator==(const Choice&, const Choice&) = default;
};

// Says where a request that any endpoint of a service can serve should go.
class EndpointChooser {
 public:
  virtual ~EndpointChooser() = default;

  // Chooses an endpoint; empty when the service has none that takes requests.
  virtual std::optional<Choice> Choose(const EndpointFleet& fleet,
                                       const ChoiceRequest& request) const = 0;
};

// Chooses the endpoint with the shortest expected answer, from the requests that
// all daemons have there, its slots and its learnt speed. Answers the load of
// endpoints that differ in speed, turn slow, fail or start cold.
class ShortestAnswerChooser : public EndpointChooser {
 public:
  std::optional<Choice> Choose(const EndpointFleet& fleet,
                               const ChoiceRequest& request) const override;
};

// The time that an answer of an endpoint is likely to take for one request more.
double ExpectedAnswerSeconds(const EndpointState& endpoint, double mean_service_s, Instant now);

}  // namespace sycamorestall

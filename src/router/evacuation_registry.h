#pragma once

#include <memory>

#include "core/endpoint_fleet.h"
#include "core/route_table.h"
#include "log/log.h"
#include "metrics/metrics.h"

namespace sycamorestall {

// Applies the operator's evacuations of failure domains to the endpoints.
class EvacuationRegistry {
 public:
  EvacuationRegistry(EndpointFleet& fleet, const ComponentLog& log, Metrics& metrics);

  // Notes that the store names the domain as evacuated, and did not when it answered at
  // `known_until`.
  void Begin(const DomainName& domain, Instant known_until, Instant now);
  // Notes that the store does not name it any more. Its endpoints may have become cold meanwhile,
  // so they count as cold for as long as the configuration says for their service. `routes` may be
  // null.
  void End(const DomainName& domain, const RouteTable* routes, Instant now);

 private:
  // Counts the endpoints of the domain as cold; returns how many there are.
  std::size_t AssumeCold(const DomainName& domain, const RouteTable& routes, Instant now);
  void UpdateGauge();

  EndpointFleet& fleet_;
  const ComponentLog& log_;
  Metrics& metrics_;
};

}  // namespace sycamorestall

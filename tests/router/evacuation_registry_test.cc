#include "router/evacuation_registry.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace sycamorestall;  // NOLINT
using std::chrono::seconds;

namespace {

const Instant kStart = Instant{} + std::chrono::hours{1};
const ServiceName kColdService{"soil"};
const ServiceName kOtherService{"pumps"};

EndpointEntry MakeEndpoint(const std::string& id, const ServiceName& service) {
  EndpointEntry entry;
  entry.id = InstanceId{id};
  entry.service = service;
  entry.domain = DomainName{"north"};
  return entry;
}

// Until when an endpoint is cold; the start if it is not.
Instant ColdUntil(const EndpointFleet& fleet, const std::string& id) {
  return std::max(kStart, fleet.Find(InstanceId{id})->warm_up_ends_at);
}

}  // namespace

// Guards against a burst at endpoints that have become cold during an evacuation, and against
// endpoints that count as cold although nothing says so.
TEST_CASE("endpoints count as cold after an evacuation if their service has a cold time") {
  struct Row {
    std::string name;
    bool evacuated;
    bool configured;
    Instant cold_until;
  };
  const Row rows[] = {{"evacuated", true, true, kStart + seconds{15}},
                      {"never evacuated", false, true, kStart},
                      {"without a configuration", true, false, kStart}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RoutingConfig config;
    config.services[kColdService].cold_time = seconds{15};
    config.services[kOtherService] = {};
    const RouteTable routes{config};
    EndpointFleet fleet;
    const ComponentLog log{"test"};
    Metrics metrics;
    EvacuationRegistry evacuations{fleet, log, metrics};
    fleet.Put(MakeEndpoint("soil-0", kColdService), kStart);
    fleet.Put(MakeEndpoint("pump-0", kOtherService), kStart);
    if (row.evacuated) {
      evacuations.Begin(DomainName{"north"}, kStart, kStart);
    }
    evacuations.End(DomainName{"north"}, row.configured ? &routes : nullptr, kStart);
    CHECK(ColdUntil(fleet, "soil-0") == row.cold_until);
    CHECK(ColdUntil(fleet, "pump-0") == kStart);
    CHECK(metrics.FormatPrometheus().find("sycamorestall_evacuated_domains 0") !=
          std::string::npos);
  }
}

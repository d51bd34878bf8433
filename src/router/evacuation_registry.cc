#include "router/evacuation_registry.h"

#include <algorithm>

namespace sycamorestall {

EvacuationRegistry::EvacuationRegistry(EndpointFleet& fleet, const ComponentLog& log,
                                       Metrics& metrics)
    : fleet_(fleet), log_(log), metrics_(metrics) {
  UpdateGauge();
}

void EvacuationRegistry::Begin(const DomainName& domain, Instant known_until, Instant now) {
  if (!fleet_.SetEvacuated(domain, true, now, known_until)) {
    return;
  }
  const Instant until = fleet_.evacuations().Find(domain)->owned_keys_until;
  log_.Info("evacuation begun domain=" + domain.value() +
            " owned_keys_ms=" + FormatMilliseconds(std::max(until - now, Duration{})));
  UpdateGauge();
}

void EvacuationRegistry::End(const DomainName& domain, const RouteTable* routes, Instant now) {
  const auto evacuation = fleet_.evacuations().Find(domain);
  if (!evacuation) {
    return;
  }
  fleet_.SetEvacuated(domain, false, now);
  const std::size_t cold = routes == nullptr ? 0 : AssumeCold(domain, *routes, now);
  log_.Info("evacuation withdrawn domain=" + domain.value() +
            " after_ms=" + FormatMilliseconds(now - evacuation->learned_at) +
            " cold_endpoints=" + std::to_string(cold));
  UpdateGauge();
}

std::size_t EvacuationRegistry::AssumeCold(const DomainName& domain, const RouteTable& routes,
                                           Instant now) {
  std::size_t count = 0;
  for (const auto& [service, config] : routes.config().services) {
    if (config.cold_time > Duration{}) {
      count += fleet_.AssumeCold(domain, service, now + config.cold_time);
    }
  }
  return count;
}

void EvacuationRegistry::UpdateGauge() {
  metrics_.SetGauge("evacuated_domains", static_cast<double>(fleet_.evacuations().all().size()));
}

}  // namespace sycamorestall

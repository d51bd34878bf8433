#include "core/domain_evacuations.h"

#include <algorithm>

namespace sycamorestall {

namespace {

// A daemon learns of an evacuation within about 1.5 s. The rest is left for requests that are on
// their way to an endpoint when the limit passes.
constexpr std::chrono::milliseconds kReservedAfterLearning{2000};
// What is left for them if the daemon was out of touch with the store for longer.
constexpr std::chrono::milliseconds kReservedAfterRequest{700};

}  // namespace

bool DomainEvacuations::Begin(const DomainName& domain, Instant requested_after, Instant now) {
  const Instant until = std::min(now + time_limit_ - kReservedAfterLearning,
                                 requested_after + time_limit_ - kReservedAfterRequest);
  return evacuations_.try_emplace(domain, Evacuation{now, until}).second;
}

bool DomainEvacuations::End(const DomainName& domain) { return evacuations_.erase(domain) > 0; }

std::optional<Evacuation> DomainEvacuations::Find(const DomainName& domain) const {
  const auto found = evacuations_.find(domain);
  return found == evacuations_.end() ? std::nullopt : std::optional{found->second};
}

}  // namespace sycamorestall

#pragma once

#include <algorithm>
#include <map>
#include <optional>

#include "core/boot_clock.h"
#include "core/identifiers.h"

namespace sycamorestall {

// The evacuation of a failure domain, as this daemon knows it. Its endpoints get no requests that
// others can serve. Requests for keys go on to their owners there for some time, so that the keys
// can move together with their handover state.
struct Evacuation {
  // When this daemon learned of it.
  Instant learned_at;
  // Until when requests for keys may be sent to their owners.
  Instant owned_keys_until;

  // From when on this daemon sends no request to the domain.
  Instant requests_end_at() const { return std::max(learned_at, owned_keys_until); }

  friend bool operator==(const Evacuation&, const Evacuation&) = default;
};

// The failure domains that the operator has evacuated.
class DomainEvacuations {
 public:
  // Sets how long after the operator's request endpoints of the domain may get requests; 0 for as
  // soon as possible. It applies to evacuations that begin from now on.
  void set_time_limit(Duration limit) { time_limit_ = limit; }

  // Notes that a domain is evacuated; the operator requested it after `requested_after`. Returns
  // whether that is new.
  bool Begin(const DomainName& domain, Instant requested_after, Instant now);
  // Notes that a domain is not evacuated. Returns whether it was.
  bool End(const DomainName& domain);

  // The evacuation of a domain; empty if it is not evacuated.
  std::optional<Evacuation> Find(const DomainName& domain) const;
  const std::map<DomainName, Evacuation>& all() const { return evacuations_; }

 private:
  Duration time_limit_{};
  std::map<DomainName, Evacuation> evacuations_;
};

}  // namespace sycamorestall

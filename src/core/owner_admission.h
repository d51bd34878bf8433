#pragma once

#include <cstdint>
#include <map>

#include "core/admission.h"

namespace sycamorestall {

// Decides whether a request for a key may be sent to the key's owner. All daemons send to the same
// owner and hear of each other's requests late, so together they could send many times what it
// can queue. While more requests are expected in that time than the owner has places, each daemon
// may use only its share of these places in each period. A daemon whose share is below one place
// takes turns, which follow from a hash of the endpoint, the daemon and the period; this needs no
// messages, and the daemons' periods need not begin together.
class OwnerAdmission {
 public:
  explicit OwnerAdmission(InstanceId daemon) : daemon_(std::move(daemon)) {}

  // Decides on a request, which counts as sent if it is admitted. load_age is how old the loads
  // that the other daemons reported may be.
  AdmissionDecision Admit(const EndpointState& endpoint, double expected_latency_s,
                          const AdmissionRequest& request, Duration load_age, Instant now);

 private:
  // The requests sent to an endpoint in a period.
  struct Sent {
    std::int64_t period = 0;
    std::uint32_t count = 0;
  };

  AdmissionDecision Decide(const EndpointState& endpoint, double expected_latency_s,
                           const AdmissionRequest& request, Duration load_age, Instant now);
  // Returns how many requests this daemon may send in the period; whole numbers by turns.
  std::uint32_t QuotaInPeriod(const InstanceId& endpoint, double share, std::int64_t period) const;
  // Returns what was sent to the endpoint in the period.
  Sent& SentInPeriod(const InstanceId& endpoint, std::int64_t period);

  const InstanceId daemon_;
  std::map<InstanceId, Sent> sent_;
};

}  // namespace sycamorestall

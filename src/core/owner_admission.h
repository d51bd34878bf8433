#pragma once

#include <cstdint>
#include <map>

#include "core/admission.h"

namespace sycamorestall {

// Decides whether a request for a key may be sent to the key's owner. All daemons send to the same
// owner and hear of each other's requests late, so together they could send many times what it
// can queue. While more requests are expected in that time than the owner has places, each daemon
// may use only its share of these places in each period, which is the part of the load that was its
// own. A daemon whose share is below one place takes turns, which follow from a hash of the
// endpoint, the daemon and the period; this needs no messages, and the daemons' periods need not
// begin together.
class OwnerAdmission {
 public:
  explicit OwnerAdmission(InstanceId daemon) : daemon_(std::move(daemon)) {}

  // Decides on a request, which counts as sent if it is admitted. load_age is how old the loads
  // that the other daemons reported may be.
  AdmissionDecision Admit(const EndpointState& endpoint, double expected_latency_s,
                          AdmissionRequest request, Duration load_age);

 private:
  // What this daemon did and saw at an endpoint.
  struct History {
    // The requests sent in a period.
    std::int64_t period = 0;
    std::uint32_t sent = 0;
    // The average of the load per slot over the last seconds, as of a time.
    double load_per_slot = 0;
    // The same for the requests of this daemon.
    double own_load_per_slot = 0;
    Instant averaged_at;
  };

  AdmissionDecision Decide(const EndpointState& endpoint, double expected_latency_s,
                           const AdmissionRequest& request, Duration load_age);
  // Returns how many requests this daemon may send in the period; whole numbers by turns.
  std::uint32_t QuotaInPeriod(const InstanceId& endpoint, double share, std::int64_t period) const;
  // Returns the history of the endpoint, with the requests sent in the period.
  History& HistoryInPeriod(const InstanceId& endpoint, std::int64_t period);
  // Adds the load of the endpoint to its averages.
  void AverageLoad(const EndpointState& endpoint, Instant now);
  // Returns the share of the time to the latency target that requests to the endpoint may take.
  double TargetShare(const InstanceId& endpoint);
  // Returns the part of the requests for the endpoint that probably reach this daemon.
  double DemandShare(const InstanceId& endpoint, double daemons);

  const InstanceId daemon_;
  std::map<InstanceId, History> histories_;
};

}  // namespace sycamorestall

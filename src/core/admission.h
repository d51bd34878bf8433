#pragma once

#include <optional>

#include "core/endpoint_choice.h"
#include "core/routing_config.h"

namespace sycamorestall {

// A request to be admitted to an endpoint.
struct AdmissionRequest {
  // Time left until the deadline of the caller and the route.
  Duration time_left{};
  // 0 is the highest priority.
  int priority = 0;
  // Daemons that send requests to the endpoint, this one included.
  std::size_t daemons = 1;
  // The requests that callers have, as a multiple of what can be run; 0 if unknown.
  double demand_ratio = 0;
  // Time left until the latency target of the route, counted from the request's arrival. Negative
  // if the target has passed; empty if there is none.
  std::optional<Duration> target_left{};
  // A random number from 0 to 1, which spreads the times to retry.
  double random = 0.5;
  Instant now{};
  // The share of the time to the latency target that the expected latency may take, as half of the
  // requests take longer than expected.
  double target_share = 0.8;
};

// Why a request may not be sent to an endpoint now.
enum class AdmissionRefusal {
  kNone,
  // It would probably end after the time left.
  kTooLate,
  // It would probably end after the latency target, or delay others.
  kFull,
  // This daemon has used its share of the endpoint.
  kShareUsed,
};

// The cause as a part of the reason that callers get and of metrics.
const char* ToString(AdmissionRefusal refusal);

// Whether a request may be sent to an endpoint now, and if not, after which time a slot is likely
// to be free for it. While callers have more requests than the endpoint can run, that time grows
// with the excess: those who come back sooner would be refused again.
struct AdmissionDecision {
  bool admitted = true;
  Duration retry_after{};
  AdmissionRefusal refusal = AdmissionRefusal::kNone;

  friend bool operator==(const AdmissionDecision&, const AdmissionDecision&) = default;
};

// Returns how many requests the endpoint may have, including the running ones and this one, so
// that this request still finishes within its latency target. It is never less than the number of
// slots, as a request that gets a free slot delays no other. Requests of lower priority may use
// only a part of the room beyond the slots.
double AdmissionRoom(const EndpointState& endpoint, double service_time_s,
                     const AdmissionRequest& request);

// Decides whether an endpoint can answer one more request in time. Under overload,
// requests that would miss their latency target are refused at once instead of queueing
// and delaying others. expected_latency_s includes queueing.
AdmissionDecision CheckAdmission(const EndpointState& endpoint, double expected_latency_s,
                                 const AdmissionRequest& request);

// The decision that refuses a request, with the time to retry.
AdmissionDecision RefuseAdmission(const EndpointState& endpoint, double expected_latency_s,
                                  const AdmissionRequest& request, AdmissionRefusal refusal);

}  // namespace sycamorestall

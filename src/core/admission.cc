#include "core/admission.h"

#include <algorithm>

namespace sycamorestall {

namespace {

// Requests that an endpoint accepts per slot at most, including running ones. A longer queue does
// not let it finish more requests.
constexpr double kMaxQueueingFactor = 2.5;
// What each step of priority takes from the room beyond the slots.
constexpr double kRoomStepPerPriority = 0.2;
constexpr double kMinRoomShare = 0.2;
// The share of requests that count as most urgent whatever their priority is, so that requests of
// lower priority get some of the room that more urgent ones fill.
constexpr double kUnrankedShare = 0.125;
constexpr std::chrono::milliseconds kMinRetryAfter{50};
constexpr std::chrono::milliseconds kMaxRetryAfter{1000};
constexpr std::chrono::milliseconds kMaxRetryAfterInExcess{10'000};
// Times to retry are spread by this share to both sides, so that callers who were refused together
// do not return together.
constexpr double kRetryAfterSpread = 0.25;

// Callers are spread unevenly over the daemons, so a daemon may use this multiple of
// an equal share of an endpoint. With many daemons the load from the others is known
// late; without this limit all of them would overload a busy endpoint at once.
constexpr double kMaxShareMultiple = 3.0;
constexpr double kMinShare = 2.0;

// Returns how many requests this daemon may have in flight at the endpoint.
std::size_t DaemonShare(const EndpointState& endpoint, std::size_t daemons) {
  const double capacity = kMaxQueueingFactor * static_cast<double>(endpoint.entry.slots);
  const double share =
      kMaxShareMultiple * capacity / static_cast<double>(std::max<std::size_t>(daemons, 1));
  return static_cast<std::size_t>(std::max(kMinShare, share));
}

Duration SecondsToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

double AdmissionRoom(const EndpointState& endpoint, double service_time_s,
                     const AdmissionRequest& request) {
  const auto slots = static_cast<double>(std::max<std::size_t>(endpoint.entry.slots, 1));
  double queueing_factor =
      std::min(kMaxQueueingFactor, endpoint.learned_room.RequestsPerSlot(request.now));
  if (request.target_left && service_time_s > 0) {
    queueing_factor = std::min(
        queueing_factor, request.target_share * Seconds(*request.target_left) / service_time_s);
  }
  const int priority = request.random < kUnrankedShare ? 0 : request.priority;
  const double share = std::max(kMinRoomShare, 1 - kRoomStepPerPriority * priority);
  return slots * (1 + share * std::max(0.0, queueing_factor - 1));
}

const char* ToString(AdmissionRefusal refusal) {
  switch (refusal) {
    case AdmissionRefusal::kNone:
      return "none";
    case AdmissionRefusal::kTooLate:
      return "too slow";
    case AdmissionRefusal::kFull:
      return "full";
    case AdmissionRefusal::kShareUsed:
      break;
  }
  return "shared";
}

AdmissionDecision RefuseAdmission(const EndpointState& endpoint, double expected_latency_s,
                                  const AdmissionRequest& request, AdmissionRefusal refusal) {
  const double queueing_factor = endpoint.queueing_factor();
  const double service_time_s = expected_latency_s / queueing_factor;
  const double excess = std::max(1.0, request.demand_ratio);
  const double spread = 1 + kRetryAfterSpread * (2 * request.random - 1);
  Duration retry_after =
      SecondsToDuration(service_time_s * (queueing_factor - 1) * excess * spread);
  const Duration max_retry_after = excess > 1 ? kMaxRetryAfterInExcess : kMaxRetryAfter;
  retry_after = std::clamp<Duration>(retry_after, kMinRetryAfter, max_retry_after);
  if (request.target_left) {
    // The latest time from which the request can still finish within its target.
    const Duration latest =
        SecondsToDuration((Seconds(*request.target_left) - service_time_s) * spread);
    if (latest >= kMinRetryAfter) {
      retry_after = std::min(retry_after, latest);
    }
  }
  return {false, retry_after, refusal};
}

AdmissionDecision CheckAdmission(const EndpointState& endpoint, double expected_latency_s,
                                 const AdmissionRequest& request) {
  const double service_time_s = expected_latency_s / endpoint.queueing_factor();
  const double room = AdmissionRoom(endpoint, service_time_s, request);
  AdmissionRefusal refusal = AdmissionRefusal::kNone;
  if (SecondsToDuration(expected_latency_s) > request.time_left) {
    refusal = AdmissionRefusal::kTooLate;
  } else if (static_cast<double>(endpoint.load()) + 1 > room) {
    refusal = AdmissionRefusal::kFull;
  } else if (endpoint.in_flight >= DaemonShare(endpoint, request.daemons)) {
    refusal = AdmissionRefusal::kShareUsed;
  } else {
    return {};
  }
  return RefuseAdmission(endpoint, expected_latency_s, request, refusal);
}

}  // namespace sycamorestall

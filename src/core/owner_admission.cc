#include "core/owner_admission.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <string>

namespace sycamorestall {

namespace {

// How far below its estimate the rate of a few requests may be, in standard deviations. An owner
// that is not contended must not be taken for contended because two requests came together.
constexpr double kRateDeviations = 2.0;
// The rate is an average over about a second: a rate r is known from r requests, or twice as many
// at half the weight.
constexpr double kSamplesPerRate = 2.0;

// While an endpoint is busy for seconds, a queue that is too long makes all its requests late, and
// a shorter one costs nothing: the share of the time to the latency target that requests may take
// falls from the maximum to the minimum. A short burst may fill the queue up to the target.
constexpr double kMaxTargetShare = 0.95;
constexpr double kMinTargetShare = 0.7;
// The loads per slot between which it falls, and the time that they are averaged over.
constexpr double kBusyFrom = 1.0;
constexpr double kBusyUntil = 1.5;
constexpr double kLoadAverageSeconds = 3.0;
// Callers are spread unevenly over the daemons, so a daemon's share is its part of the load of the
// last seconds. An equal share counts as if it came from so many requests per slot; the parts of
// all daemons still add up to one.
constexpr double kEqualLoadPerSlot = 1.5;
// Histories that are older than this are removed once there are more than so many.
constexpr std::chrono::minutes kHistoryTimeToLive{1};
constexpr std::size_t kCleanupThreshold = 1000;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// A rate that the true one probably exceeds.
double ProbableRate(double rate) {
  return std::max(0.0, rate - kRateDeviations * std::sqrt(rate / kSamplesPerRate));
}

// The period that a time lies in.
std::int64_t PeriodAt(Instant now, Duration period) {
  return now.time_since_epoch() / std::max<Duration>(period, std::chrono::milliseconds{1});
}

}  // namespace

AdmissionDecision OwnerAdmission::Admit(const EndpointState& endpoint, double expected_latency_s,
                                        AdmissionRequest request, Duration load_age) {
  if (histories_.size() > kCleanupThreshold) {
    std::erase_if(histories_, [now = request.now](const auto& each) {
      return now - each.second.averaged_at > kHistoryTimeToLive;
    });
  }
  AverageLoad(endpoint, request.now);
  request.target_share = TargetShare(endpoint.entry.id);
  const AdmissionDecision decision = Decide(endpoint, expected_latency_s, request, load_age);
  if (decision.admitted) {
    ++HistoryInPeriod(endpoint.entry.id, PeriodAt(request.now, load_age)).sent;
  }
  return decision;
}

AdmissionDecision OwnerAdmission::Decide(const EndpointState& endpoint, double expected_latency_s,
                                         const AdmissionRequest& request, Duration load_age) {
  const auto daemons = static_cast<double>(std::max<std::size_t>(request.daemons, 1));
  const double service_time_s = expected_latency_s / endpoint.queueing_factor();
  if (daemons <= 1 || service_time_s <= 0) {
    return CheckAdmission(endpoint, expected_latency_s, request);
  }
  const double age_s = Seconds(load_age);
  const double room = AdmissionRoom(endpoint, service_time_s, request);
  const double finished = static_cast<double>(endpoint.entry.slots) * age_s / service_time_s;
  const double places = std::max(0.0, room - static_cast<double>(endpoint.load()) + finished);
  const double share = DemandShare(endpoint.entry.id, daemons);
  const double arrivals = ProbableRate(endpoint.demand.PerSecond(request.now)) * age_s / share;
  if (arrivals <= places) {
    return CheckAdmission(endpoint, expected_latency_s, request);
  }
  const std::int64_t period = PeriodAt(request.now, load_age);
  const std::uint32_t quota = QuotaInPeriod(endpoint.entry.id, places * share, period);
  if (service_time_s > Seconds(request.time_left)) {
    return RefuseAdmission(endpoint, expected_latency_s, request, AdmissionRefusal::kTooLate);
  }
  if (HistoryInPeriod(endpoint.entry.id, period).sent >= quota) {
    return RefuseAdmission(endpoint, expected_latency_s, request, AdmissionRefusal::kShareUsed);
  }
  return {};
}

std::uint32_t OwnerAdmission::QuotaInPeriod(const InstanceId& endpoint, double share,
                                            std::int64_t period) const {
  const std::string text =
      endpoint.value() + "\n" + daemon_.value() + "\n" + std::to_string(period);
  const double turn = std::ldexp(static_cast<double>(XXH3_64bits(text.data(), text.size())), -64);
  const double whole = std::floor(share);
  return static_cast<std::uint32_t>(whole) + (turn < share - whole ? 1 : 0);
}

OwnerAdmission::History& OwnerAdmission::HistoryInPeriod(const InstanceId& endpoint,
                                                         std::int64_t period) {
  History& history = histories_[endpoint];
  if (history.period != period) {
    history.period = period;
    history.sent = 0;
  }
  return history;
}

void OwnerAdmission::AverageLoad(const EndpointState& endpoint, Instant now) {
  History& history = histories_[endpoint.entry.id];
  const auto slots = static_cast<double>(std::max<std::size_t>(endpoint.entry.slots, 1));
  const double kept = std::exp(-Seconds(now - history.averaged_at) / kLoadAverageSeconds);
  const auto average = [&](double& mean, std::size_t requests) {
    const double per_slot = static_cast<double>(requests) / slots;
    mean = per_slot + kept * (mean - per_slot);
  };
  average(history.load_per_slot, endpoint.load());
  average(history.own_load_per_slot, endpoint.in_flight);
  history.averaged_at = now;
}

double OwnerAdmission::TargetShare(const InstanceId& endpoint) {
  const double busy = std::clamp(
      (histories_[endpoint].load_per_slot - kBusyFrom) / (kBusyUntil - kBusyFrom), 0.0, 1.0);
  return kMaxTargetShare - busy * (kMaxTargetShare - kMinTargetShare);
}

double OwnerAdmission::DemandShare(const InstanceId& endpoint, double daemons) {
  const History& history = histories_[endpoint];
  return (history.own_load_per_slot + kEqualLoadPerSlot / daemons) /
         (std::max(history.load_per_slot, history.own_load_per_slot) + kEqualLoadPerSlot);
}

}  // namespace sycamorestall

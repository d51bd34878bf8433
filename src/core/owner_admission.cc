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
                                        const AdmissionRequest& request, Duration load_age,
                                        Instant now) {
  const AdmissionDecision decision = Decide(endpoint, expected_latency_s, request, load_age, now);
  if (decision.admitted) {
    ++SentInPeriod(endpoint.entry.id, PeriodAt(now, load_age)).count;
  }
  return decision;
}

AdmissionDecision OwnerAdmission::Decide(const EndpointState& endpoint, double expected_latency_s,
                                         const AdmissionRequest& request, Duration load_age,
                                         Instant now) {
  const auto daemons = static_cast<double>(std::max<std::size_t>(request.daemons, 1));
  const double service_time_s = expected_latency_s / endpoint.queueing_factor();
  if (daemons <= 1 || service_time_s <= 0) {
    return CheckAdmission(endpoint, expected_latency_s, request);
  }
  const double age_s = Seconds(load_age);
  const double room = AdmissionRoom(endpoint, service_time_s, request);
  const double finished = static_cast<double>(endpoint.entry.slots) * age_s / service_time_s;
  const double places = std::max(0.0, room - static_cast<double>(endpoint.load()) + finished);
  const double arrivals = daemons * ProbableRate(endpoint.demand.PerSecond(now)) * age_s;
  if (arrivals <= places) {
    return CheckAdmission(endpoint, expected_latency_s, request);
  }
  const std::int64_t period = PeriodAt(now, load_age);
  const std::uint32_t quota = QuotaInPeriod(endpoint.entry.id, places / daemons, period);
  const bool in_time = service_time_s <= Seconds(request.time_left);
  if (in_time && SentInPeriod(endpoint.entry.id, period).count < quota) {
    return {};
  }
  return RefuseAdmission(endpoint, expected_latency_s, request);
}

std::uint32_t OwnerAdmission::QuotaInPeriod(const InstanceId& endpoint, double share,
                                            std::int64_t period) const {
  const std::string text =
      endpoint.value() + "\n" + daemon_.value() + "\n" + std::to_string(period);
  const double turn = std::ldexp(static_cast<double>(XXH3_64bits(text.data(), text.size())), -64);
  const double whole = std::floor(share);
  return static_cast<std::uint32_t>(whole) + (turn < share - whole ? 1 : 0);
}

OwnerAdmission::Sent& OwnerAdmission::SentInPeriod(const InstanceId& endpoint,
                                                   std::int64_t period) {
  Sent& sent = sent_[endpoint];
  if (sent.period != period) {
    sent = {period, 0};
  }
  return sent;
}

}  // namespace sycamorestall

#include "core/admission.h"

#include <algorithm>

namespace sycamorestall {

namespace {

// An endpoint takes so many requests for each slot, running ones included; less
// urgent requests find it full sooner.
constexpr double kMaxRounds = 2.5;
constexpr double kRoundsLessPerPriority = 0.25;
constexpr std::chrono::milliseconds kShortestReturn{50};
constexpr std::chrono::milliseconds kLongestReturn{1000};

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

AdmissionVerdict Admit(const EndpointState& endpoint, double expected_s,
                       const PlaceRequest& request) {
  const double rounds = endpoint.rounds();
  const double limit = std::max(1.0, kMaxRounds - kRoundsLessPerPriority * request.priority);
  const Duration expected = FromSeconds(expected_s);
  if (rounds <= limit && expected <= request.time_left) {
    return {};
  }
  const Duration until_place = FromSeconds(expected_s * (rounds - 1) / rounds);
  return {false, std::clamp<Duration>(until_place, kShortestReturn, kLongestReturn)};
}

}  // namespace sycamorestall

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

// Callers spread unevenly, so one daemon may have this multiple of its equal part
// of an endpoint. Where there are many daemons, what the others have is known late,
// and all of them at once would run into a busy endpoint without such a limit.
constexpr double kUnevenness = 3.0;
constexpr double kLeastShare = 2.0;

std::size_t OwnShare(const EndpointState& endpoint, double rounds, std::size_t daemons) {
  const double places = rounds * static_cast<double>(endpoint.entry.slots);
  const double part = kUnevenness * places / static_cast<double>(std::max<std::size_t>(daemons, 1));
  return static_cast<std::size_t>(std::max(kLeastShare, part));
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

AdmissionVerdict Admit(const EndpointState& endpoint, double expected_s,
                       const PlaceRequest& request) {
  const double rounds = endpoint.rounds();
  const double limit = std::max(1.0, kMaxRounds - kRoundsLessPerPriority * request.priority);
  const Duration expected = FromSeconds(expected_s);
  const bool over_share = endpoint.in_flight >= OwnShare(endpoint, limit, request.daemons);
  if (rounds <= limit && expected <= request.time_left && !over_share) {
    return {};
  }
  const Duration until_place = FromSeconds(expected_s * (rounds - 1) / rounds);
  return {false, std::clamp<Duration>(until_place, kShortestReturn, kLongestReturn)};
}

}  // namespace sycamorestall

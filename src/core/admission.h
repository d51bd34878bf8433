#pragma once

#include <optional>

#include "core/endpoint_choice.h"
#include "core/routing_config.h"

namespace sycamorestall {

// A request that asks for a place at an endpoint.
struct PlaceRequest {
  // How long its caller and its route still allow.
  Duration time_left{};
  // 0 is the most urgent.
  int priority = 0;
  // Daemons that send requests to the endpoint, this one included.
  std::size_t daemons = 1;
};

// Whether a request may go to an endpoint now, and if not, when a place is likely.
struct AdmissionVerdict {
  bool admitted = true;
  Duration retry_after{};

  friend bool operator==(const AdmissionVerdict&, const AdmissionVerdict&) = default;
};

// Judges whether an endpoint can answer one request more in time. Answers the
// load of more requests than an endpoint can do: those that would come too late
// are told so at once, rather than queue and make others late as well.
AdmissionVerdict Admit(const EndpointState& endpoint, double expected_s,
                       const PlaceRequest& request);

}  // namespace sycamorestall

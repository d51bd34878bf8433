#pragma once

#include <optional>
#include <string>

#include "core/boot_clock.h"

namespace sycamorestall {

// What an endpoint's answer says about the endpoint itself, beside what it says about the request.
struct EndpointNotice {
  // Whether the endpoint is being removed from service.
  bool draining = false;
  // For how long the endpoint wants no requests from this daemon; empty if it did not say.
  std::optional<Duration> pause{};
  // The text of a pause that could not be parsed; empty if there was none.
  std::string malformed_pause{};

  friend bool operator==(const EndpointNotice&, const EndpointNotice&) = default;
};

// What was new in a notice.
struct EndpointNoticeEffect {
  bool began_draining = false;
  bool began_pause = false;

  friend bool operator==(const EndpointNoticeEffect&, const EndpointNoticeEffect&) = default;
};

}  // namespace sycamorestall

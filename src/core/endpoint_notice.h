#pragma once

#include <optional>
#include <string>

#include "core/boot_clock.h"
#include "core/reported_load.h"

namespace sycamorestall {

// What an endpoint's answer says about the endpoint itself, beside what it says about the request.
struct EndpointNotice {
  // Whether the endpoint is being removed from service.
  bool draining = false;
  // For how long the endpoint wants no requests from this daemon; empty if it did not say.
  std::optional<Duration> pause{};
  // The text of a pause that could not be parsed; empty if there was none.
  std::string malformed_pause{};
  // Its load; empty if it did not say.
  std::optional<ReportedLoad> load{};
  // The text of a load that could not be parsed; empty if there was none.
  std::string malformed_load{};

  friend bool operator==(const EndpointNotice&, const EndpointNotice&) = default;
};

// What was new in a notice.
struct EndpointNoticeEffect {
  bool began_draining = false;
  bool began_pause = false;
  // Whether the reported load was ignored, as it cannot be.
  bool ignored_load = false;

  friend bool operator==(const EndpointNoticeEffect&, const EndpointNoticeEffect&) = default;
};

}  // namespace sycamorestall

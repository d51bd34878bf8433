#pragma once

namespace sycamorestall {

// What an endpoint's answer says about the endpoint itself, beside what it says about the request.
struct EndpointNotice {
  // Whether the endpoint is being removed from service.
  bool draining = false;

  friend bool operator==(const EndpointNotice&, const EndpointNotice&) = default;
};

}  // namespace sycamorestall

#pragma once

#include <cstdint>

#include "core/boot_clock.h"
#include "core/identifiers.h"
#include "core/network_address.h"

namespace sycamorestall {

// What the list says of an endpoint.
struct EndpointEntry {
  InstanceId id;
  ServiceName service;
  NetworkAddress address;
  DomainName domain;
  // Requests that it runs at a time.
  std::size_t slots = 1;
  // Whether it is leaving.
  bool draining = false;
  // For how long after its start it is still slow.
  Duration warm_up_left{};
  // Tells one start under this id from the next.
  Incarnation incarnation;

  // Whether the other entry says the same, but perhaps for what is left of the slow
  // time, which grows shorter by itself.
  bool SameButWarmUp(const EndpointEntry& other) const {
    EndpointEntry same = other;
    same.warm_up_left = warm_up_left;
    return same == *this;
  }

  friend bool operator==(const EndpointEntry&, const EndpointEntry&) = default;
};

}  // namespace sycamorestall

#pragma once

#include <cstdint>

#include "core/boot_clock.h"
#include "core/identifiers.h"
#include "core/network_address.h"

namespace sycamorestall {

// An endpoint's entry in the platform's list.
struct EndpointEntry {
  InstanceId id;
  ServiceName service;
  NetworkAddress address;
  DomainName domain;
  // Number of requests that it runs concurrently.
  std::size_t slots = 1;
  // Whether it is being removed from service.
  bool draining = false;
  // Remaining time during which it is still slow after its start.
  Duration warm_up_left{};
  // Distinguishes restarts under the same id; 0 if the endpoint does not tell.
  Incarnation incarnation;
  // Counts the heartbeats of an incarnation.
  std::uint64_t heartbeat = 0;

  // Compares everything except warm_up_left and heartbeat, which change without a change of the
  // endpoint.
  bool EqualsIgnoringProgress(const EndpointEntry& other) const {
    EndpointEntry same = other;
    same.warm_up_left = warm_up_left;
    same.heartbeat = heartbeat;
    return same == *this;
  }

  friend bool operator==(const EndpointEntry&, const EndpointEntry&) = default;
};

}  // namespace sycamorestall

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/identifiers.h"

namespace sycamorestall {

// Whether an instance takes part or is on its way out.
enum class InstanceState { kLive, kLeaving };

// One line of the platform's list. A daemon has no service.
struct Instance {
  InstanceId id;
  DomainName domain;
  ServiceName service;
  std::string address;
  InstanceState state = InstanceState::kLive;

  friend bool operator==(const Instance&, const Instance&) = default;
};

// The platform's list as it was at one revision. It lags.
struct InstanceList {
  std::uint64_t revision = 0;
  std::vector<Instance> instances;

  friend bool operator==(const InstanceList&, const InstanceList&) = default;
};

}  // namespace sycamorestall

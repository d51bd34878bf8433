#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/identifiers.h"

namespace sycamorestall {

// Whether an instance is in service or being removed.
enum class InstanceState { kLive, kLeaving };

// An entry of the platform's list. The service is empty for daemons.
struct Instance {
  InstanceId id;
  DomainName domain;
  ServiceName service;
  std::string address;
  InstanceState state = InstanceState::kLive;

  friend bool operator==(const Instance&, const Instance&) = default;
};

// A revision of the platform's list, which may lag behind the actual state.
struct InstanceList {
  std::uint64_t revision = 0;
  std::vector<Instance> instances;

  friend bool operator==(const InstanceList&, const InstanceList&) = default;
};

}  // namespace sycamorestall

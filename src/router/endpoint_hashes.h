#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/endpoint_fleet.h"

namespace sycamorestall {

// Short hashes of the ids of the listed endpoints, by which daemons name them to each other. A hash
// that two listed endpoints share names none of them. An endpoint that only one daemon knows may
// have the hash of another; until the lists agree, a few requests are then counted at the wrong
// one.
class EndpointHashes {
 public:
  // Takes over the list of endpoints.
  void Update(const EndpointFleet& fleet);
  // The hash of an endpoint; empty if another one shares it, or if the endpoint is not listed.
  std::optional<std::uint16_t> HashOf(const InstanceId& id) const;
  // The endpoint with the hash; null if there is none or more than one.
  const InstanceId* Find(std::uint16_t hash) const;

 private:
  // Empty ids stand for hashes that endpoints share.
  std::map<std::uint16_t, InstanceId> endpoints_;
};

}  // namespace sycamorestall

#include "router/endpoint_hashes.h"

#include <xxhash.h>

namespace sycamorestall {

namespace {

// Of 377 endpoints, two share their hash on average. They are named by their ids.
std::uint16_t ComputeHash(const InstanceId& id) {
  return static_cast<std::uint16_t>(XXH3_64bits(id.value().data(), id.value().size()));
}

}  // namespace

void EndpointHashes::Update(const EndpointFleet& fleet) {
  endpoints_.clear();
  for (const auto& [id, state] : fleet.all()) {
    const auto [entry, is_new] = endpoints_.try_emplace(ComputeHash(id), id);
    if (!is_new) {
      entry->second = InstanceId{};
    }
  }
}

std::optional<std::uint16_t> EndpointHashes::HashOf(const InstanceId& id) const {
  const std::uint16_t hash = ComputeHash(id);
  const InstanceId* found = Find(hash);
  return found != nullptr && *found == id ? std::optional{hash} : std::nullopt;
}

const InstanceId* EndpointHashes::Find(std::uint16_t hash) const {
  const auto found = endpoints_.find(hash);
  return found == endpoints_.end() || found->second.empty() ? nullptr : &found->second;
}

}  // namespace sycamorestall

#include "core/endpoint_history.h"

namespace sycamorestall {

namespace {

// How long a removed endpoint is remembered.
constexpr std::chrono::minutes kRetention{10};

}  // namespace

void EndpointHistory::RecordEntry(const EndpointEntry& entry) {
  if (entry.incarnation.value != 0) {
    endpoints_[entry.id] = {entry.incarnation, entry.draining, std::nullopt};
  }
}

void EndpointHistory::RecordRemoval(const InstanceId& id, Instant now) {
  const auto known = endpoints_.find(id);
  if (known != endpoints_.end()) {
    known->second.removed_at = now;
  }
  DiscardOld(now);
}

void EndpointHistory::DiscardOld(Instant now) {
  std::erase_if(endpoints_, [now](const auto& each) {
    return each.second.removed_at && now - *each.second.removed_at > kRetention;
  });
}

bool EndpointHistory::IsOutdated(const EndpointEntry& entry, bool restored) const {
  const auto known = endpoints_.find(entry.id);
  if (known == endpoints_.end()) {
    return false;
  }
  const KnownEndpoint& endpoint = known->second;
  if (entry.incarnation != endpoint.incarnation) {
    return restored && entry.incarnation < endpoint.incarnation;
  }
  const bool has_left = restored && endpoint.removed_at.has_value();
  return has_left || (endpoint.draining && !entry.draining);
}

}  // namespace sycamorestall

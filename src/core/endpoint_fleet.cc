#include "core/endpoint_fleet.h"

#include <algorithm>

namespace sycamorestall {

namespace {

// Weights of the newest attempt in the moving averages.
constexpr double kServiceTimeWeight = 0.1;
constexpr double kFailureWeight = 0.1;
// How long an endpoint is avoided after it could not be reached; doubles with
// each consecutive failure.
constexpr std::chrono::milliseconds kInitialBackoff{300};
constexpr std::uint32_t kMaxBackoffDoublings = 4;
// Endpoints must receive no requests 2 s after the store has recorded that they are
// draining; up to 0.8 s of that pass before a daemon learns of it.
constexpr std::chrono::milliseconds kDrainGrace{1000};

}  // namespace

const char* ToString(AttemptResult result) {
  switch (result) {
    case AttemptResult::kServed:
      return "served";
    case AttemptResult::kDeclined:
      return "declined";
    case AttemptResult::kFailed:
      return "failed";
    case AttemptResult::kUnreachable:
      break;
  }
  return "unreachable";
}

bool EndpointState::AcceptsOwnedKeys(Instant now) const {
  return !draining_since || now - *draining_since < kDrainGrace;
}

double EndpointState::queueing_factor() const {
  const auto slots = static_cast<double>(std::max<std::size_t>(entry.slots, 1));
  return std::max(1.0, (static_cast<double>(load()) + 1) / slots);
}

void EndpointFleet::Put(const EndpointEntry& entry, Instant now) {
  EndpointState& state = endpoints_[entry.id];
  RemoveFromServiceIndex(state);
  const bool is_new = state.entry.id.empty() || state.entry.incarnation != entry.incarnation ||
                      state.entry.address != entry.address;
  if (is_new) {
    const std::size_t in_flight = state.in_flight;
    state = {};
    state.in_flight = in_flight;
    state.listed_at = now;
  }
  state.entry = entry;
  state.warm_up_ends_at = now + entry.warm_up_left;
  AddToServiceIndex(state);
  if (!entry.draining) {
    state.draining_since.reset();
  } else if (!state.draining_since) {
    state.draining_since = now;
  }
}

void EndpointFleet::Remove(const InstanceId& id) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    return;
  }
  RemoveFromServiceIndex(found->second);
  endpoints_.erase(found);
}

const EndpointState* EndpointFleet::Find(const InstanceId& id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

EndpointState* EndpointFleet::FindMutable(const InstanceId& id) {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

const std::map<InstanceId, const EndpointState*>& EndpointFleet::EndpointsOfService(
    const ServiceName& service) const {
  static const std::map<InstanceId, const EndpointState*> kNone;
  const auto found = services_.find(service);
  return found == services_.end() ? kNone : found->second.endpoints;
}

double EndpointFleet::MeanServiceTimeSeconds(const ServiceName& service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.measured == 0) {
    return 0;
  }
  return found->second.service_time_sum_s / static_cast<double>(found->second.measured);
}

void EndpointFleet::AddToServiceIndex(const EndpointState& state) {
  ServiceIndex& index = services_[state.entry.service];
  index.endpoints[state.entry.id] = &state;
  if (state.mean_service_time_s > 0) {
    index.service_time_sum_s += state.mean_service_time_s;
    ++index.measured;
  }
}

void EndpointFleet::RemoveFromServiceIndex(const EndpointState& state) {
  ServiceIndex& index = services_[state.entry.service];
  if (index.endpoints.erase(state.entry.id) > 0 && state.mean_service_time_s > 0) {
    index.service_time_sum_s -= state.mean_service_time_s;
    --index.measured;
  }
}

void EndpointFleet::SetMeanServiceTime(EndpointState& state, double seconds) {
  RemoveFromServiceIndex(state);
  state.mean_service_time_s = seconds;
  AddToServiceIndex(state);
}

void EndpointFleet::BeginRequest(const InstanceId& id) {
  if (EndpointState* state = FindMutable(id)) {
    ++state->in_flight;
  }
}

void EndpointFleet::CancelRequest(const InstanceId& id) {
  EndpointState* state = FindMutable(id);
  if (state != nullptr && state->in_flight > 0) {
    --state->in_flight;
  }
}

void EndpointFleet::EndRequest(const InstanceId& id, AttemptResult result, Duration elapsed,
                               double queueing_factor, Instant now) {
  CancelRequest(id);
  EndpointState* state = FindMutable(id);
  if (state == nullptr) {
    return;
  }
  const bool failed = result == AttemptResult::kFailed || result == AttemptResult::kUnreachable;
  state->failure_rate += kFailureWeight * ((failed ? 1.0 : 0.0) - state->failure_rate);
  if (result == AttemptResult::kUnreachable) {
    const std::uint32_t doublings = std::min(state->consecutive_unreachable, kMaxBackoffDoublings);
    state->avoid_until = now + kInitialBackoff * (1U << doublings);
    ++state->consecutive_unreachable;
    state->last_unreachable_at = now;
    return;
  }
  state->consecutive_unreachable = 0;
  if (result == AttemptResult::kServed) {
    const double seconds = std::chrono::duration<double>(elapsed).count() / queueing_factor;
    SetMeanServiceTime(*state,
                       state->mean_service_time_s == 0
                           ? seconds
                           : state->mean_service_time_s +
                                 kServiceTimeWeight * (seconds - state->mean_service_time_s));
  }
}

void EndpointFleet::SetPeersInFlight(const InstanceId& id, std::size_t count) {
  if (EndpointState* state = FindMutable(id)) {
    state->peers_in_flight = count;
  }
}

}  // namespace sycamorestall

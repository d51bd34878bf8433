#include "core/endpoint_fleet.h"

#include <algorithm>

namespace sycamorestall {

namespace {

// Weight of the newest answer in the means.
constexpr double kServiceWeight = 0.1;
constexpr double kFailureWeight = 0.1;
// How long an endpoint is passed over after it could not be reached, doubled
// with each further time.
constexpr std::chrono::milliseconds kFirstAvoidance{300};
constexpr std::uint32_t kMaxDoublings = 4;
// Endpoints must get nothing 2 s after the store was told that they leave, of which
// up to 0.8 s pass before that is heard.
constexpr std::chrono::milliseconds kLeavingGrace{1000};

}  // namespace

const char* ToString(EndpointEvidence evidence) {
  switch (evidence) {
    case EndpointEvidence::kServed:
      return "served";
    case EndpointEvidence::kDeclined:
      return "declined";
    case EndpointEvidence::kFailed:
      return "failed";
    case EndpointEvidence::kUnreachable:
      break;
  }
  return "unreachable";
}

bool EndpointState::TakesOwnedKeys(Instant now) const {
  return !leaving_since || now - *leaving_since < kLeavingGrace;
}

double EndpointState::rounds() const {
  const auto slots = static_cast<double>(std::max<std::size_t>(entry.slots, 1));
  return std::max(1.0, (static_cast<double>(load()) + 1) / slots);
}

void EndpointFleet::Put(const EndpointEntry& entry, Instant now) {
  EndpointState& state = endpoints_[entry.id];
  Unindex(state);
  const bool is_new = state.entry.id.empty() || state.entry.incarnation != entry.incarnation ||
                      state.entry.address != entry.address;
  if (is_new) {
    const std::size_t in_flight = state.in_flight;
    state = {};
    state.in_flight = in_flight;
    state.listed_at = now;
  }
  state.entry = entry;
  state.warm_at = now + entry.warm_up_left;
  Index(state);
  if (!entry.draining) {
    state.leaving_since.reset();
  } else if (!state.leaving_since) {
    state.leaving_since = now;
  }
}

void EndpointFleet::Remove(const InstanceId& id) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    return;
  }
  Unindex(found->second);
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

const std::map<InstanceId, const EndpointState*>& EndpointFleet::OfService(
    const ServiceName& service) const {
  static const std::map<InstanceId, const EndpointState*> kNone;
  const auto found = services_.find(service);
  return found == services_.end() ? kNone : found->second.endpoints;
}

double EndpointFleet::MeanServiceSeconds(const ServiceName& service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.known == 0) {
    return 0;
  }
  return found->second.service_s_sum / static_cast<double>(found->second.known);
}

void EndpointFleet::Index(const EndpointState& state) {
  ServiceIndex& index = services_[state.entry.service];
  index.endpoints[state.entry.id] = &state;
  if (state.service_s > 0) {
    index.service_s_sum += state.service_s;
    ++index.known;
  }
}

void EndpointFleet::Unindex(const EndpointState& state) {
  ServiceIndex& index = services_[state.entry.service];
  if (index.endpoints.erase(state.entry.id) > 0 && state.service_s > 0) {
    index.service_s_sum -= state.service_s;
    --index.known;
  }
}

void EndpointFleet::SetServiceSeconds(EndpointState& state, double seconds) {
  Unindex(state);
  state.service_s = seconds;
  Index(state);
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

void EndpointFleet::EndRequest(const InstanceId& id, EndpointEvidence evidence, Duration elapsed,
                               double rounds, Instant now) {
  CancelRequest(id);
  EndpointState* state = FindMutable(id);
  if (state == nullptr) {
    return;
  }
  const bool failed =
      evidence == EndpointEvidence::kFailed || evidence == EndpointEvidence::kUnreachable;
  state->failure_share += kFailureWeight * ((failed ? 1.0 : 0.0) - state->failure_share);
  if (evidence == EndpointEvidence::kUnreachable) {
    const std::uint32_t doublings = std::min(state->unreachable_in_a_row, kMaxDoublings);
    state->avoid_until = now + kFirstAvoidance * (1U << doublings);
    ++state->unreachable_in_a_row;
    state->unreachable_at = now;
    return;
  }
  state->unreachable_in_a_row = 0;
  if (evidence == EndpointEvidence::kServed) {
    const double seconds = std::chrono::duration<double>(elapsed).count() / rounds;
    SetServiceSeconds(*state,
                      state->service_s == 0
                          ? seconds
                          : state->service_s + kServiceWeight * (seconds - state->service_s));
  }
}

void EndpointFleet::SetPeersInFlight(const InstanceId& id, std::size_t count) {
  if (EndpointState* state = FindMutable(id)) {
    state->peers_in_flight = count;
  }
}

}  // namespace sycamorestall

#include "core/endpoint_fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/drain_timing.h"

namespace sycamorestall {

namespace {

// Weights of the newest attempt in the moving averages.
constexpr double kServiceTimeWeight = 0.1;
// The same for times that another daemon measured: many daemons measure more of them.
constexpr double kReportedTimeWeight = 0.03;
constexpr double kFailureWeight = 0.1;
// How long an endpoint is avoided after it could not be reached; doubles with
// each consecutive failure.
constexpr std::chrono::milliseconds kInitialBackoff{300};
constexpr std::uint32_t kMaxBackoffDoublings = 4;
// For how long after its removal from the list what an endpoint said is remembered. Its entry may
// come back after an outage of the store.
constexpr std::chrono::minutes kRemovedEndpointTimeToLive{10};
// By how much entries may overstate the remaining warm-up, as they are read late.
constexpr std::chrono::milliseconds kMaxEntryDelay{1000};
// How long after a restart the list shows it at the latest.
constexpr std::chrono::milliseconds kRestartListingTime{2000};

// Whether both entries describe the same start of an endpoint.
bool IsSameStart(const EndpointEntry& left, const EndpointEntry& right) {
  return left.id == right.id && left.incarnation == right.incarnation &&
         left.address == right.address;
}

// Begins or ends the draining of an endpoint after its entry or what it said has changed.
void UpdateOwnedKeysDeadline(EndpointState& state, Instant deadline) {
  if (!state.draining()) {
    state.owned_keys_deadline.reset();
  } else if (!state.owned_keys_deadline) {
    state.owned_keys_deadline = deadline;
  }
}

// Adds times to those measured before.
void Merge(const ServiceTimes& times, ServiceTimes& sum) {
  const double seconds = sum.mean_s * sum.count + times.mean_s * times.count;
  sum.count += times.count;
  sum.mean_s = seconds / sum.count;
}

// Returns whether the announcement is new.
bool AnnounceDraining(EndpointState& state, Instant owned_keys_deadline) {
  const bool is_new = !state.announced_draining;
  state.announced_draining = true;
  UpdateOwnedKeysDeadline(state, owned_keys_deadline);
  return is_new;
}

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
  const bool drained = owned_keys_deadline && now >= *owned_keys_deadline;
  const bool evacuated = evacuation && now >= evacuation->owned_keys_until;
  return !drained && !evacuated;
}

Instant EndpointState::ColdUntil() const {
  if (cold_terms.rate == 0) {
    return {};
  }
  const Instant first_warm_at = appeared_in_operation ? listed_at + cold_terms.time : Instant{};
  return std::max({warm_up_ends_at, first_warm_at, assumed_cold_until});
}

Instant EndpointState::LimitedUntil() const {
  const bool may_restart = cold_terms.rate > 0 && refused_at.has_value();
  return may_restart ? std::max(ColdUntil(), *refused_at + kRestartListingTime) : ColdUntil();
}

double EndpointState::queueing_factor() const {
  const auto slots = static_cast<double>(std::max<std::size_t>(entry.slots, 1));
  return std::max(1.0, (static_cast<double>(load()) + 1) / slots);
}

void EndpointFleet::Put(const EndpointEntry& entry, Instant now) {
  EndpointState& state = endpoints_[entry.id];
  RemoveFromServiceIndex(state);
  if (!IsSameStart(state.entry, entry)) {
    const std::size_t in_flight = state.in_flight;
    state = MakeState(entry, now);
    state.in_flight = in_flight;
  }
  state.entry = entry;
  // An entry that is read late overstates what is left, and an earlier one may have been read
  // later. Within one start the latest end is kept, which is late by kMaxEntryDelay at the most.
  state.warm_up_ends_at = entry.warm_up_left > Duration{}
                              ? std::max(state.warm_up_ends_at, now + entry.warm_up_left)
                              : state.warm_up_ends_at;
  state.warm_up_ends_at = std::max(state.warm_up_ends_at, AssumedColdUntil(entry));
  state.evacuation = evacuations_.Find(entry.domain);
  state.cold_terms = services_[entry.service].cold_terms;
  AddToServiceIndex(state);
  UpdateOwnedKeysDeadline(state, DrainDeadline(now));
}

Instant EndpointFleet::DrainDeadline(Instant now) const {
  const Instant earliest_drain = std::min(list_known_until_.value_or(now), now);
  return OwnedKeysDeadline(earliest_drain, now);
}

EndpointState EndpointFleet::MakeState(const EndpointEntry& entry, Instant now) {
  EndpointState state;
  state.listed_at = now;
  state.appeared_in_operation = loaded_;
  const auto removed = removed_.find(entry.id);
  if (removed != removed_.end() && IsSameStart(removed->second.state.entry, entry)) {
    state.listed_at = removed->second.state.listed_at;
    state.warm_up_ends_at = removed->second.state.warm_up_ends_at;
    state.appeared_in_operation = removed->second.state.appeared_in_operation;
    state.assumed_cold_until = removed->second.state.assumed_cold_until;
    state.refused_at = removed->second.state.refused_at;
    state.announced_draining = removed->second.state.announced_draining;
    state.owned_keys_deadline = removed->second.state.owned_keys_deadline;
    state.paused_until = removed->second.state.paused_until;
  }
  removed_.erase(entry.id);
  return state;
}

void EndpointFleet::Remove(const InstanceId& id, Instant now) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    return;
  }
  RemoveFromServiceIndex(found->second);
  services_[found->second.entry.service].measured_times.erase(id);
  std::erase_if(removed_, [now](const auto& each) {
    return now - each.second.removed_at >= kRemovedEndpointTimeToLive;
  });
  removed_[id] = {found->second, now};
  endpoints_.erase(found);
}

EndpointNoticeEffect EndpointFleet::HandleNotice(const InstanceId& id, const EndpointNotice& notice,
                                                 Instant sent_at, Instant now) {
  EndpointState* state = FindKnown(id);
  if (state == nullptr || sent_at < state->listed_at) {
    return {};
  }
  EndpointNoticeEffect effect;
  effect.began_draining = notice.draining && AnnounceDraining(*state, DrainDeadline(now));
  if (notice.pause) {
    effect.began_pause = state->PauseLeft(now) == Duration{} && *notice.pause > Duration{};
    state->paused_until = std::max(state->paused_until, now + *notice.pause);
  }
  effect.ignored_load = !notice.malformed_load.empty() ||
                        (notice.load && !SetReportedLoad(*state, *notice.load, now));
  return effect;
}

bool EndpointFleet::SetReportedLoad(EndpointState& state, const ReportedLoad& load, Instant now) {
  if (load.slots != state.entry.slots || load.running > load.slots) {
    return false;
  }
  state.reported_load.Set(load, state.in_flight, now);
  with_reported_counts_.insert(state.entry.id);
  return true;
}

void EndpointFleet::DropReportedCounts(Instant received_before) {
  std::erase_if(with_reported_counts_, [&](const InstanceId& id) {
    EndpointState* state = FindKnown(id);
    const bool dropped = state == nullptr || !state->reported_load.received_at() ||
                         *state->reported_load.received_at() < received_before;
    if (dropped && state != nullptr) {
      state->reported_load.DropCounts();
    }
    return dropped;
  });
}

double EndpointFleet::ReportedLoadAgeSeconds(Instant now) const {
  double sum_s = 0;
  double count = 0;
  for (const auto& [id, state] : endpoints_) {
    if (const auto received_at = state.reported_load.received_at()) {
      sum_s += std::chrono::duration<double>(now - *received_at).count();
      ++count;
    }
  }
  return count == 0 ? 0 : sum_s / count;
}

bool EndpointFleet::HandleDrainReport(const InstanceId& id, Incarnation incarnation, Instant now) {
  EndpointState* state = FindKnown(id);
  return state != nullptr && state->entry.incarnation == incarnation &&
         AnnounceDraining(*state, DrainDeadline(now));
}

bool EndpointFleet::SetEvacuated(const DomainName& domain, bool evacuated, Instant now,
                                 Instant known_until) {
  const bool is_new =
      evacuated ? evacuations_.Begin(domain, known_until, now) : evacuations_.End(domain);
  const std::optional<Evacuation> evacuation = evacuations_.Find(domain);
  for (auto& [id, state] : endpoints_) {
    if (state.entry.domain == domain) {
      state.evacuation = evacuation;
    }
  }
  return is_new;
}

bool EndpointFleet::IsEvacuated(const ServiceName& service) const {
  bool any_evacuated = false;
  for (const auto& [id, state] : EndpointsOfService(service)) {
    if (state->AcceptsNewKeys()) {
      return false;
    }
    any_evacuated = any_evacuated || !state->draining();
  }
  return any_evacuated;
}

std::size_t EndpointFleet::AssumeCold(const DomainName& domain, const ServiceName& service,
                                      Instant until) {
  assumed_cold_until_[{domain, service}] = until;
  std::size_t count = 0;
  for (auto& [id, state] : endpoints_) {
    if (state.entry.domain == domain && state.entry.service == service) {
      state.warm_up_ends_at = std::max(state.warm_up_ends_at, until);
      ++count;
    }
  }
  return count;
}

Instant EndpointFleet::AssumedColdUntil(const EndpointEntry& entry) const {
  const auto found = assumed_cold_until_.find({entry.domain, entry.service});
  return found == assumed_cold_until_.end() ? Instant{} : found->second;
}

std::size_t EndpointFleet::CountUnconfigured() const {
  return static_cast<std::size_t>(
      std::count_if(endpoints_.begin(), endpoints_.end(), [this](const auto& each) {
        return !configured_services_.contains(each.second.entry.service);
      }));
}

bool EndpointFleet::IsUsedByAnother(const NetworkAddress& address, const InstanceId& id) const {
  return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& each) {
    const EndpointEntry& entry = each.second.entry;
    return entry.address == address && entry.id != id &&
           configured_services_.contains(entry.service);
  });
}

void EndpointFleet::SetColdTerms(const ServiceName& service, const ColdTerms& terms) {
  services_[service].cold_terms = terms;
  for (auto& [id, state] : endpoints_) {
    if (state.entry.service == service) {
      state.cold_terms = terms;
    }
  }
}

bool EndpointFleet::HasBecomeCold(const EndpointEntry& entry, Instant now) const {
  const EndpointState* known = Find(entry.id);
  return known != nullptr && known->cold_terms.rate > 0 && entry.warm_up_left > Duration{} &&
         now + entry.warm_up_left > known->warm_up_ends_at + kMaxEntryDelay;
}

void EndpointFleet::AssumeCold(const InstanceId& id, Instant until) {
  if (EndpointState* state = FindMutable(id)) {
    state->assumed_cold_until = std::max(state->assumed_cold_until, until);
  }
}

void EndpointFleet::HandleRefusedConnection(const InstanceId& id, Instant now) {
  if (EndpointState* state = FindMutable(id)) {
    state->refused_at = now;
  }
}

bool EndpointFleet::HandleAcceptedConnection(const InstanceId& id, Instant sent_at, Instant now) {
  EndpointState* state = FindMutable(id);
  // The connections of a run that has ended break after others have been refused.
  if (state == nullptr || !state->refused_at || sent_at < *state->refused_at) {
    return false;
  }
  state->refused_at.reset();
  state->assumed_cold_until = std::max(state->assumed_cold_until, now + state->cold_terms.time);
  return state->cold_terms.rate > 0;
}

const EndpointState* EndpointFleet::Find(const InstanceId& id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

EndpointState* EndpointFleet::FindKnown(const InstanceId& id) {
  if (EndpointState* listed = FindMutable(id)) {
    return listed;
  }
  const auto removed = removed_.find(id);
  return removed == removed_.end() ? nullptr : &removed->second.state;
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

Duration EndpointFleet::ShortestPause(const ServiceName& service, Instant now) const {
  std::optional<Duration> shortest;
  for (const auto& [id, state] : EndpointsOfService(service)) {
    if (state->AcceptsNewKeys()) {
      const Duration pause = state->PauseLeft(now);
      shortest = shortest ? std::min(*shortest, pause) : pause;
    }
  }
  return shortest.value_or(Duration{});
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
  index.slots += state.entry.slots;
  if (state.mean_service_time_s > 0) {
    index.service_time_sum_s += state.mean_service_time_s;
    ++index.measured;
  }
}

void EndpointFleet::RemoveFromServiceIndex(const EndpointState& state) {
  ServiceIndex& index = services_[state.entry.service];
  if (index.endpoints.erase(state.entry.id) == 0) {
    return;
  }
  index.slots -= state.entry.slots;
  if (state.mean_service_time_s > 0) {
    index.service_time_sum_s -= state.mean_service_time_s;
    --index.measured;
  }
}

void EndpointFleet::SetMeanServiceTime(EndpointState& state, double seconds) {
  RemoveFromServiceIndex(state);
  state.mean_service_time_s = seconds;
  AddToServiceIndex(state);
}

void EndpointFleet::CountDemand(const InstanceId& id, Instant now) {
  if (EndpointState* state = FindMutable(id)) {
    state->demand.Count(now);
  }
}

void EndpointFleet::CountDemand(const ServiceName& service, Instant now) {
  services_[service].demand.Count(now);
}

double EndpointFleet::DemandRatio(const InstanceId& id, Instant now) const {
  const EndpointState* state = Find(id);
  if (state == nullptr) {
    return 0;
  }
  const double service_time_s = state->mean_service_time_s > 0
                                    ? state->mean_service_time_s
                                    : MeanServiceTimeSeconds(state->entry.service);
  return state->demand.PerSecond(now) * service_time_s /
         static_cast<double>(std::max<std::size_t>(state->entry.slots, 1));
}

double EndpointFleet::DemandRatio(const ServiceName& service, Instant now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return 0;
  }
  return found->second.demand.PerSecond(now) * MeanServiceTimeSeconds(service) /
         static_cast<double>(std::max<std::size_t>(found->second.slots, 1));
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
    RecordServiceTime(*state, std::chrono::duration<double>(elapsed).count() / queueing_factor,
                      now);
  }
}

void EndpointFleet::EndUnanswered(const InstanceId& id, Duration elapsed, double queueing_factor,
                                  Instant now) {
  CancelRequest(id);
  EndpointState* state = FindMutable(id);
  const double seconds = std::chrono::duration<double>(elapsed).count() / queueing_factor;
  if (state != nullptr && state->mean_service_time_s > 0 && seconds > state->mean_service_time_s) {
    RecordServiceTime(*state, seconds, now);
  }
}

void EndpointFleet::RecordRefusal(const InstanceId& id, double queueing_factor, Instant now) {
  if (EndpointState* state = FindMutable(id)) {
    state->learned_room.RecordRefusal(queueing_factor, now);
  }
}

void EndpointFleet::RecordServiceTime(EndpointState& state, double seconds, Instant now) {
  if (state.mean_service_time_s > 0) {
    state.slowdown.Add(seconds / state.mean_service_time_s, now);
  }
  const ServiceTimes times{1, seconds};
  Merge(times, services_[state.entry.service].measured_times[state.entry.id]);
  AverageServiceTime(state, times, kServiceTimeWeight);
}

void EndpointFleet::AddServiceTimes(const InstanceId& id, const ServiceTimes& times) {
  EndpointState* state = FindMutable(id);
  if (state != nullptr && times.count > 0) {
    AverageServiceTime(*state, times, kReportedTimeWeight);
  }
}

void EndpointFleet::AverageServiceTime(EndpointState& state, const ServiceTimes& times,
                                       double weight_each) {
  const double weight = 1 - std::pow(1 - weight_each, times.count);
  const double known_s = state.mean_service_time_s;
  SetMeanServiceTime(state,
                     known_s == 0 ? times.mean_s : known_s + weight * (times.mean_s - known_s));
}

std::map<InstanceId, ServiceTimes> EndpointFleet::DrainServiceTimes(const ServiceName& service) {
  const auto found = services_.find(service);
  return found == services_.end() ? std::map<InstanceId, ServiceTimes>{}
                                  : std::exchange(found->second.measured_times, {});
}

void EndpointFleet::SetPeersInFlight(const InstanceId& id, std::size_t count) {
  if (EndpointState* state = FindMutable(id)) {
    state->peers_in_flight = count;
  }
}

void EndpointFleet::AddPeersInFlight(const InstanceId& id, std::size_t count) {
  if (EndpointState* state = FindMutable(id)) {
    state->peers_in_flight += count;
  }
}

void EndpointFleet::RemovePeersInFlight(const InstanceId& id, std::size_t count) {
  if (EndpointState* state = FindMutable(id)) {
    state->peers_in_flight -= std::min(state->peers_in_flight, count);
  }
}

}  // namespace sycamorestall

// How the leader assigns keys to endpoints: the initial assignment, freed keys, and
// moves that balance load.

#include <algorithm>
#include <utility>

#include "core/invariant.h"
#include "core/key_leader.h"

namespace sycamorestall {

namespace {

// How long after a failure an endpoint is assigned no keys. The time is limited, as an
// endpoint without keys gets no orders and so cannot show that it answers again.
constexpr std::chrono::milliseconds kUnresponsiveTime{3000};

// Cold endpoints get keys only if the warm ones have less than this share of the capacity: they
// could not run the requests for all keys.
constexpr double kMinWarmShare = 0.5;
// The share of its capacity that a cold endpoint has while no service time is known, and at least.
constexpr double kUnmeasuredColdShare = 0.1;
constexpr double kMinColdShare = 0.01;

// The targets that may get keys.
std::vector<KeyPlacementTarget> Receivers(std::vector<KeyPlacementTarget> targets) {
  std::erase_if(targets, [](const KeyPlacementTarget& each) { return !each.accepts_keys; });
  return targets;
}

bool CanMerge(const OwnedRange& left, const OwnedRange& right) {
  return left.range.last + 1 == right.range.first && left.owner == right.owner &&
         left.incarnation == right.incarnation && left.token == right.token;
}

}  // namespace

std::set<InstanceId> KeyLeader::UnresponsiveOwners(Instant now) const {
  std::set<InstanceId> unresponsive;
  for (const RangeState& state : ranges_) {
    if (state.order_failures > 0 && now - state.last_failure_at < kUnresponsiveTime) {
      unresponsive.insert(state.owned.owner);
    }
  }
  return unresponsive;
}

std::vector<KeyPlacementTarget> KeyLeader::EligibleEndpoints(const EndpointFleet& fleet,
                                                             Instant now) const {
  const std::set<InstanceId> unresponsive = UnresponsiveOwners(now);
  const double mean_service_s = fleet.MeanServiceTimeSeconds(settings_.service);
  constexpr double kMinSpeed = 0.4;
  constexpr double kMaxSpeed = 2.5;
  std::vector<KeyPlacementTarget> targets;
  for (const auto& [id, each] : fleet.EndpointsOfService(settings_.service)) {
    // An endpoint that has just ended stays in the list for some seconds.
    const bool unreachable =
        each->consecutive_unreachable > 0 && now - each->last_unreachable_at < kUnresponsiveTime;
    if (!each->AcceptsNewKeys() || unreachable || unresponsive.contains(each->entry.id)) {
      continue;
    }
    // The relative number of requests per second that the endpoint can handle.
    const double speed =
        each->mean_service_time_s > 0 && mean_service_s > 0
            ? std::clamp(mean_service_s / each->mean_service_time_s, kMinSpeed, kMaxSpeed)
            : 1.0;
    const double capacity = static_cast<double>(each->entry.slots) * speed;
    const double max_rate = mean_service_s > 0 ? capacity / mean_service_s : 0;
    targets.push_back({each->entry.id, capacity, max_rate});
  }
  LimitColdEndpoints(fleet, targets, now);
  return targets;
}

void KeyLeader::LimitColdEndpoints(const EndpointFleet& fleet,
                                   std::vector<KeyPlacementTarget>& targets, Instant now) const {
  double total = 0;
  double warm = 0;
  for (const KeyPlacementTarget& target : targets) {
    total += target.capacity;
    warm += fleet.Find(target.id)->IsCold(now) ? 0 : target.capacity;
  }
  const bool warm_take_all = warm >= kMinWarmShare * total;
  for (KeyPlacementTarget& target : targets) {
    const EndpointState& endpoint = *fleet.Find(target.id);
    if (!endpoint.IsCold(now)) {
      continue;
    }
    // At most as many daemons as its rate has requests may send to it, and callers' requests for
    // its keys come to all daemons alike.
    const double rate = endpoint.cold_terms.rate;
    const double bearable_rate =
        rate * std::min(1.0, std::max(rate, 1.0) / static_cast<double>(daemon_count_));
    const double bearable_share =
        target.max_rate > 0 ? bearable_rate / target.max_rate : kUnmeasuredColdShare;
    target.capacity *= std::clamp(bearable_share, kMinColdShare, 1.0);
    target.max_rate = std::min(target.max_rate, bearable_rate);
    target.accepts_keys = !warm_take_all;
  }
}

void KeyLeader::CreateInitialAssignment(const EndpointFleet& fleet, Instant now) {
  for (const KeyMove& move : SplitKeysByCapacity(Receivers(EligibleEndpoints(fleet, now)))) {
    RangeState state;
    state.owned.range = move.range;
    state.phase = RangePhase::kFree;
    state.target = move.target;
    ranges_.push_back(std::move(state));
  }
  if (!ranges_.empty()) {
    LogDecision("initial assignment ranges=" + std::to_string(ranges_.size()));
    AssignFreeRanges(fleet, now);
  }
}

std::optional<InstanceId> KeyLeader::LeastLoaded(const std::vector<KeyPlacementTarget>& targets,
                                                 const std::map<InstanceId, double>& rates,
                                                 double added_rate) const {
  std::optional<InstanceId> best;
  double best_load = 0;
  for (const KeyPlacementTarget& target : targets) {
    const auto rate = rates.find(target.id);
    const double load = ((rate == rates.end() ? 0 : rate->second) + added_rate) / target.capacity;
    if (!best || load < best_load) {
      best = target.id;
      best_load = load;
    }
  }
  return best;
}

void KeyLeader::AssignFreeRanges(const EndpointFleet& fleet, Instant now) {
  const bool any_free = std::any_of(ranges_.begin(), ranges_.end(), [](const RangeState& state) {
    return state.phase == RangePhase::kFree;
  });
  if (pending_write_ || !any_free || now < next_assignment_write_at_) {
    return;
  }
  const std::vector<KeyPlacementTarget> targets = Receivers(EligibleEndpoints(fleet, now));
  std::map<InstanceId, double> rates;
  for (const RangeState& state : ranges_) {
    rates[state.owned.owner] += demand_.Rate(state.owned.range);
  }
  bool any_assigned = false;
  for (RangeState& state : ranges_) {
    if (state.phase != RangePhase::kFree) {
      continue;
    }
    const bool target_is_usable =
        state.must_keep_owner || (state.target && std::any_of(targets.begin(), targets.end(),
                                                              [&](const KeyPlacementTarget& each) {
                                                                return each.id == *state.target;
                                                              }));
    if (!target_is_usable) {
      // Evacuated keys are many, and some busy: each goes to where there is room for it.
      const EndpointState* owner = fleet.Find(state.owned.owner);
      const bool evacuated = owner != nullptr && owner->evacuation;
      state.target = LeastLoaded(targets, rates, evacuated ? demand_.Rate(state.owned.range) : 0);
    }
    if (!state.target) {
      continue;
    }
    // Keys without requests count a little, so that many large idle ranges are spread
    // over endpoints.
    constexpr double kRatePerKey = 0.001;
    rates[*state.target] +=
        demand_.Rate(state.owned.range) + state.owned.range.size() * kRatePerKey;
    state.keeps_owner = state.owned.owner == *state.target;
    state.owned.owner = *state.target;
    if (const EndpointState* target = fleet.Find(*state.target)) {
      state.owned.incarnation = target->entry.incarnation;
    }
    state.owned.token = {record_.highest_token.value + 1};
    state.in_pending_write = true;
    state.must_keep_owner = false;
    any_assigned = true;
    LogDecision("assign range=" + ToString(state.owned.range) + " endpoint=" +
                state.target->value() + " token=" + std::to_string(state.owned.token.value));
  }
  if (any_assigned) {
    next_assignment_write_at_ = now + settings_.write_interval;
    OwnershipRecord record = CurrentRecord();
    record.highest_token.value += 1;
    StartWrite(std::move(record), now);
  }
}

OwnershipRecord KeyLeader::CurrentRecord() const {
  OwnershipRecord record = record_;
  record.ranges.clear();
  record.addresses.clear();
  for (const RangeState& state : ranges_) {
    // Until a write assigns a new owner, the record names the previous one.
    if (!state.owned.owner.empty()) {
      record.ranges.push_back(state.owned);
      record.addresses[state.owned.owner] = AddressOf(state.owned.owner);
    }
  }
  std::sort(record.ranges.begin(), record.ranges.end(),
            [](const OwnedRange& left, const OwnedRange& right) {
              return left.range.first < right.range.first;
            });
  for (std::size_t i = 1; i < record.ranges.size(); ++i) {
    RequireInvariant(record.ranges[i - 1].range.last < record.ranges[i].range.first,
                     "each key is in one range");
  }
  return record;
}

void KeyLeader::PlanMoves(const EndpointFleet& fleet, const StoreView& store, Instant now) {
  if (now < next_placement_at_ || !store.reachable) {
    return;
  }
  next_placement_at_ = now + settings_.placement_interval;
  std::vector<OwnedRange> movable;
  for (const RangeState& state : ranges_) {
    const bool is_stable = state.phase == RangePhase::kOwned && state.grant_confirmed &&
                           state.order_failures == 0 && state.pending_order == 0 &&
                           now >= state.unconfirmed_until;
    if (is_stable) {
      movable.push_back(state.owned);
    }
  }
  for (const KeyMove& move : placement_->Plan(movable, demand_, EligibleEndpoints(fleet, now))) {
    ReleasePiece(move.range, move.target, "load");
  }
}

void KeyLeader::ReleasePiece(const KeyRange& piece, std::optional<InstanceId> target,
                             const std::string& reason) {
  const auto found = std::find_if(ranges_.begin(), ranges_.end(), [&](const RangeState& state) {
    return state.owned.range.first <= piece.first && piece.last <= state.owned.range.last;
  });
  if (found == ranges_.end()) {
    return;
  }
  const RangeState original = *found;
  std::vector<RangeState> remainders;
  if (original.owned.range.first < piece.first) {
    remainders.push_back(original);
    remainders.back().owned.range.last = piece.first - 1;
  }
  RangeState moving = original;
  moving.owned.range = piece;
  if (original.owned.range.last > piece.last) {
    remainders.push_back(original);
    remainders.back().owned.range.first = piece.last + 1;
  }
  StartRelease(moving, std::move(target), reason);
  *found = std::move(moving);
  ranges_.insert(ranges_.end(), remainders.begin(), remainders.end());
}

void KeyLeader::MergeAdjacentRanges() {
  std::sort(ranges_.begin(), ranges_.end(), [](const RangeState& left, const RangeState& right) {
    return left.owned.range.first < right.owned.range.first;
  });
  const auto is_stable = [](const RangeState& state) {
    return state.phase == RangePhase::kOwned && state.grant_confirmed && state.pending_order == 0 &&
           state.order_failures == 0;
  };
  std::vector<RangeState> merged;
  merged.reserve(ranges_.size());
  for (RangeState& state : ranges_) {
    if (!merged.empty() && is_stable(merged.back()) && is_stable(state) &&
        CanMerge(merged.back().owned, state.owned)) {
      RangeState& last = merged.back();
      last.owned.range.last = state.owned.range.last;
      last.next_order_at = std::min(last.next_order_at, state.next_order_at);
      last.held_until = std::max(last.held_until, state.held_until);
      last.unconfirmed_until = std::max(last.unconfirmed_until, state.unconfirmed_until);
    } else {
      merged.push_back(std::move(state));
    }
  }
  ranges_ = std::move(merged);
}

}  // namespace sycamorestall

// Grants and releases: what the leader sends for each range, and how it handles replies
// and failures.

#include <algorithm>
#include <utility>

#include "core/invariant.h"
#include "core/key_leader.h"

namespace sycamorestall {

void KeyLeader::AdvanceRanges(const EndpointFleet& fleet, const StoreView& store, Instant now) {
  for (RangeState& state : ranges_) {
    if (state.phase == RangePhase::kOwned) {
      AdvanceOwnedRange(state, fleet, store, now);
    } else if (state.phase == RangePhase::kExpiring) {
      AdvanceExpiringRange(state, fleet, now);
    } else if (HasExpiredDuringRelease(state, now)) {
      MarkFree(state);
    }
  }
}

void KeyLeader::HandleOwnerRestart(RangeState& state, const EndpointEntry& owner) {
  LogDecision("owner restarted range=" + ToString(state.owned.range) +
              " endpoint=" + state.owned.owner.value());
  // Grants sent before the restart was known were accepted by the restarted endpoint.
  // The keys therefore stay with it under a higher token, or are released.
  state.owned.incarnation = owner.incarnation;
  state.handover_state.clear();
  ReassignToOwner(state);
}

void KeyLeader::AdvanceOwnedRange(RangeState& state, const EndpointFleet& fleet,
                                  const StoreView& store, Instant now) {
  const EndpointState* owner = fleet.Find(state.owned.owner);
  const bool list_is_reliable =
      store.reachable && now - store.reachable_since >= settings_.list_settle_time;
  if (state.pending_order != 0) {
    // A pending order may arrive after anything that is sent now.
    return;
  }
  if (owner != nullptr && owner->entry.incarnation != state.owned.incarnation) {
    HandleOwnerRestart(state, owner->entry);
    return;
  }
  const bool owner_is_draining = owner != nullptr && owner->draining();
  const bool owner_is_missing = owner == nullptr && list_is_reliable;
  if ((owner_is_draining || owner_is_missing) && !NeedsGrantBeforeRelease(state, now)) {
    StartRelease(state, std::nullopt,
                 owner_is_draining ? "owner leaves" : "owner gone from the list");
    return;
  }
  if (HasExpired(state, now)) {
    LogDecision("grant expired range=" + ToString(state.owned.range) + " endpoint=" +
                state.owned.owner.value() + " failures=" + std::to_string(state.order_failures));
    state.target.reset();
    state.handover_state.clear();
    MarkFree(state);
    return;
  }
  if (now >= state.next_order_at) {
    GrantRange(state);
  }
}

bool KeyLeader::HasExpired(const RangeState& state, Instant now) {
  return state.order_failures > 1 && now >= state.held_until;
}

bool KeyLeader::HasExpiredDuringRelease(const RangeState& state, Instant now) {
  return state.phase == RangePhase::kReleasing && state.release_repeated && now >= state.held_until;
}

bool KeyLeader::NeedsGrantBeforeRelease(const RangeState& state, Instant now) {
  // An owner that does not answer grants will not answer the release either.
  constexpr std::uint32_t kMaxOrderFailures = 2;
  return now < state.older_grant_until && state.order_failures < kMaxOrderFailures;
}

bool KeyLeader::OwnerAddressIsReused(const RangeState& state, const EndpointFleet& fleet) const {
  return fleet.Find(state.owned.owner) == nullptr &&
         fleet.IsUsedByAnother(AddressOf(state.owned.owner), state.owned.owner);
}

void KeyLeader::AdvanceExpiringRange(RangeState& state, const EndpointFleet& fleet, Instant now) {
  const EndpointState* owner = fleet.Find(state.owned.owner);
  const bool is_back = owner != nullptr && owner->AcceptsNewKeys() &&
                       owner->entry.incarnation == state.owned.incarnation && !state.target;
  if (is_back) {
    LogDecision("owner available again range=" + ToString(state.owned.range) + " endpoint=" +
                state.owned.owner.value() + (state.token_may_be_outdated ? " new token" : ""));
    if (state.token_may_be_outdated) {
      ReassignToOwner(state);
      return;
    }
    // Requests go to it once it has confirmed a grant.
    state.phase = RangePhase::kOwned;
    state.grant_confirmed = false;
    state.order_failures = 0;
    state.next_order_at = now;
    return;
  }
  if (now >= state.held_until) {
    MarkFree(state);
    return;
  }
  // Whoever is at the address tells whether the owner has ended. That says nothing about another
  // owner that a lost change of the record may have named.
  const bool may_have_ended = now >= lost_grants_until_ && OwnerAddressIsReused(state, fleet);
  if (may_have_ended && now >= state.next_order_at) {
    StartRelease(state, state.target, "owner's address used by another");
    state.release_repeated = true;
  }
}

void KeyLeader::GrantRange(RangeState& state) {
  state.pending_order = next_order_number_++;
  actions_.emplace_back(SendGrant{state.pending_order, state.owned.owner,
                                  AddressOf(state.owned.owner),
                                  KeyGrant{state.owned.range, state.owned.token,
                                           settings_.time_to_live, state.handover_state}});
}

NetworkAddress KeyLeader::AddressOf(const InstanceId& endpoint) const {
  const auto found = addresses_.find(endpoint);
  return found == addresses_.end() ? NetworkAddress{} : found->second;
}

void KeyLeader::StartRelease(RangeState& state, std::optional<InstanceId> target,
                             const std::string& reason) {
  RequireInvariant(state.pending_order == 0, "keys are released only while no order is pending");
  state.phase = RangePhase::kReleasing;
  state.serving = false;
  state.release_repeated = false;
  state.target = std::move(target);
  state.handover_state.clear();
  state.pending_order = next_order_number_++;
  LogDecision("release range=" + ToString(state.owned.range) +
              " endpoint=" + state.owned.owner.value() +
              " target=" + (state.target ? state.target->value() : "any") + " reason=" + reason);
  actions_.emplace_back(SendRelease{state.pending_order, state.owned.owner,
                                    AddressOf(state.owned.owner), state.owned.range,
                                    FencingToken{record_.highest_token.value + 1}});
  actions_.emplace_back(RoutesChanged{});
}

void KeyLeader::MarkFree(RangeState& state) {
  state.phase = RangePhase::kFree;
  state.pending_order = 0;
  state.grant_confirmed = false;
  state.serving = false;
  actions_.emplace_back(RoutesChanged{});
}

void KeyLeader::ReassignToOwner(RangeState& state) {
  state.target = state.owned.owner;
  MarkFree(state);
  state.must_keep_owner = true;
}

void KeyLeader::WaitForExpiry(RangeState& state) {
  state.phase = RangePhase::kExpiring;
  if (std::exchange(state.serving, false)) {
    actions_.emplace_back(RoutesChanged{});
  }
}

KeyLeader::RangeState* KeyLeader::FindRangeByOrder(std::uint64_t order) {
  const auto found = std::find_if(ranges_.begin(), ranges_.end(), [order](const RangeState& state) {
    return state.pending_order == order;
  });
  return found == ranges_.end() ? nullptr : &*found;
}

void KeyLeader::HandleOrderReply(std::uint64_t order, const OrderReply& reply, Instant now) {
  RangeState* state = FindRangeByOrder(order);
  if (state == nullptr) {
    return;
  }
  state->pending_order = 0;
  if (reply.outcome == OrderReply::Outcome::kDone) {
    state->order_failures = 0;
  }
  if (state->phase == RangePhase::kReleasing) {
    state->handover_state = reply.handover_state;
    state->token_may_be_outdated = true;
    const bool is_released = reply.outcome == OrderReply::Outcome::kDone &&
                             now >= state->unconfirmed_until && now >= state->older_grant_until;
    if (is_released) {
      MarkFree(*state);
    } else if (reply.outcome == OrderReply::Outcome::kAnotherEndpoint) {
      HandleOwnerReplaced(*state);
    } else {
      LogDecision("keys may still be held range=" + ToString(state->owned.range) +
                  " endpoint=" + state->owned.owner.value());
      WaitForExpiry(*state);
      state->next_order_at = now + settings_.order_retry_delay;
    }
    return;
  }
  if (reply.outcome == OrderReply::Outcome::kDone) {
    state->next_order_at = now + settings_.renew_interval;
    state->handover_state.clear();
    state->grant_confirmed = true;
    // The grant arrived before its reply.
    state->held_until = std::max(state->held_until, now + GrantLifetime());
    state->older_grant_until = {};
    if (!state->serving) {
      state->serving = true;
      actions_.emplace_back(RoutesChanged{});
    }
    return;
  }
  if (reply.outcome == OrderReply::Outcome::kOutdated) {
    HandleOutdatedToken(*state, now);
    return;
  }
  if (reply.outcome == OrderReply::Outcome::kAnotherEndpoint) {
    HandleOwnerReplaced(*state);
    return;
  }
  CountUnconfirmedGrant(*state, now);
  state->next_order_at = now + settings_.order_retry_delay;
  ++state->order_failures;
  state->last_failure_at = now;
}

void KeyLeader::HandleOwnerReplaced(RangeState& state) {
  LogDecision("owner replaced range=" + ToString(state.owned.range) +
              " endpoint=" + state.owned.owner.value());
  state.handover_state.clear();
  MarkFree(state);
}

void KeyLeader::HandleOutdatedToken(RangeState& state, Instant now) {
  LogDecision("token outdated range=" + ToString(state.owned.range) +
              " endpoint=" + state.owned.owner.value());
  // Only this grant has certainly no effect. Earlier ones may be in force, and requests that began
  // under them may run although a release has stopped new ones.
  state.token_may_be_outdated = true;
  contested_ = true;
  if (now < lost_grants_until_) {
    // Another leader, whose record the store lost, may have given the keys to another endpoint, so
    // the present owner may not return before that.
    state.target = state.owned.owner;
    state.held_until = std::max(state.held_until, lost_grants_until_);
  }
  WaitForExpiry(state);
}

void KeyLeader::CountUnconfirmedGrant(RangeState& state, Instant now) const {
  const Instant until = now + settings_.max_arrival_after_reset + GrantLifetime();
  state.unconfirmed_until = std::max(state.unconfirmed_until, until);
  state.held_until = std::max(state.held_until, until);
}

void KeyLeader::HandleOrderFailure(std::uint64_t order, bool sent, Instant now) {
  RangeState* state = FindRangeByOrder(order);
  if (state == nullptr) {
    return;
  }
  state->pending_order = 0;
  ++state->order_failures;
  state->last_failure_at = now;
  if (state->phase == RangePhase::kReleasing) {
    state->token_may_be_outdated = state->token_may_be_outdated || sent;
    WaitForExpiry(*state);
    state->next_order_at = now + settings_.order_retry_delay;
    LogDecision("release unanswered range=" + ToString(state->owned.range) +
                " endpoint=" + state->owned.owner.value());
    return;
  }
  if (sent) {
    CountUnconfirmedGrant(*state, now);
  }
  state->next_order_at = now + settings_.order_retry_delay;
}

void KeyLeader::HandleNotOwnerReport(KeyNumber key, const InstanceId& endpoint, Instant now) {
  for (RangeState& state : ranges_) {
    const bool is_affected = state.phase == RangePhase::kOwned && state.grant_confirmed &&
                             state.pending_order == 0 && state.owned.owner == endpoint &&
                             state.owned.range.Contains(key);
    if (is_affected) {
      state.next_order_at = std::min(state.next_order_at, now);
    }
  }
}

}  // namespace sycamorestall

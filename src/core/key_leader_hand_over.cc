// How a leader stops, and how another daemon renews its grants during an outage of the store.

#include <algorithm>
#include <utility>

#include "core/key_leader.h"

namespace sycamorestall {

OwnershipRecord KeyLeader::RecordToHandOver() const {
  if (!pending_write_) {
    return CurrentRecord();
  }
  const bool certainly_not_written = write_retry_at_ && !write_outcome_unknown_;
  if (certainly_not_written) {
    return record_;
  }
  OwnershipRecord record = CurrentRecord();
  std::erase_if(record.ranges, [this](const OwnedRange& each) {
    return std::any_of(ranges_.begin(), ranges_.end(), [&each](const RangeState& state) {
      return state.in_pending_write && state.owned.range.Overlaps(each.range);
    });
  });
  return record;
}

bool KeyLeader::MayHaveSteppedDown() const {
  const bool certainly_not_written = write_retry_at_ && !write_outcome_unknown_;
  return pending_write_ && pending_write_->leader.empty() && !certainly_not_written;
}

void KeyLeader::StopLeading(const StoreView& store, Instant now) {
  if (!store.reachable && !MayHaveSteppedDown()) {
    LogDecision("handing over renewals term=" + std::to_string(record_.term.value) +
                ": the store is unreachable");
    OwnershipRecord record = RecordToHandOver();
    BecomeFollower();
    actions_.emplace_back(HandOver{std::move(record), store.confirmed_at});
    return;
  }
  if (!pending_write_) {
    OwnershipRecord record = CurrentRecord();
    record.leader = {};
    StartWrite(std::move(record), now);
    LogDecision(
        "stepping down term=" + std::to_string(record_.term.value) +
        " earlier_leaders_ms=" + std::to_string(pending_write_->earlier_leaders_time.count()));
  }
}

void KeyLeader::AcceptHandOver(const OwnershipRecord& record, Instant confirmed_at, Instant now) {
  const bool has_stepped_down = record.term == record_.term && record_.leader.empty();
  const bool outdated = record.term < record_.term || has_stepped_down;
  if (phase_ != Phase::kFollowing || outdated || stepping_down_) {
    return;
  }
  LogDecision("acting as leader term=" + std::to_string(record.term.value) +
              " leader=" + record.leader.value());
  phase_ = Phase::kActing;
  handed_over_record_ = record;
  handed_over_confirmed_at_ = confirmed_at;
  acting_since_ = now;
  LoadRanges(record, Duration{}, now);
}

bool KeyLeader::MayClaimAfterActing() const {
  const bool record_is_unchanged =
      record_.term == handed_over_record_.term && record_.leader == handed_over_record_.leader;
  return !stepping_down_ && record_is_unchanged && !MayLackChanges();
}

void KeyLeader::StopActing(Instant now) {
  ranges_when_acting_ = std::move(ranges_);
  for (RangeState& state : ranges_when_acting_) {
    if (state.pending_order != 0) {
      // The grant that has not been answered may still arrive.
      state.held_until = std::max(state.held_until, now + MaxGrantDelay() + GrantLifetime());
    }
  }
  BecomeFollower();
}

void KeyLeader::ClaimAfterActing(const StoreView& store, Instant now) {
  if (!MayClaimAfterActing()) {
    ranges_when_acting_.clear();
    return;
  }
  const bool store_is_back = store.reachable && store.confirmed_at > acting_since_;
  if (!store_is_back || !store.daemons.contains(settings_.self)) {
    return;
  }
  std::vector<RangeState> ranges = std::move(ranges_when_acting_);
  ClaimLeadership(now);
  ranges_when_acting_ = std::move(ranges);
  // The leader that handed over sends no grants any more.
  earlier_leaders_time_ = record_.earlier_leaders_time;
}

void KeyLeader::RestoreHoldTimes() {
  for (RangeState& state : ranges_) {
    const auto known = std::find_if(
        ranges_when_acting_.begin(), ranges_when_acting_.end(), [&state](const RangeState& each) {
          return each.owned.range == state.owned.range && each.owned.owner == state.owned.owner &&
                 each.owned.incarnation == state.owned.incarnation;
        });
    if (known != ranges_when_acting_.end()) {
      state.held_until = std::max(known->held_until, known->unconfirmed_until);
      state.older_grant_until = state.held_until;
    }
  }
  ranges_when_acting_.clear();
}

void KeyLeader::RunAsActingLeader(const StoreView& store, Instant now) {
  const bool store_is_back = store.confirmed_at > acting_since_;
  if (store_is_back || stepping_down_ ||
      now - handed_over_confirmed_at_ >= settings_.grant_authority) {
    LogDecision("no longer acting as leader");
    StopActing(now);
    const bool pass_on = stepping_down_ && !store_is_back;
    if (pass_on) {
      actions_.emplace_back(
          HandOver{std::exchange(handed_over_record_, {}), handed_over_confirmed_at_});
    }
    return;
  }
  for (RangeState& state : ranges_) {
    // Only the leader that is replaced could write a higher token for an owner that asks for one.
    const bool renewable = state.phase == RangePhase::kOwned && state.pending_order == 0;
    if (renewable && now >= state.next_order_at) {
      GrantRange(state);
    }
  }
}

}  // namespace sycamorestall

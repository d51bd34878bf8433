#include "core/key_leader.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace sycamorestall {

namespace {

// Each candidate waits this much longer than the one ranked before it, so that usually
// only one claims leadership.
constexpr std::chrono::milliseconds kClaimDelayPerRank{800};
// How long there has to be no leader before the first candidate claims leadership.
constexpr std::chrono::milliseconds kMinLeaderlessTime{300};
// The delay before a failed write is repeated; it doubles with each failure, up to this
// many times.
constexpr std::chrono::milliseconds kWriteRetryDelay{200};
constexpr std::uint32_t kMaxRetryDoublings = 2;

// The era of a store that has never come back with older contents.
constexpr StoreEra kFirstEra{1};
// More than a leader adds to its term or to its highest token between two eras of the store.
constexpr std::uint64_t kNumbersPerEra = std::uint64_t{1} << 20;

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

// Whether a record was written after another one, or is the same.
bool IsAtLeastAsRecent(const OwnershipRecord& record, const OwnershipRecord& other) {
  if (record.term != other.term) {
    return record.term > other.term;
  }
  if (record.highest_token != other.highest_token) {
    return record.highest_token > other.highest_token;
  }
  // The last write of a term names no leader.
  return record.leader.empty() || !other.leader.empty();
}

// The order in which daemons claim leadership: the lowest rank goes first.
struct CandidateRank {
  double negative_capacity = 0;
  std::size_t hash = 0;

  friend auto operator<=>(const CandidateRank&, const CandidateRank&) = default;  // NOLINT
};

}  // namespace

KeyLeader::KeyLeader(KeyLeaderSettings settings, std::unique_ptr<KeyPlacement> placement)
    : settings_(std::move(settings)), placement_(std::move(placement)) {}

std::vector<KeyLeaderAction> KeyLeader::TakeActions() { return std::exchange(actions_, {}); }

void KeyLeader::LogDecision(std::string text) {
  actions_.emplace_back(LeaderDecision{std::move(text)});
}

Duration KeyLeader::GrantLifetime() const {
  const double seconds = std::chrono::duration<double>(settings_.time_to_live).count();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds * (1 + settings_.clock_drift)));
}

Duration KeyLeader::MaxGrantDelay() const {
  return settings_.grant_timeout + settings_.max_timeout_delay + settings_.max_arrival_after_reset;
}

bool KeyLeader::MaySendOrders(const StoreView& store, Instant now) const {
  return phase_ == Phase::kLeading && now - store.confirmed_at < settings_.grant_authority;
}

void KeyLeader::ApplyRecord(const OwnershipRecord& record, Revision revision, Instant now) {
  if (record_known_ && revision <= revision_) {
    return;
  }
  if (record_known_ && revision.era > revision_.era) {
    BeginEra(record, revision, now);
    return;
  }
  record_known_ = true;
  const bool is_own_write =
      pending_write_ && !record.change_id.empty() && pending_write_->change_id == record.change_id;
  if (is_own_write) {
    ApplyCompletedWrite(revision, now);
    return;
  }
  const bool superseded = phase_ == Phase::kLeading && record.term > record_.term;
  revision_ = revision;
  if (phase_ == Phase::kLeading && !superseded) {
    // A write that was prepared in an earlier era has replaced this leader's record.
    RestoreRecord(now);
    return;
  }
  record_ = record;
  if (MayLackChanges() && lost_grants_until_ == Instant{}) {
    ExpectLostGrants(now);
  }
  if (superseded || phase_ == Phase::kClaiming) {
    LogDecision("following leader=" + record.leader.value() +
                " term=" + std::to_string(record.term.value));
    BecomeFollower();
  }
  if (phase_ == Phase::kFollowing) {
    leaderless_since_.reset();
  }
}

bool KeyLeader::MayLackChanges() const {
  const bool has_record = record_.term.value != 0;
  return record_.era < revision_.era && (has_record || revision_.era > kFirstEra);
}

void KeyLeader::ExpectLostGrants(Instant now) {
  lost_grants_until_ = now + settings_.grant_authority + MaxGrantDelay() + GrantLifetime();
}

void KeyLeader::BeginEra(const OwnershipRecord& restored, Revision revision, Instant now) {
  LogDecision("store came back older era=" + std::to_string(revision.era.value) +
              " term=" + std::to_string(restored.term.value) +
              " known_term=" + std::to_string(record_.term.value));
  const bool superseded = restored.term > record_.term;
  const bool has_authority = now - confirmed_at_ < settings_.grant_authority;
  revision_ = revision;
  leaderless_since_.reset();
  ExpectLostGrants(now);
  if (!IsAtLeastAsRecent(record_, restored)) {
    record_ = restored;
  }
  if (phase_ == Phase::kLeading && has_authority && !superseded && !contested_) {
    RestoreRecord(now);
  } else if (phase_ != Phase::kFollowing) {
    BecomeFollower();
  }
}

void KeyLeader::RaiseToPresentEra(OwnershipRecord& record) const {
  if (MayLackChanges() && record.era < revision_.era) {
    const std::uint64_t eras = revision_.era.value - record.era.value;
    record.term.value += eras * kNumbersPerEra;
    record.highest_token.value += eras * kNumbersPerEra;
  }
  record.era = revision_.era;
}

void KeyLeader::RestoreRecord(Instant now) {
  if (pending_write_) {
    // The write that has no result yet is repeated on top of the restored record.
    RaiseToPresentEra(*pending_write_);
    SetWaits(*pending_write_, now);
    write_outcome_unknown_ = true;
    write_retry_at_ = now;
    return;
  }
  OwnershipRecord record = CurrentRecord();
  RaiseToPresentEra(record);
  StartWrite(std::move(record), now);
}

void KeyLeader::BecomeFollower() {
  phase_ = Phase::kFollowing;
  pending_write_.reset();
  write_retry_at_.reset();
  ranges_.clear();
  demand_ = {};
  evacuation_progress_.Reset();
  actions_.emplace_back(RoutesChanged{});
}

void KeyLeader::SetWaits(OwnershipRecord& record, Instant now) const {
  const auto time_until = [now](Instant until) {
    return std::chrono::ceil<std::chrono::milliseconds>(std::max(until - now, Duration{}));
  };
  record.earlier_leaders_time = time_until(earlier_leaders_until_);
  record.lost_changes_time = time_until(lost_grants_until_);
  record.lacks_changes = holders_unknown_ && now < lost_grants_until_;
}

void KeyLeader::StartWrite(OwnershipRecord record, Instant now) {
  SetWaits(record, now);
  record.change_id = settings_.self.value() + "." + std::to_string(record.term.value) + "." +
                     std::to_string(next_change_number_++);
  pending_write_ = record;
  write_outcome_unknown_ = false;
  actions_.emplace_back(WriteOwnership{std::move(record), revision_});
}

void KeyLeader::HandleWriteResult(const std::string& change_id, RecordWriteOutcome outcome,
                                  Revision revision, Instant now) {
  if (!pending_write_ || pending_write_->change_id != change_id) {
    return;
  }
  switch (outcome) {
    case RecordWriteOutcome::kUnknown:
    case RecordWriteOutcome::kNotWritten:
      write_outcome_unknown_ = write_outcome_unknown_ || outcome == RecordWriteOutcome::kUnknown;
      write_retry_at_ =
          now + kWriteRetryDelay * (1U << std::min(write_failures_, kMaxRetryDoublings));
      ++write_failures_;
      return;
    case RecordWriteOutcome::kConflict:
      // Either an earlier attempt of this write was applied, or another daemon wrote.
      // The record, which follows, tells which.
      contested_ = true;
      if (phase_ == Phase::kClaiming && !write_outcome_unknown_) {
        phase_ = Phase::kFollowing;
        pending_write_.reset();
      }
      return;
    case RecordWriteOutcome::kWritten:
      break;
  }
  ApplyCompletedWrite(revision, now);
}

void KeyLeader::RetryWrite(Instant now) {
  if (pending_write_ && write_retry_at_ && now >= *write_retry_at_) {
    write_retry_at_.reset();
    actions_.emplace_back(WriteOwnership{*pending_write_, revision_});
  }
}

void KeyLeader::ApplyCompletedWrite(Revision revision, Instant now) {
  contested_ = false;
  record_ = *std::exchange(pending_write_, std::nullopt);
  revision_ = revision;
  record_known_ = true;
  write_retry_at_.reset();
  write_failures_ = 0;
  if (record_.leader.empty()) {
    BecomeFollower();
    return;
  }
  if (phase_ == Phase::kClaiming) {
    BecomeLeader(now);
    return;
  }
  for (RangeState& state : ranges_) {
    if (state.in_pending_write) {
      state.in_pending_write = false;
      state.phase = RangePhase::kOwned;
      state.target.reset();
      state.token_may_be_outdated = false;
      state.next_order_at = now;
      state.order_failures = 0;
      ResetGrantTimes(state);
    }
  }
}

void KeyLeader::ResetGrantTimes(RangeState& state) {
  // An endpoint that is assigned its own keys again may still hold them under its
  // previous grants.
  state.older_grant_until = state.keeps_owner ? state.held_until : Instant{};
  state.held_until = state.older_grant_until;
  state.unconfirmed_until = {};
}

void KeyLeader::Tick(const EndpointFleet& fleet, const StoreView& store, Instant now) {
  confirmed_at_ = store.confirmed_at;
  daemon_count_ = std::max<std::size_t>(store.daemons.size(), 1);
  if (phase_ != Phase::kFollowing) {
    UpdateAddresses(fleet);
    demand_.Decay(now);
  }
  if (phase_ == Phase::kActing) {
    RunAsActingLeader(store, now);
    return;
  }
  RetryWrite(now);
  if (phase_ == Phase::kFollowing && !ranges_when_acting_.empty()) {
    ClaimAfterActing(store, now);
  }
  if (phase_ != Phase::kLeading) {
    ClaimIfLeaderless(fleet, store, now);
    return;
  }
  if (stepping_down_) {
    StopLeading(store, now);
    return;
  }
  const bool must_wait = holders_unknown_ && now < lost_grants_until_;
  if (must_wait || !MaySendOrders(store, now)) {
    return;
  }
  WriteEndOfLostChanges(now);
  if (ranges_.empty()) {
    CreateInitialAssignment(fleet, now);
  }
  TrackEvacuation(fleet, now);
  ReleaseEvacuatedKeys(fleet, store, now);
  AdvanceRanges(fleet, store, now);
  PlanMoves(fleet, store, now);
  AssignFreeRanges(fleet, now);
  MergeAdjacentRanges();
}

void KeyLeader::WriteEndOfLostChanges(Instant now) {
  const bool noted = record_.lost_changes_time > Duration{};
  if (noted && now >= lost_grants_until_ && !pending_write_) {
    StartWrite(CurrentRecord(), now);
  }
}

void KeyLeader::UpdateAddresses(const EndpointFleet& fleet) {
  for (const auto& [id, each] : fleet.EndpointsOfService(settings_.service)) {
    addresses_[each->entry.id] = each->entry.address;
  }
}

bool KeyLeader::EndpointListIsStable(const EndpointFleet& fleet, Instant now) {
  const std::size_t listed = fleet.EndpointsOfService(settings_.service).size();
  if (listed != listed_endpoints_) {
    listed_endpoints_ = listed;
    list_changed_at_ = now;
  }
  return listed > 0 && now - list_changed_at_ >= settings_.initial_list_settle_time;
}

void KeyLeader::ClaimIfLeaderless(const EndpointFleet& fleet, const StoreView& store, Instant now) {
  const bool list_is_stable = EndpointListIsStable(fleet, now);
  if (phase_ == Phase::kClaiming || stepping_down_ || !store.reachable ||
      !store.daemons.contains(settings_.self)) {
    return;
  }
  const bool no_record_yet = revision_.value == 0;
  // A leader that is not heard from is replaced before its lease ends, but only by a
  // daemon that hears from most others: one that does not may itself be cut off by a
  // network partition.
  const auto registered_heard =
      std::count_if(store.heard_peers.begin(), store.heard_peers.end(),
                    [&](const InstanceId& each) { return store.daemons.contains(each); });
  const bool hears_majority =
      2 * (static_cast<std::size_t>(registered_heard) + 1) > store.daemons.size();
  const bool leader_is_silent =
      hears_majority && store.heard_peers.size() > 0 && !store.heard_peers.contains(record_.leader);
  const bool leader_may_hold_lease = store.daemons.contains(record_.leader) ||
                                     now - store.reachable_since < settings_.daemon_return_grace;
  // A leader of an earlier era writes its record again, or it has ended.
  const bool has_leader = !MayLackChanges() && !record_.leader.empty() &&
                          record_.leader != settings_.self && leader_may_hold_lease &&
                          !leader_is_silent;
  if (has_leader || (no_record_yet && !list_is_stable)) {
    leaderless_since_.reset();
    return;
  }
  if (!leaderless_since_) {
    leaderless_since_ = now;
  }
  // Candidates of equal capacity are ordered by a hash, so that services have different
  // leaders.
  const auto rank = [&](const InstanceId& id) {
    const auto daemon = store.daemons.find(id);
    return CandidateRank{-daemon->second,
                         std::hash<std::string>{}(settings_.service.value() + "/" + id.value())};
  };
  const CandidateRank own_rank = rank(settings_.self);
  std::uint32_t candidates_ahead = 0;
  for (const auto& [id, capacity] : store.daemons) {
    candidates_ahead += rank(id) < own_rank ? 1 : 0;
  }
  const Duration return_grace = MayLackChanges() ? settings_.record_return_grace : Duration{};
  if (now - *leaderless_since_ >=
      kMinLeaderlessTime + return_grace + candidates_ahead * kClaimDelayPerRank) {
    ClaimLeadership(now);
  }
}

void KeyLeader::ClaimLeadership(Instant now) {
  phase_ = Phase::kClaiming;
  claimed_at_ = now;
  ranges_when_acting_.clear();
  leaderless_since_.reset();
  OwnershipRecord record = record_;
  // A leader that did not step down may go on granting keys until its authority ends, and so may
  // any before it. One that did knew how long others may.
  earlier_leaders_time_ = record.leader.empty() ? Duration{record.earlier_leaders_time}
                                                : Duration{settings_.grant_authority};
  LearnLostChanges(now);
  RaiseToPresentEra(record);
  record.term.value += 1;
  record.leader = settings_.self;
  // Every key gets a higher token. Once a grant of this leader has arrived, grants of
  // an earlier leader that are still in transit are refused.
  record.highest_token.value += 1;
  for (OwnedRange& owned : record.ranges) {
    owned.token = record.highest_token;
  }
  LogDecision("claiming leadership term=" + std::to_string(record.term.value) +
              " earlier=" + record_.leader.value() +
              " earlier_leaders_ms=" + std::to_string(ToMilliseconds(earlier_leaders_time_)));
  StartWrite(std::move(record), now);
}

void KeyLeader::LearnLostChanges(Instant now) {
  holders_unknown_ = MayLackChanges() || record_.lacks_changes;
  lost_grants_until_ = std::max(lost_grants_until_, now + record_.lost_changes_time);
}

void KeyLeader::LoadRanges(const OwnershipRecord& record, Duration earlier_grant_time,
                           Instant now) {
  ranges_.clear();
  for (const OwnedRange& owned : record.ranges) {
    RangeState state;
    state.owned = owned;
    state.next_order_at = now;
    state.held_until = now + earlier_grant_time + MaxGrantDelay() + GrantLifetime();
    state.older_grant_until = state.held_until;
    state.serving = true;
    ranges_.push_back(std::move(state));
  }
  for (const auto& [id, address] : record.addresses) {
    addresses_[id] = address;
  }
  actions_.emplace_back(RoutesChanged{});
}

void KeyLeader::BecomeLeader(Instant now) {
  phase_ = Phase::kLeading;
  earlier_leaders_until_ = now + earlier_leaders_time_;
  LoadRanges(record_, earlier_leaders_time_, now);
  RestoreHoldTimes();
  next_placement_at_ = now + settings_.placement_interval;
  LogDecision("leading term=" + std::to_string(record_.term.value) +
              " ranges=" + std::to_string(ranges_.size()));
}

void KeyLeader::ObserveTerm(Term term) {
  if (leading() && term > this->term()) {
    LogDecision("following: another leader announced a higher term=" + std::to_string(term.value));
    BecomeFollower();
  }
}

void KeyLeader::AddDemand(const std::vector<KeyCount>& counts) {
  if (leading()) {
    demand_.Add(counts);
  }
}

std::vector<ServedRange> KeyLeader::ServedRanges() const {
  std::vector<ServedRange> served;
  for (const RangeState& state : ranges_) {
    if (state.serving) {
      served.push_back({state.owned.range, state.owned.owner});
    }
  }
  std::sort(served.begin(), served.end(), [](const ServedRange& left, const ServedRange& right) {
    return left.range.first < right.range.first;
  });
  return served;
}

}  // namespace sycamorestall

#include "core/key_leader.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace sycamorestall {

namespace {

// How long candidates wait behind one another before they claim the lead, so that
// the first of them usually is alone.
constexpr std::chrono::milliseconds kCandidateStep{800};
constexpr std::chrono::milliseconds kLeaderlessPatience{300};
// How long after a write that failed the next one follows.
constexpr std::chrono::milliseconds kWriteRetry{200};
constexpr std::uint32_t kMaxDoublings = 2;

// Who claims before whom: the lower rank does.
struct CandidateRank {
  double weight = 0;
  std::size_t hash = 0;

  friend auto operator<=>(const CandidateRank&, const CandidateRank&) = default;  // NOLINT
};

}  // namespace

KeyLeader::KeyLeader(KeyLeaderSettings settings, std::unique_ptr<KeyPlacement> placement)
    : settings_(std::move(settings)), placement_(std::move(placement)) {}

std::vector<KeyLeaderAction> KeyLeader::TakeActions() { return std::exchange(actions_, {}); }

void KeyLeader::Explain(std::string text) {
  actions_.emplace_back(LeaderDecision{std::move(text)});
}

Duration KeyLeader::HoldTime() const {
  const double seconds = std::chrono::duration<double>(settings_.time_to_live).count();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds * (1 + settings_.clock_drift)) + settings_.transit);
}

bool KeyLeader::MayOrder(const StoreView& store, Instant now) const {
  return phase_ == Phase::kLeading && now - store.confirmed_at < settings_.authority;
}

void KeyLeader::TakeRecord(const OwnershipRecord& record, Revision revision, Instant now) {
  if (record_known_ && revision <= revision_) {
    return;
  }
  record_known_ = true;
  const bool own_write =
      writing_ && !record.change_id.empty() && writing_->change_id == record.change_id;
  if (own_write) {
    FinishWrite(revision, now);
    return;
  }
  const bool deposed = phase_ == Phase::kLeading && record.term > record_.term;
  record_ = record;
  revision_ = revision;
  if (deposed || phase_ == Phase::kClaiming) {
    Explain("follow leader=" + record.leader.value() +
            " term=" + std::to_string(record.term.value));
    Follow();
  }
  if (phase_ == Phase::kFollowing) {
    leaderless_since_.reset();
  }
}

void KeyLeader::Follow() {
  phase_ = Phase::kFollowing;
  writing_.reset();
  write_again_at_.reset();
  rows_.clear();
  demand_ = {};
  actions_.emplace_back(RoutesChanged{});
}

void KeyLeader::BeginWrite(OwnershipRecord record) {
  record.change_id = settings_.self.value() + "." + std::to_string(record.term.value) + "." +
                     std::to_string(next_change_++);
  writing_ = record;
  write_in_doubt_ = false;
  actions_.emplace_back(WriteOwnership{std::move(record), revision_});
}

void KeyLeader::TakeWrite(const std::string& change_id, RecordVerdict verdict, Revision revision,
                          Instant now) {
  if (!writing_ || writing_->change_id != change_id) {
    return;
  }
  switch (verdict) {
    case RecordVerdict::kUnknown:
    case RecordVerdict::kNotWritten:
      write_in_doubt_ = write_in_doubt_ || verdict == RecordVerdict::kUnknown;
      write_again_at_ = now + kWriteRetry * (1U << std::min(write_failures_, kMaxDoublings));
      ++write_failures_;
      return;
    case RecordVerdict::kConflict:
      // Either this write was made before its answer was lost, or another daemon
      // wrote. The record itself, which follows, tells which.
      if (phase_ == Phase::kClaiming && !write_in_doubt_) {
        phase_ = Phase::kFollowing;
        writing_.reset();
      }
      return;
    case RecordVerdict::kWritten:
      break;
  }
  FinishWrite(revision, now);
}

void KeyLeader::RepeatWrite(Instant now) {
  if (writing_ && write_again_at_ && now >= *write_again_at_) {
    write_again_at_.reset();
    actions_.emplace_back(WriteOwnership{*writing_, revision_});
  }
}

void KeyLeader::FinishWrite(Revision revision, Instant now) {
  record_ = *std::exchange(writing_, std::nullopt);
  revision_ = revision;
  record_known_ = true;
  write_again_at_.reset();
  write_failures_ = 0;
  if (record_.leader.empty()) {
    Follow();
    return;
  }
  if (phase_ == Phase::kClaiming) {
    Lead(now);
    return;
  }
  for (Row& row : rows_) {
    if (row.assigned) {
      row.assigned = false;
      row.phase = RowPhase::kOwned;
      row.target.reset();
      row.next_order = now;
      row.silences = 0;
      ForgetGrants(row);
    }
  }
}

void KeyLeader::ForgetGrants(Row& row) {
  // An endpoint that gets its keys anew may still hold them under its last grants.
  row.earlier_until = row.keeps_owner ? std::max(row.held_until, row.doubtful_until) : Instant{};
  row.held_until = row.earlier_until;
  row.doubtful_until = {};
}

void KeyLeader::Tick(const EndpointFleet& fleet, const StoreView& store, Instant now) {
  if (phase_ != Phase::kFollowing) {
    TakeAddresses(fleet);
    demand_.Age(now);
  }
  if (phase_ == Phase::kStandingIn) {
    StandIn(store, now);
    return;
  }
  RepeatWrite(now);
  if (phase_ != Phase::kLeading) {
    ConsiderClaim(fleet, store, now);
    return;
  }
  if (stepping_down_) {
    StopLeading(store);
    return;
  }
  if (!MayOrder(store, now)) {
    return;
  }
  if (rows_.empty()) {
    FirstAssignment(fleet, now);
  }
  AdvanceRows(fleet, store, now);
  PlanMoves(fleet, store, now);
  AssignFree(fleet, now);
  MergeRows();
}

void KeyLeader::TakeAddresses(const EndpointFleet& fleet) {
  for (const auto& [id, each] : fleet.EndpointsOfService(settings_.service)) {
    addresses_[each->entry.id] = each->entry.address;
  }
}

OwnershipRecord KeyLeader::RecordToHandOver() const {
  if (!writing_) {
    return CurrentRecord();
  }
  const bool surely_not_written = write_again_at_ && !write_in_doubt_;
  if (surely_not_written) {
    return record_;
  }
  OwnershipRecord record = CurrentRecord();
  std::erase_if(record.ranges, [this](const OwnedRange& each) {
    return std::any_of(rows_.begin(), rows_.end(), [&each](const Row& row) {
      return row.assigned && row.owned.range.Overlaps(each.range);
    });
  });
  return record;
}

void KeyLeader::StopLeading(const StoreView& store) {
  if (!store.reachable) {
    Explain("hand over term=" + std::to_string(record_.term.value) + ": the store is away");
    OwnershipRecord record = RecordToHandOver();
    Follow();
    actions_.emplace_back(HandOver{std::move(record), store.confirmed_at});
    return;
  }
  if (!writing_) {
    OwnershipRecord record = CurrentRecord();
    record.leader = {};
    Explain("step down term=" + std::to_string(record.term.value));
    BeginWrite(std::move(record));
  }
}

void KeyLeader::TakeHandOver(const OwnershipRecord& record, Instant confirmed_at, Instant now) {
  if (phase_ != Phase::kFollowing || record.term < record_.term || stepping_down_) {
    return;
  }
  Explain("stand in term=" + std::to_string(record.term.value) +
          " leader=" + record.leader.value());
  phase_ = Phase::kStandingIn;
  handed_over_ = record;
  stand_in_confirmed_at_ = confirmed_at;
  standing_in_since_ = now;
  TakeRows(record, Duration{}, now);
}

void KeyLeader::StandIn(const StoreView& store, Instant now) {
  const bool store_is_back = store.confirmed_at > standing_in_since_;
  if (store_is_back || stepping_down_ || now - stand_in_confirmed_at_ >= settings_.authority) {
    Explain("stand in no longer");
    OwnershipRecord record = std::exchange(handed_over_, {});
    const bool hand_on = stepping_down_ && !store_is_back;
    Follow();
    if (hand_on) {
      actions_.emplace_back(HandOver{std::move(record), stand_in_confirmed_at_});
    }
    return;
  }
  for (Row& row : rows_) {
    if (row.order == 0 && now >= row.next_order) {
      SendGrantFor(row, now);
    }
  }
}

bool KeyLeader::ListIsSettled(const EndpointFleet& fleet, Instant now) {
  const std::size_t listed = fleet.EndpointsOfService(settings_.service).size();
  if (listed != listed_) {
    listed_ = listed;
    list_changed_at_ = now;
  }
  return listed > 0 && now - list_changed_at_ >= settings_.first_settle;
}

void KeyLeader::ConsiderClaim(const EndpointFleet& fleet, const StoreView& store, Instant now) {
  const bool settled = ListIsSettled(fleet, now);
  if (phase_ == Phase::kClaiming || stepping_down_ || !store.reachable ||
      !store.daemons.contains(settings_.self)) {
    return;
  }
  const bool first = revision_.value == 0;
  // A leader that is not heard is given up before its lease ends, but not by a
  // daemon that hears few others: it may be cut off itself.
  const bool hears_most = 2 * (store.heard.size() + 1) > store.daemons.size();
  const bool silent = hears_most && store.heard.size() > 0 && !store.heard.contains(record_.leader);
  const bool leased = store.daemons.contains(record_.leader) ||
                      now - store.reachable_since < settings_.return_settle;
  const bool led = !record_.leader.empty() && record_.leader != settings_.self && leased && !silent;
  if (led || (first && !settled)) {
    leaderless_since_.reset();
    return;
  }
  if (!leaderless_since_) {
    leaderless_since_ = now;
  }
  // Equal candidates are ordered by a hash, so that services have different leaders.
  const auto rank = [&](const InstanceId& id) {
    const auto daemon = store.daemons.find(id);
    return CandidateRank{-daemon->second,
                         std::hash<std::string>{}(settings_.service.value() + "/" + id.value())};
  };
  const CandidateRank own = rank(settings_.self);
  std::uint32_t before = 0;
  for (const auto& [id, weight] : store.daemons) {
    before += rank(id) < own ? 1 : 0;
  }
  if (now - *leaderless_since_ >= kLeaderlessPatience + before * kCandidateStep) {
    Claim(now);
  }
}

void KeyLeader::Claim(Instant now) {
  phase_ = Phase::kClaiming;
  claimed_at_ = now;
  leaderless_since_.reset();
  OwnershipRecord record = record_;
  earlier_leader_silent_ = record.leader.empty();
  record.term.value += 1;
  record.leader = settings_.self;
  // With a higher token for every key, grants of an earlier leader that are still
  // on their way are refused once this one's have arrived.
  record.highest.value += 1;
  for (OwnedRange& owned : record.ranges) {
    owned.token = record.highest;
  }
  Explain("claim term=" + std::to_string(record.term.value) + " earlier=" + record_.leader.value());
  BeginWrite(std::move(record));
}

void KeyLeader::TakeRows(const OwnershipRecord& record, Duration earlier, Instant now) {
  rows_.clear();
  for (const OwnedRange& owned : record.ranges) {
    Row row;
    row.owned = owned;
    row.next_order = now;
    row.held_until = now + earlier + HoldTime();
    row.earlier_until = row.held_until;
    row.serving = true;
    rows_.push_back(std::move(row));
  }
  for (const auto& [id, address] : record.addresses) {
    addresses_[id] = address;
  }
  actions_.emplace_back(RoutesChanged{});
}

void KeyLeader::Lead(Instant now) {
  phase_ = Phase::kLeading;
  // An earlier leader may have granted for as long as its authority lasted.
  TakeRows(record_, earlier_leader_silent_ ? Duration{} : Duration{settings_.earlier_authority},
           now);
  next_placement_ = now + settings_.placement_interval;
  Explain("lead term=" + std::to_string(record_.term.value) +
          " ranges=" + std::to_string(rows_.size()));
}

void KeyLeader::HearTerm(Term term) {
  if (leading() && term > this->term()) {
    Explain("follow: a later leader is heard term=" + std::to_string(term.value));
    Follow();
  }
}

void KeyLeader::TakeDemand(const std::vector<KeyCount>& counts) {
  if (leading()) {
    demand_.Add(counts);
  }
}

std::vector<ServedRange> KeyLeader::ServedRanges() const {
  std::vector<ServedRange> served;
  for (const Row& row : rows_) {
    if (row.serving) {
      served.push_back({row.owned.range, row.owned.owner});
    }
  }
  std::sort(served.begin(), served.end(), [](const ServedRange& left, const ServedRange& right) {
    return left.range.first < right.range.first;
  });
  return served;
}

}  // namespace sycamorestall

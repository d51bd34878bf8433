#include "core/key_leader.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "core/invariant.h"

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

bool Adjacent(const OwnedRange& left, const OwnedRange& right) {
  return left.range.last + 1 == right.range.first && left.owner == right.owner &&
         left.incarnation == right.incarnation && left.token == right.token;
}

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
      row.doubtful_until = {};
      row.held_until = {};
    }
  }
}

void KeyLeader::Tick(const EndpointFleet& fleet, const StoreView& store, Instant now) {
  for (const auto& [id, each] : fleet.OfService(settings_.service)) {
    addresses_[each->entry.id] = each->entry.address;
  }
  demand_.Age(now);
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

void KeyLeader::StopLeading(const StoreView& store) {
  if (!store.reachable) {
    Explain("hand over term=" + std::to_string(record_.term.value) + ": the store is away");
    OwnershipRecord record = writing_ ? record_ : CurrentRecord();
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
  record_ = record;
  stand_in_confirmed_at_ = confirmed_at;
  standing_in_since_ = now;
  TakeRows(record, Duration{}, now);
}

void KeyLeader::StandIn(const StoreView& store, Instant now) {
  const bool store_is_back = store.confirmed_at > standing_in_since_;
  if (store_is_back || stepping_down_ || now - stand_in_confirmed_at_ >= settings_.authority) {
    Explain("stand in no longer");
    OwnershipRecord record = record_;
    const bool hand_on = stepping_down_ && !store_is_back;
    Follow();
    // What the store holds is read anew.
    record_known_ = false;
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
  const std::size_t listed = fleet.OfService(settings_.service).size();
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
    row.serving = true;
    rows_.push_back(std::move(row));
  }
  for (const auto& [id, address] : record.addresses) {
    addresses_.try_emplace(id, address);
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

std::set<InstanceId> KeyLeader::SilentOwners() const {
  std::set<InstanceId> silent;
  for (const Row& row : rows_) {
    if (row.silences > 0) {
      silent.insert(row.owned.owner);
    }
  }
  return silent;
}

std::vector<KeyTarget> KeyLeader::Targets(const EndpointFleet& fleet) const {
  const std::set<InstanceId> silent = SilentOwners();
  const double mean_s = fleet.MeanServiceSeconds(settings_.service);
  constexpr double kMinSpeed = 0.4;
  constexpr double kMaxSpeed = 2.5;
  std::vector<KeyTarget> targets;
  for (const auto& [id, each] : fleet.OfService(settings_.service)) {
    // One that has just ended is listed for some seconds yet.
    if (each->entry.draining || each->unreachable_in_a_row > 0 || silent.contains(each->entry.id)) {
      continue;
    }
    // Up to an unknown factor: how many requests a second it can do.
    const double speed = each->service_s > 0 && mean_s > 0
                             ? std::clamp(mean_s / each->service_s, kMinSpeed, kMaxSpeed)
                             : 1.0;
    targets.push_back({each->entry.id, static_cast<double>(each->entry.slots) * speed, false});
  }
  return targets;
}

void KeyLeader::FirstAssignment(const EndpointFleet& fleet, Instant now) {
  for (const KeyMove& move : EvenRanges(Targets(fleet))) {
    Row row;
    row.owned.range = move.range;
    row.phase = RowPhase::kFree;
    row.target = move.target;
    rows_.push_back(std::move(row));
  }
  if (!rows_.empty()) {
    Explain("first assignment ranges=" + std::to_string(rows_.size()));
    AssignFree(fleet, now);
  }
}

void KeyLeader::AdvanceRows(const EndpointFleet& fleet, const StoreView& store, Instant now) {
  for (Row& row : rows_) {
    if (row.phase == RowPhase::kOwned) {
      AdvanceOwned(row, fleet, store, now);
    } else if (row.phase == RowPhase::kExpiring) {
      AdvanceExpiring(row, fleet, now);
    }
  }
}

void KeyLeader::TakeRestart(Row& row, const EndpointEntry& owner) {
  Explain("owner restarted range=" + ToString(row.owned.range) +
          " endpoint=" + row.owned.owner.value());
  // Grants that were sent before the restart was known were taken by the new
  // start: the keys stay where they are, with a higher token, or are released.
  row.owned.incarnation = owner.incarnation;
  row.handover.clear();
  row.target = row.owned.owner;
  Free(row);
  row.pinned = true;
}

void KeyLeader::AdvanceOwned(Row& row, const EndpointFleet& fleet, const StoreView& store,
                             Instant now) {
  const EndpointState* owner = fleet.Find(row.owned.owner);
  const bool list_holds = store.reachable && now - store.reachable_since >= settings_.list_settle;
  if (row.order != 0) {
    // A grant on its way would arrive behind what is decided here.
    return;
  }
  if (owner != nullptr && owner->entry.incarnation != row.owned.incarnation) {
    TakeRestart(row, owner->entry);
    return;
  }
  if (owner != nullptr && owner->entry.draining) {
    BeginRelease(row, std::nullopt, "owner leaves", now);
    return;
  }
  if (owner == nullptr && list_holds) {
    BeginRelease(row, std::nullopt, "owner gone from the list", now);
    return;
  }
  const bool lapsed = row.silences > 1 && now >= row.held_until;
  if (lapsed) {
    Explain("grant ran out range=" + ToString(row.owned.range) +
            " endpoint=" + row.owned.owner.value() + " silences=" + std::to_string(row.silences));
    row.target.reset();
    row.handover.clear();
    Free(row);
    return;
  }
  if (now >= row.next_order) {
    SendGrantFor(row, now);
  }
}

bool KeyLeader::IsReplaced(const Row& row, const EndpointFleet& fleet) const {
  if (fleet.Find(row.owned.owner) != nullptr) {
    return false;
  }
  const NetworkAddress address = AddressOf(row.owned.owner);
  return std::any_of(fleet.all().begin(), fleet.all().end(),
                     [&](const auto& each) { return each.second.entry.address == address; });
}

void KeyLeader::AdvanceExpiring(Row& row, const EndpointFleet& fleet, Instant now) {
  const EndpointState* owner = fleet.Find(row.owned.owner);
  const bool is_back = owner != nullptr && !owner->entry.draining &&
                       owner->entry.incarnation == row.owned.incarnation && !row.target;
  if (is_back) {
    Explain("owner back range=" + ToString(row.owned.range) +
            " endpoint=" + row.owned.owner.value());
    row.phase = RowPhase::kOwned;
    row.serving = true;
    row.silences = 0;
    row.next_order = now;
    return;
  }
  const bool ran_out = now >= row.held_until && now >= row.doubtful_until;
  if (ran_out || IsReplaced(row, fleet)) {
    Free(row);
  }
}

void KeyLeader::SendGrantFor(Row& row, Instant now) {
  row.order = next_order_++;
  row.order_sent = now;
  row.held_before_order = row.held_until;
  row.held_until = std::max(row.held_until, now + HoldTime());
  actions_.emplace_back(
      SendGrant{row.order, row.owned.owner, AddressOf(row.owned.owner),
                KeyGrant{row.owned.range, row.owned.token, settings_.time_to_live, row.handover}});
}

NetworkAddress KeyLeader::AddressOf(const InstanceId& endpoint) const {
  const auto found = addresses_.find(endpoint);
  return found == addresses_.end() ? NetworkAddress{} : found->second;
}

void KeyLeader::BeginRelease(Row& row, std::optional<InstanceId> target, const std::string& reason,
                             Instant now) {
  RequireInvariant(row.order == 0, "keys are released with no grant on its way");
  row.phase = RowPhase::kReleasing;
  row.serving = false;
  row.target = std::move(target);
  row.handover.clear();
  row.order = next_order_++;
  row.order_sent = now;
  Explain("release range=" + ToString(row.owned.range) + " endpoint=" + row.owned.owner.value() +
          " target=" + (row.target ? row.target->value() : "any") + " reason=" + reason);
  actions_.emplace_back(SendRelease{row.order, row.owned.owner, AddressOf(row.owned.owner),
                                    row.owned.range, FencingToken{record_.highest.value + 1}});
  actions_.emplace_back(RoutesChanged{});
}

void KeyLeader::Free(Row& row) {
  row.phase = RowPhase::kFree;
  row.order = 0;
  row.granted = false;
  row.serving = false;
  actions_.emplace_back(RoutesChanged{});
}

KeyLeader::Row* KeyLeader::RowOfOrder(std::uint64_t order) {
  const auto found = std::find_if(rows_.begin(), rows_.end(),
                                  [order](const Row& row) { return row.order == order; });
  return found == rows_.end() ? nullptr : &*found;
}

void KeyLeader::TakeReply(std::uint64_t order, const OrderReply& reply, Instant now) {
  Row* row = RowOfOrder(order);
  if (row == nullptr) {
    return;
  }
  row->order = 0;
  row->silences = 0;
  if (row->phase == RowPhase::kReleasing) {
    row->handover = reply.handover;
    const bool given_back =
        reply.verdict == OrderReply::Verdict::kDone && now >= row->doubtful_until;
    if (given_back || reply.verdict == OrderReply::Verdict::kAnotherEndpoint) {
      Free(*row);
    } else {
      Explain("keys still held range=" + ToString(row->owned.range) +
              " endpoint=" + row->owned.owner.value());
      row->phase = RowPhase::kExpiring;
    }
    return;
  }
  if (reply.verdict == OrderReply::Verdict::kDone) {
    row->next_order = now + settings_.renew_interval;
    row->handover.clear();
    row->granted = true;
    if (!row->serving) {
      row->serving = true;
      actions_.emplace_back(RoutesChanged{});
    }
    return;
  }
  if (reply.verdict == OrderReply::Verdict::kOutdated) {
    // The endpoint obeys only a higher token; it holds nothing under this one.
    Explain("token outdated range=" + ToString(row->owned.range) +
            " endpoint=" + row->owned.owner.value());
    row->target = row->owned.owner;
    Free(*row);
    return;
  }
  if (reply.verdict == OrderReply::Verdict::kAnotherEndpoint) {
    Explain("owner replaced range=" + ToString(row->owned.range) +
            " endpoint=" + row->owned.owner.value());
    Free(*row);
    return;
  }
  row->next_order = now + settings_.order_retry;
  ++row->silences;
}

void KeyLeader::TakeSilence(std::uint64_t order, bool sent, Instant now) {
  Row* row = RowOfOrder(order);
  if (row == nullptr) {
    return;
  }
  row->order = 0;
  ++row->silences;
  if (row->phase == RowPhase::kReleasing) {
    row->phase = RowPhase::kExpiring;
    Explain("release unanswered range=" + ToString(row->owned.range) +
            " endpoint=" + row->owned.owner.value());
    return;
  }
  if (sent) {
    row->doubtful_until = std::max(row->doubtful_until, row->order_sent + HoldTime());
  } else {
    row->held_until = row->held_before_order;
  }
  row->next_order = now + settings_.order_retry;
}

void KeyLeader::TakeDenial(KeyNumber key, const InstanceId& endpoint, Instant now) {
  for (Row& row : rows_) {
    const bool concerned = row.phase == RowPhase::kOwned && row.granted && row.order == 0 &&
                           row.owned.owner == endpoint && row.owned.range.Contains(key);
    if (concerned) {
      row.next_order = std::min(row.next_order, now);
    }
  }
}

void KeyLeader::HearTerm(Term term) {
  if (leading() && term > record_.term) {
    Explain("follow: a later leader is heard term=" + std::to_string(term.value));
    Follow();
  }
}

void KeyLeader::TakeDemand(const std::vector<KeyCount>& counts) { demand_.Add(counts); }

std::optional<InstanceId> KeyLeader::LeastLoaded(const std::vector<KeyTarget>& targets,
                                                 const std::map<InstanceId, double>& rates) const {
  std::optional<InstanceId> best;
  double best_load = 0;
  for (const KeyTarget& target : targets) {
    const auto rate = rates.find(target.id);
    const double load = (rate == rates.end() ? 0 : rate->second) / target.capacity;
    if (!best || load < best_load) {
      best = target.id;
      best_load = load;
    }
  }
  return best;
}

void KeyLeader::AssignFree(const EndpointFleet& fleet, Instant now) {
  const bool any_free = std::any_of(rows_.begin(), rows_.end(),
                                    [](const Row& row) { return row.phase == RowPhase::kFree; });
  if (writing_ || !any_free || now < next_write_) {
    return;
  }
  const std::vector<KeyTarget> targets = Targets(fleet);
  std::map<InstanceId, double> rates;
  for (const Row& row : rows_) {
    rates[row.owned.owner] += demand_.Rate(row.owned.range);
  }
  bool any = false;
  for (Row& row : rows_) {
    if (row.phase != RowPhase::kFree) {
      continue;
    }
    const bool usable =
        row.pinned ||
        (row.target && std::any_of(targets.begin(), targets.end(),
                                   [&](const KeyTarget& each) { return each.id == *row.target; }));
    if (!usable) {
      row.target = LeastLoaded(targets, rates);
    }
    if (!row.target) {
      continue;
    }
    // A range that is large and asked for little still counts a little, so that
    // many of them spread.
    constexpr double kRatePerKey = 0.001;
    rates[*row.target] += demand_.Rate(row.owned.range) + row.owned.range.size() * kRatePerKey;
    row.owned.owner = *row.target;
    if (const EndpointState* target = fleet.Find(*row.target)) {
      row.owned.incarnation = target->entry.incarnation;
    }
    row.owned.token = {record_.highest.value + 1};
    row.assigned = true;
    row.pinned = false;
    any = true;
    Explain("assign range=" + ToString(row.owned.range) + " endpoint=" + row.target->value() +
            " token=" + std::to_string(row.owned.token.value));
  }
  if (any) {
    next_write_ = now + settings_.write_interval;
    OwnershipRecord record = CurrentRecord();
    record.highest.value += 1;
    BeginWrite(std::move(record));
  }
}

OwnershipRecord KeyLeader::CurrentRecord() const {
  OwnershipRecord record = record_;
  record.ranges.clear();
  record.addresses.clear();
  for (const Row& row : rows_) {
    // Until a write names a next owner, the record names the last one.
    if (!row.owned.owner.empty()) {
      record.ranges.push_back(row.owned);
      record.addresses[row.owned.owner] = AddressOf(row.owned.owner);
    }
  }
  std::sort(record.ranges.begin(), record.ranges.end(),
            [](const OwnedRange& left, const OwnedRange& right) {
              return left.range.first < right.range.first;
            });
  for (std::size_t i = 1; i < record.ranges.size(); ++i) {
    RequireInvariant(record.ranges[i - 1].range.last < record.ranges[i].range.first,
                     "each key has one row");
  }
  return record;
}

void KeyLeader::PlanMoves(const EndpointFleet& fleet, const StoreView& store, Instant now) {
  if (now < next_placement_ || !store.reachable) {
    return;
  }
  next_placement_ = now + settings_.placement_interval;
  std::vector<OwnedRange> movable;
  for (const Row& row : rows_) {
    const bool settled = row.phase == RowPhase::kOwned && row.granted && row.silences == 0 &&
                         row.order == 0 && now >= row.doubtful_until;
    if (settled) {
      movable.push_back(row.owned);
    }
  }
  for (const KeyMove& move : placement_->Plan(movable, demand_, Targets(fleet))) {
    StartMove(move, now);
  }
}

void KeyLeader::StartMove(const KeyMove& move, Instant now) {
  const auto found = std::find_if(rows_.begin(), rows_.end(), [&](const Row& row) {
    return row.owned.range.first <= move.range.first && move.range.last <= row.owned.range.last;
  });
  if (found == rows_.end()) {
    return;
  }
  const Row whole = *found;
  std::vector<Row> pieces;
  if (whole.owned.range.first < move.range.first) {
    pieces.push_back(whole);
    pieces.back().owned.range.last = move.range.first - 1;
  }
  Row moving = whole;
  moving.owned.range = move.range;
  if (whole.owned.range.last > move.range.last) {
    pieces.push_back(whole);
    pieces.back().owned.range.first = move.range.last + 1;
  }
  BeginRelease(moving, move.target, "load", now);
  *found = std::move(moving);
  rows_.insert(rows_.end(), pieces.begin(), pieces.end());
}

void KeyLeader::MergeRows() {
  std::sort(rows_.begin(), rows_.end(), [](const Row& left, const Row& right) {
    return left.owned.range.first < right.owned.range.first;
  });
  const auto settled = [](const Row& row) {
    return row.phase == RowPhase::kOwned && row.granted && row.order == 0 && row.silences == 0;
  };
  std::vector<Row> merged;
  merged.reserve(rows_.size());
  for (Row& row : rows_) {
    if (!merged.empty() && settled(merged.back()) && settled(row) &&
        Adjacent(merged.back().owned, row.owned)) {
      Row& last = merged.back();
      last.owned.range.last = row.owned.range.last;
      last.next_order = std::min(last.next_order, row.next_order);
      last.held_until = std::max(last.held_until, row.held_until);
      last.doubtful_until = std::max(last.doubtful_until, row.doubtful_until);
    } else {
      merged.push_back(std::move(row));
    }
  }
  rows_ = std::move(merged);
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

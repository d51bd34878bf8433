// Which endpoints the leader gives keys to: first assignment, keys that became free,
// and moves for load.

#include <algorithm>
#include <utility>

#include "core/invariant.h"
#include "core/key_leader.h"

namespace sycamorestall {

namespace {

// For how long an endpoint that did not answer gets no keys. It has to end: who has no
// keys is asked nothing, and so cannot show that it answers again.
constexpr std::chrono::milliseconds kSilenceHolds{3000};

bool Adjacent(const OwnedRange& left, const OwnedRange& right) {
  return left.range.last + 1 == right.range.first && left.owner == right.owner &&
         left.incarnation == right.incarnation && left.token == right.token;
}

}  // namespace

std::set<InstanceId> KeyLeader::SilentOwners(Instant now) const {
  std::set<InstanceId> silent;
  for (const Row& row : rows_) {
    if (row.silences > 0 && now - row.silent_at < kSilenceHolds) {
      silent.insert(row.owned.owner);
    }
  }
  return silent;
}

std::vector<KeyTarget> KeyLeader::Targets(const EndpointFleet& fleet, Instant now) const {
  const std::set<InstanceId> silent = SilentOwners(now);
  const double mean_s = fleet.MeanServiceTimeSeconds(settings_.service);
  constexpr double kMinSpeed = 0.4;
  constexpr double kMaxSpeed = 2.5;
  std::vector<KeyTarget> targets;
  for (const auto& [id, each] : fleet.EndpointsOfService(settings_.service)) {
    // One that has just ended is listed for some seconds yet.
    const bool unreachable =
        each->consecutive_unreachable > 0 && now - each->last_unreachable_at < kSilenceHolds;
    if (each->entry.draining || unreachable || silent.contains(each->entry.id)) {
      continue;
    }
    // Up to an unknown factor: how many requests a second it can do.
    const double speed = each->mean_service_time_s > 0 && mean_s > 0
                             ? std::clamp(mean_s / each->mean_service_time_s, kMinSpeed, kMaxSpeed)
                             : 1.0;
    targets.push_back({each->entry.id, static_cast<double>(each->entry.slots) * speed});
  }
  return targets;
}

void KeyLeader::FirstAssignment(const EndpointFleet& fleet, Instant now) {
  for (const KeyMove& move : EvenRanges(Targets(fleet, now))) {
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
  const std::vector<KeyTarget> targets = Targets(fleet, now);
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
    row.keeps_owner = row.owned.owner == *row.target;
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
  for (const KeyMove& move : placement_->Plan(movable, demand_, Targets(fleet, now))) {
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

}  // namespace sycamorestall

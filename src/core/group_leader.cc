#include "core/group_leader.h"

#include <algorithm>
#include <utility>

#include "core/invariant.h"

namespace sycamorestall {

GroupLeader::GroupLeader(GroupSettings settings, ProcessId self,
                         std::unique_ptr<PlacementPolicy> placement)
    : settings_(std::move(settings)), self_(std::move(self)), placement_(std::move(placement)) {
  record_.group = settings_.group;
}

void GroupLeader::Say(std::string text) { actions_.emplace_back(Explain{std::move(text)}); }

std::vector<GroupAction> GroupLeader::TakeActions() { return std::exchange(actions_, {}); }

std::string GroupLeader::NewChangeId() {
  return self_.instance.value() + "." + std::to_string(self_.incarnation.value) + "." +
         std::to_string(next_change_++);
}

void GroupLeader::ClearTables() {
  endpoints_.clear();
  shards_.clear();
  load_.clear();
  write_.reset();
  write_in_flight_ = false;
  read_in_flight_ = false;
}

void GroupLeader::Claim(Instant now) {
  if (phase_ != LeaderPhase::kIdle) {
    return;
  }
  ClearTables();
  phase_ = LeaderPhase::kReading;
  next_store_call_ = now;
  TickStore(now);
}

void GroupLeader::Resign(Instant, std::optional<ProcessId> next) {
  if (phase_ == LeaderPhase::kIdle) {
    return;
  }
  ClearTables();
  phase_ = LeaderPhase::kIdle;
  Say("resigned from term " + std::to_string(record_.term.value));
  actions_.emplace_back(Resigned{std::move(next)});
}

void GroupLeader::HearOfTerm(Instant now, Term term, const ProcessId& leader) {
  const bool involved = phase_ == LeaderPhase::kLeading || phase_ == LeaderPhase::kClaiming;
  if (involved && term > record_.term) {
    Resign(now, leader);
  }
}

void GroupLeader::TakeRecord(Instant now, const std::optional<StoredRecord>& stored) {
  read_in_flight_ = false;
  if (phase_ == LeaderPhase::kReading) {
    BeginClaim(now, stored);
    return;
  }
  if (!write_ || !write_->in_doubt) {
    return;
  }
  if (!stored) {
    SendWrite();
    return;
  }
  ResolveWrite(now, *stored);
}

void GroupLeader::FailRead(Instant now) {
  read_in_flight_ = false;
  next_store_call_ = now + settings_.store_retry;
}

void GroupLeader::BeginClaim(Instant now, const std::optional<StoredRecord>& stored) {
  PendingWrite claim;
  claim.is_claim = true;
  if (stored) {
    claim.record = stored->record;
    claim.expected = stored->revision;
    const ProcessId& last = stored->record.leader;
    if (last.instance != self_.instance) {
      std::erase(claim.record.earlier_leaders, last);
      claim.record.earlier_leaders.push_back(last);
    }
    std::erase_if(claim.record.earlier_leaders,
                  [this](const ProcessId& each) { return each.instance == self_.instance; });
  }
  claim.record.group = settings_.group;
  claim.record.term.value += 1;
  claim.record.leader = self_;
  claim.record.change_id = NewChangeId();
  record_.term = claim.record.term;
  phase_ = LeaderPhase::kClaiming;
  cleared_at_ = now;
  write_ = std::move(claim);
  SendWrite();
}

void GroupLeader::SendWrite() {
  write_in_flight_ = true;
  write_->in_doubt = false;
  actions_.emplace_back(WriteRecord{write_->record, write_->expected});
}

void GroupLeader::TakeWriteVerdict(Instant now, WriteVerdict verdict, Revision revision) {
  if (!write_ || !write_in_flight_) {
    return;
  }
  write_in_flight_ = false;
  if (verdict == WriteVerdict::kApplied) {
    FinishWrite(now, revision);
    return;
  }
  // A conflict may be the work of an earlier try of this very write whose reply
  // was lost, so both cases are settled by reading the change id back.
  write_->in_doubt = true;
  next_store_call_ = verdict == WriteVerdict::kConflict ? now : now + settings_.store_retry;
  TickStore(now);
}

void GroupLeader::ResolveWrite(Instant now, const StoredRecord& stored) {
  const GroupRecord& found = stored.record;
  if (found.change_id == write_->record.change_id) {
    FinishWrite(now, stored.revision);
    return;
  }
  const bool overtaken =
      found.term > record_.term || (found.term == record_.term && found.leader != self_);
  if (overtaken) {
    Resign(now, found.leader);
    return;
  }
  if (write_->is_claim && stored.revision > write_->expected) {
    // The record moved on under an older term: claim afresh from what it says.
    write_.reset();
    BeginClaim(now, stored);
    return;
  }
  // The store may be lagging, so the same write goes out again unchanged: if the
  // lost one took effect after all, this one conflicts and the next read tells.
  SendWrite();
}

void GroupLeader::FinishWrite(Instant now, Revision revision) {
  RequireInvariant(write_->record.leader == self_, "a leader writes only its own term");
  RequireInvariant(write_->record.term == record_.term, "a write carries the term it is led by");
  PendingWrite done = std::move(*write_);
  write_.reset();
  revision_ = revision;
  std::vector<ProcessId> still_earlier = record_.earlier_leaders;
  record_ = std::move(done.record);
  if (done.is_claim) {
    Lead(now);
    return;
  }
  record_.earlier_leaders = std::move(still_earlier);
  for (const EndpointAtStart& each : done.endpoints) {
    const auto row = endpoints_.find(each.endpoint);
    const bool same_start = row != endpoints_.end() && row->second.stamp &&
                            row->second.stamp->incarnation == each.incarnation;
    if (same_start) {
      row->second.confirmed = true;
      row->second.next_order = now;
    }
  }
  quiet_ = false;
  for (const ShardId id : done.shards) {
    ShardRow& shard = shards_.at(id);
    RequireInvariant(shard.phase == ShardPhase::kRecording, "a recorded shard was being recorded");
    const Assignment& next = record_.shards.at(id);
    RequireInvariant(!shard.owner || next.epoch > shard.owner->epoch, "epochs only rise");
    shard.owner = next;
    shard.target.reset();
    SetPhase(now, shard, ShardPhase::kConfirming);
    endpoints_[next.endpoint].next_order = now;
    ++moves_;
  }
  if (!done.shards.empty()) {
    Say("recorded new owners of " + std::to_string(done.shards.size()) + " shards");
  }
}

void GroupLeader::Lead(Instant now) {
  phase_ = LeaderPhase::kLeading;
  quiet_ = false;
  cleared_at_ = now;
  lead_since_ = now;
  next_step_down_ = now;
  next_placement_ = now + settings_.placement_interval;
  for (const ShardId id : settings_.shards) {
    ShardRow& shard = shards_[id];
    shard.since = now;
    const auto found = record_.shards.find(id);
    if (found == record_.shards.end()) {
      // Nobody has ever owned it, so nobody has dispatched for it.
      shard.sole_since = Instant{};
      continue;
    }
    shard.owner = found->second;
    shard.phase = ShardPhase::kConfirming;
    endpoints_.try_emplace(found->second.endpoint);
  }
  Say("leads term " + std::to_string(record_.term.value) + " with " +
      std::to_string(record_.earlier_leaders.size()) + " earlier leaders uncleared");
  TickEarlierLeaders(now);
}

void GroupLeader::TakeStepDown(Instant now, const ProcessId& earlier) {
  if (phase_ != LeaderPhase::kLeading) {
    return;
  }
  const std::size_t erased = std::erase(record_.earlier_leaders, earlier);
  if (erased == 0) {
    return;
  }
  cleared_at_ = now;
  Say("cleared earlier leader " + earlier.instance.value());
  if (!settings_.endpoints_check_token) {
    // What that leader sent last may still arrive until its stamps run out.
    for (auto& [id, row] : endpoints_) {
      row.lost_order_until = now + settings_.time_to_live + settings_.clock_margin;
    }
  }
}

void GroupLeader::TakeInstances(Instant now, const InstanceList& list) {
  if (phase_ != LeaderPhase::kLeading || list.revision < list_revision_) {
    return;
  }
  list_revision_ = list.revision;
  quiet_ = false;
  for (auto& [id, row] : endpoints_) {
    row.listed = false;
  }
  for (const Instance& instance : list.instances) {
    const bool ours =
        instance.service == settings_.group.service && instance.domain == settings_.group.domain;
    if (!ours) {
      continue;
    }
    EndpointRow& row = endpoints_[instance.id];
    row.listed = true;
    row.seen_live = true;
    row.leaving = row.leaving || instance.state == InstanceState::kLeaving;
  }
  TickShards(now);
}

void GroupLeader::Tick(Instant now) {
  TickStore(now);
  if (phase_ != LeaderPhase::kLeading) {
    return;
  }
  TickEarlierLeaders(now);
  if (!quiet_) {
    TickShards(now);
  }
  TickPlacement(now);
  BeginWriteIfDue(now);
  TickOrders(now);
}

void GroupLeader::TickStore(Instant now) {
  const bool wants_read = phase_ == LeaderPhase::kReading || (write_ && write_->in_doubt);
  if (!wants_read || read_in_flight_ || now < next_store_call_) {
    return;
  }
  read_in_flight_ = true;
  actions_.emplace_back(ReadRecord{});
}

void GroupLeader::TickEarlierLeaders(Instant now) {
  if (EarlierLeadersCleared() || now < next_step_down_) {
    return;
  }
  next_step_down_ = now + settings_.step_down_retry;
  for (const ProcessId& earlier : record_.earlier_leaders) {
    actions_.emplace_back(AskStepDown{earlier, record_.term});
  }
}

}  // namespace sycamorestall

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

void GroupLeader::Log(std::string text) { actions_.emplace_back(LogMessage{std::move(text)}); }

std::vector<GroupAction> GroupLeader::TakeActions() { return std::exchange(actions_, {}); }

std::string GroupLeader::NewChangeId() {
  return self_.instance.value() + "." + std::to_string(self_.incarnation.value) + "." +
         std::to_string(next_change_number_++);
}

void GroupLeader::ClearState() {
  endpoints_.clear();
  shards_.clear();
  endpoint_loads_.clear();
  write_.reset();
  write_in_flight_ = false;
  read_in_flight_ = false;
}

void GroupLeader::Claim(Instant now) {
  if (phase_ != LeaderPhase::kIdle) {
    return;
  }
  ClearState();
  phase_ = LeaderPhase::kReading;
  next_store_call_ = now;
  ReadRecordIfDue(now);
}

void GroupLeader::Resign(Instant, std::optional<ProcessId> next) {
  if (phase_ == LeaderPhase::kIdle) {
    return;
  }
  ClearState();
  phase_ = LeaderPhase::kIdle;
  Log("resigned from term " + std::to_string(record_.term.value));
  actions_.emplace_back(Resigned{std::move(next)});
}

void GroupLeader::ObserveTerm(Instant now, Term term, const ProcessId& leader) {
  const bool claims_or_leads = phase_ == LeaderPhase::kLeading || phase_ == LeaderPhase::kClaiming;
  if (claims_or_leads && term > record_.term) {
    Resign(now, leader);
  }
}

void GroupLeader::HandleReadResult(Instant now, const std::optional<StoredRecord>& stored) {
  read_in_flight_ = false;
  if (phase_ == LeaderPhase::kReading) {
    WriteClaim(now, stored);
    return;
  }
  if (!write_ || !write_->outcome_unknown) {
    return;
  }
  if (!stored) {
    SendWrite();
    return;
  }
  ResolveWrite(now, *stored);
}

void GroupLeader::HandleReadFailure(Instant now) {
  read_in_flight_ = false;
  next_store_call_ = now + settings_.store_retry_delay;
}

void GroupLeader::WriteClaim(Instant now, const std::optional<StoredRecord>& stored) {
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
  last_cleared_at_ = now;
  write_ = std::move(claim);
  SendWrite();
}

void GroupLeader::SendWrite() {
  write_in_flight_ = true;
  write_->outcome_unknown = false;
  actions_.emplace_back(WriteRecord{write_->record, write_->expected});
}

void GroupLeader::HandleWriteResult(Instant now, WriteOutcome outcome, Revision revision) {
  if (!write_ || !write_in_flight_) {
    return;
  }
  write_in_flight_ = false;
  if (outcome == WriteOutcome::kApplied) {
    FinishWrite(now, revision);
    return;
  }
  // A conflict may come from an earlier attempt of this same write whose reply was lost,
  // so both other outcomes are resolved by reading the record and comparing change ids.
  write_->outcome_unknown = true;
  next_store_call_ = outcome == WriteOutcome::kConflict ? now : now + settings_.store_retry_delay;
  ReadRecordIfDue(now);
}

void GroupLeader::ResolveWrite(Instant now, const StoredRecord& stored) {
  const GroupRecord& found = stored.record;
  if (found.change_id == write_->record.change_id) {
    FinishWrite(now, stored.revision);
    return;
  }
  const bool superseded =
      found.term > record_.term || (found.term == record_.term && found.leader != self_);
  if (superseded) {
    Resign(now, found.leader);
    return;
  }
  if (write_->is_claim && stored.revision > write_->expected) {
    // The record was changed under an older term: claim again on top of it.
    write_.reset();
    WriteClaim(now, stored);
    return;
  }
  // The read may be stale, so the same write is sent again. If the lost attempt was applied
  // after all, this one conflicts and the next read shows it.
  SendWrite();
}

void GroupLeader::FinishWrite(Instant now, Revision revision) {
  RequireInvariant(write_->record.leader == self_, "a leader writes only its own term");
  RequireInvariant(write_->record.term == record_.term, "a write carries the term of its leader");
  PendingWrite written = std::move(*write_);
  write_.reset();
  revision_ = revision;
  std::vector<ProcessId> uncleared = record_.earlier_leaders;
  record_ = std::move(written.record);
  if (written.is_claim) {
    BecomeLeader(now);
    return;
  }
  record_.earlier_leaders = std::move(uncleared);
  for (const AnsweredEndpoint& each : written.endpoints) {
    const auto row = endpoints_.find(each.endpoint);
    const bool same_incarnation = row != endpoints_.end() && row->second.stamp &&
                                  row->second.stamp->incarnation == each.incarnation;
    if (same_incarnation) {
      row->second.confirmed = true;
      row->second.next_order = now;
    }
  }
  stable_ = false;
  for (const ShardId id : written.shards) {
    ShardRow& shard = shards_.at(id);
    RequireInvariant(shard.phase == ShardPhase::kRecording,
                     "a new owner is recorded only for a shard in the recording phase");
    const Assignment& next = record_.shards.at(id);
    RequireInvariant(!shard.owner || next.epoch > shard.owner->epoch, "epochs only rise");
    shard.owner = next;
    shard.target.reset();
    SetPhase(now, shard, ShardPhase::kConfirming);
    endpoints_[next.endpoint].next_order = now;
    ++moves_;
  }
  if (!written.shards.empty()) {
    Log("recorded new owners of " + std::to_string(written.shards.size()) + " shards");
  }
}

void GroupLeader::BecomeLeader(Instant now) {
  phase_ = LeaderPhase::kLeading;
  stable_ = false;
  last_cleared_at_ = now;
  leading_since_ = now;
  // Also an earlier life of this daemon may have sent orders.
  ExpectEarlierOrders(now);
  next_step_down_request_ = now;
  next_placement_ = now + settings_.placement_interval;
  for (const ShardId id : settings_.shards) {
    ShardRow& shard = shards_[id];
    shard.since = now;
    const auto found = record_.shards.find(id);
    if (found == record_.shards.end()) {
      // It never had an owner, so no request for it was ever dispatched.
      shard.exclusive_since = Instant{};
      continue;
    }
    shard.owner = found->second;
    shard.phase = ShardPhase::kConfirming;
    endpoints_.try_emplace(found->second.endpoint);
  }
  Log("leading term " + std::to_string(record_.term.value) + " with " +
      std::to_string(record_.earlier_leaders.size()) + " earlier leaders uncleared");
  AskStepDownsIfDue(now);
}

void GroupLeader::ExpectEarlierOrders(Instant now) {
  earlier_orders_until_ = now + settings_.time_to_live + settings_.clock_margin;
}

void GroupLeader::HandleStepDown(Instant now, const ProcessId& earlier) {
  if (phase_ != LeaderPhase::kLeading) {
    return;
  }
  const std::size_t erased = std::erase(record_.earlier_leaders, earlier);
  if (erased == 0) {
    return;
  }
  last_cleared_at_ = now;
  Log("cleared earlier leader " + earlier.instance.value());
  ExpectEarlierOrders(now);
}

void GroupLeader::UpdateInstances(Instant now, const InstanceList& list) {
  if (phase_ != LeaderPhase::kLeading || list.revision < list_revision_) {
    return;
  }
  list_revision_ = list.revision;
  stable_ = false;
  for (auto& [id, row] : endpoints_) {
    row.listed = false;
  }
  for (const Instance& instance : list.instances) {
    const bool in_group =
        instance.service == settings_.group.service && instance.domain == settings_.group.domain;
    if (!in_group) {
      continue;
    }
    EndpointRow& row = endpoints_[instance.id];
    row.listed = true;
    row.was_listed = true;
    row.leaving = row.leaving || instance.state == InstanceState::kLeaving;
  }
  AdvanceShards(now);
}

void GroupLeader::Tick(Instant now) {
  ReadRecordIfDue(now);
  if (phase_ != LeaderPhase::kLeading) {
    return;
  }
  AskStepDownsIfDue(now);
  if (!stable_) {
    AdvanceShards(now);
  }
  PlanMovesIfDue(now);
  WriteRecordIfNeeded(now);
  ExpireAndSendOrders(now);
}

void GroupLeader::ReadRecordIfDue(Instant now) {
  const bool needs_read = phase_ == LeaderPhase::kReading || (write_ && write_->outcome_unknown);
  if (!needs_read || read_in_flight_ || now < next_store_call_) {
    return;
  }
  read_in_flight_ = true;
  actions_.emplace_back(ReadRecord{});
}

void GroupLeader::AskStepDownsIfDue(Instant now) {
  if (EarlierLeadersCleared() || now < next_step_down_request_) {
    return;
  }
  next_step_down_request_ = now + settings_.step_down_retry_interval;
  for (const ProcessId& earlier : record_.earlier_leaders) {
    actions_.emplace_back(AskStepDown{earlier, record_.term});
  }
}

}  // namespace sycamorestall

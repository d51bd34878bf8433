#include "core/ownership_simulation.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sycamorestall::testing {

namespace {

constexpr std::int64_t kNsPerMs = 1'000'000;
constexpr std::int64_t kStepNs = 5 * kNsPerMs;
constexpr std::int64_t kStoreTimeoutNs = 500 * kNsPerMs;
constexpr std::int64_t kTickPeriodNs = 10 * kNsPerMs;
constexpr int kStepsAfterFaults = 3000;
constexpr int kStepsBetweenMoves = 15;

InstanceId LeaderName(int index) { return InstanceId{"d" + std::to_string(index)}; }
InstanceId EndpointName(int index) { return InstanceId{"e" + std::to_string(index)}; }
int EndpointIndex(const InstanceId& id) { return std::stoi(id.value().substr(1)); }

}  // namespace

OwnershipSimulation::OwnershipSimulation(std::uint64_t seed, bool endpoints_check_token)
    : random_(seed), checks_token_(endpoints_check_token) {
  leaders_.resize(kLeaders);
  endpoints_.resize(kEndpoints);
  for (int i = 0; i < kLeaders; ++i) {
    leaders_[i].clock_rate = 0.99 + 0.02 * static_cast<double>(random_() % 100) / 100;
    StartLeader(i);
  }
  for (EndpointNode& node : endpoints_) {
    node.clock_rate = 0.99 + 0.02 * static_cast<double>(random_() % 100) / 100;
    node.grants =
        std::make_unique<fakes::GrantTable>(Incarnation{next_incarnation_++}, checks_token_);
  }
}

void OwnershipSimulation::StartLeader(int index) {
  GroupSettings settings;
  settings.group = {ServiceName{"s"}, DomainName{"d"}};
  settings.endpoints_check_token = checks_token_;
  for (std::uint32_t i = 0; i < kShards; ++i) {
    settings.shards.push_back(ShardId{i});
  }
  LeaderNode& node = leaders_[index];
  node.process = {LeaderName(index), Incarnation{next_incarnation_++}};
  node.leader =
      std::make_unique<GroupLeader>(settings, node.process, std::make_unique<StaticPlacement>());
}

void OwnershipSimulation::Schedule(std::int64_t when, std::function<void()> function) {
  events_.emplace(std::max(when, now_ns_ + 1), std::move(function));
}

void OwnershipSimulation::RunDueEvents() {
  while (!events_.empty() && events_.begin()->first <= now_ns_) {
    const auto function = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    function();
  }
}

Instant OwnershipSimulation::LeaderClock(const LeaderNode& node) const {
  return Instant{
      Duration{static_cast<std::int64_t>(static_cast<double>(now_ns_) * node.clock_rate)}};
}

std::int64_t OwnershipSimulation::SimulationTime(const LeaderNode& node, Instant instant) const {
  return static_cast<std::int64_t>(static_cast<double>(instant.time_since_epoch().count()) /
                                   node.clock_rate);
}

std::int64_t OwnershipSimulation::EndpointClock(const EndpointNode& node) const {
  return static_cast<std::int64_t>(static_cast<double>(now_ns_) * node.clock_rate);
}

std::int64_t OwnershipSimulation::RandomDelay() {
  const bool slow = now_ns_ < delay_messages_until_ && random_() % 3 == 0;
  return static_cast<std::int64_t>(random_() % (slow ? 1500 : 20)) * kNsPerMs;
}

bool OwnershipSimulation::IsMessageLost() {
  return now_ns_ < lose_messages_until_ && random_() % 2 == 0;
}

void OwnershipSimulation::CallLeader(int index,
                                     const std::function<void(GroupLeader&, Instant)>& call) {
  LeaderNode& node = leaders_[index];
  const ProcessId process = node.process;
  if (now_ns_ < node.paused_until) {
    Schedule(node.paused_until, [this, index, call, process] {
      if (leaders_[index].process == process) {
        CallLeader(index, call);
      }
    });
    return;
  }
  call(*node.leader, LeaderClock(node));
  ExecuteActions(index);
}

void OwnershipSimulation::ExecuteActions(int index) {
  for (const GroupAction& action : leaders_[index].leader->TakeActions()) {
    if (std::holds_alternative<ReadRecord>(action)) {
      ReadStore(index);
    } else if (const auto* write = std::get_if<WriteRecord>(&action)) {
      WriteStore(index, *write);
    } else if (const auto* send = std::get_if<SendOrder>(&action)) {
      SendToEndpoint(index, *send);
    } else if (const auto* ask = std::get_if<sycamorestall::AskStepDown>(&action)) {
      AskStepDown(index, *ask);
    }
  }
}

void OwnershipSimulation::ReadStore(int index) {
  const ProcessId process = leaders_[index].process;
  const bool fails =
      now_ns_ < store_outage_until_ || now_ns_ < leaders_[index].store_partition_until;
  const auto deliver = [this, index, process, fails](const std::optional<StoredRecord>& found) {
    if (leaders_[index].process != process) {
      return;
    }
    CallLeader(index, [fails, found](GroupLeader& leader, Instant now) {
      fails ? leader.HandleReadFailure(now) : leader.HandleReadResult(now, found);
    });
  };
  if (fails) {
    Schedule(now_ns_ + kStoreTimeoutNs, [deliver] { deliver(std::nullopt); });
    return;
  }
  Schedule(now_ns_ + RandomDelay(), [this, deliver] {
    const std::optional<StoredRecord> found = store_;
    Schedule(now_ns_ + RandomDelay(), [deliver, found] { deliver(found); });
  });
}

void OwnershipSimulation::WriteStore(int index, const WriteRecord& write) {
  const ProcessId process = leaders_[index].process;
  const auto completed = std::make_shared<bool>(false);
  const auto deliver = [this, index, process, completed](WriteOutcome outcome, Revision revision) {
    if (std::exchange(*completed, true) || leaders_[index].process != process) {
      return;
    }
    CallLeader(index, [outcome, revision](GroupLeader& leader, Instant now) {
      leader.HandleWriteResult(now, outcome, revision);
    });
  };
  Schedule(now_ns_ + kStoreTimeoutNs, [deliver] { deliver(WriteOutcome::kUnknown, {}); });
  if (now_ns_ < store_outage_until_ || now_ns_ < leaders_[index].store_partition_until) {
    return;
  }
  // A slow store may apply a write long after its writer has timed out.
  const bool slow = now_ns_ < store_slow_until_;
  const std::int64_t store_delay =
      slow ? static_cast<std::int64_t>(random_() % 1500) * kNsPerMs : 0;
  Schedule(now_ns_ + RandomDelay() + store_delay, [this, write, deliver] {
    const Revision current = store_ ? store_->revision : Revision{};
    if (current != write.expected) {
      Schedule(now_ns_ + RandomDelay(),
               [deliver, current] { deliver(WriteOutcome::kConflict, current); });
      return;
    }
    if (store_) {
      for (const auto& [shard, assignment] : store_->record.shards) {
        const auto next = write.record.shards.find(shard);
        const bool kept = next != write.record.shards.end() &&
                          (next->second == assignment || next->second.epoch > assignment.epoch);
        if (!kept) {
          ReportViolation("an acknowledged assignment was lost");
        }
      }
    }
    const Revision revision{next_revision_++};
    store_ = StoredRecord{revision, write.record};
    if (now_ns_ >= lose_store_replies_until_) {
      Schedule(now_ns_ + RandomDelay(),
               [deliver, revision] { deliver(WriteOutcome::kApplied, revision); });
    }
  });
}

void OwnershipSimulation::SendToEndpoint(int index, const SendOrder& send) {
  const int endpoint = EndpointIndex(send.endpoint);
  const bool partitioned = now_ns_ < leaders_[index].endpoint_partition_until[endpoint];
  if (partitioned || endpoints_[endpoint].removed || IsMessageLost()) {
    return;
  }
  if (!send.order.grants.empty() && endpoints_[endpoint].delay_grant_ns > 0) {
    Schedule(now_ns_ + std::exchange(endpoints_[endpoint].delay_grant_ns, 0),
             [this, index, endpoint, order = send.order] { DeliverOrder(index, endpoint, order); });
    return;
  }
  const int copies = random_() % 10 == 0 ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Schedule(now_ns_ + RandomDelay(),
             [this, index, endpoint, order = send.order] { DeliverOrder(index, endpoint, order); });
  }
}

void OwnershipSimulation::DeliverOrder(int index, int endpoint, const EndpointOrder& order) {
  EndpointNode& node = endpoints_[endpoint];
  if (node.removed || now_ns_ < node.down_until) {
    return;
  }
  if (now_ns_ < node.frozen_until) {
    Schedule(node.frozen_until,
             [this, index, endpoint, order] { DeliverOrder(index, endpoint, order); });
    return;
  }
  const EndpointReply reply = node.grants->ApplyOrder(EndpointClock(node), order);
  CheckGrants();
  if (IsMessageLost() || now_ns_ < leaders_[index].endpoint_partition_until[endpoint]) {
    return;
  }
  const ProcessId process = leaders_[index].process;
  Schedule(now_ns_ + RandomDelay(),
           [this, index, endpoint, reply, process, sequence = order.sequence] {
             if (leaders_[index].process != process) {
               return;
             }
             CallLeader(index, [endpoint, reply, sequence](GroupLeader& leader, Instant now) {
               leader.HandleOrderReply(now, EndpointName(endpoint), sequence, reply);
             });
           });
}

void OwnershipSimulation::AskStepDown(int index, const sycamorestall::AskStepDown& ask) {
  const int other = EndpointIndex(ask.earlier_leader.instance);
  const bool partitioned = now_ns_ < leaders_[index].peer_partition_until ||
                           now_ns_ < leaders_[other].peer_partition_until;
  if (partitioned || IsMessageLost()) {
    return;
  }
  const ProcessId asker = leaders_[index].process;
  Schedule(now_ns_ + RandomDelay(), [this, index, other, ask, asker] {
    CallLeader(other, [this, index, other, ask, asker](GroupLeader& leader, Instant now) {
      leader.ObserveTerm(now, ask.term, asker);
      const bool has_restarted = leaders_[other].process != ask.earlier_leader;
      const bool has_stepped_down =
          leader.phase() == LeaderPhase::kIdle || leader.term() > ask.term;
      if (!has_restarted && !has_stepped_down) {
        return;
      }
      Schedule(now_ns_ + RandomDelay(), [this, index, ask, asker] {
        if (leaders_[index].process == asker) {
          CallLeader(index, [ask](GroupLeader& asking_leader, Instant asking_now) {
            asking_leader.HandleStepDown(asking_now, ask.earlier_leader);
          });
        }
      });
    });
  });
}

void OwnershipSimulation::DispatchRequests() {
  for (LeaderNode& node : leaders_) {
    if (now_ns_ < node.paused_until) {
      continue;
    }
    const ShardId shard{static_cast<std::uint32_t>(random_() % kShards)};
    const std::optional<Instant> exclusive_since = node.leader->ExclusiveSince(shard);
    const std::optional<ShardRoute> route = node.leader->FindRoute(shard, LeaderClock(node));
    if (!route || !exclusive_since) {
      continue;
    }
    exclusive_claims_.push_back({shard, route->term, SimulationTime(node, *exclusive_since)});
    const int endpoint = EndpointIndex(route->endpoint);
    if (now_ns_ < node.endpoint_partition_until[endpoint]) {
      continue;
    }
    Schedule(now_ns_ + RandomDelay(), [this, endpoint, shard, route, at = now_ns_] {
      EndpointNode& target = endpoints_[endpoint];
      const bool alive = !target.removed && now_ns_ >= target.down_until;
      const bool runs =
          alive && target.grants->MayRun(EndpointClock(target), shard, route->epoch, route->term);
      if (runs) {
        executed_.push_back({shard, route->term, at});
      }
    });
  }
}

void OwnershipSimulation::SendInstanceLists() {
  InstanceList list;
  list.revision = list_revision_++;
  for (int i = 0; i < kEndpoints; ++i) {
    if (!endpoints_[i].removed) {
      list.instances.push_back(
          {EndpointName(i), DomainName{"d"}, ServiceName{"s"}, "", InstanceState::kLive});
    }
  }
  for (int i = 0; i < kLeaders; ++i) {
    // Each leader gets the list after a random delay.
    Schedule(now_ns_ + static_cast<std::int64_t>(random_() % 1000) * kNsPerMs, [this, i, list] {
      CallLeader(i,
                 [list](GroupLeader& leader, Instant now) { leader.UpdateInstances(now, list); });
    });
  }
}

void OwnershipSimulation::ReportViolation(const std::string& text) {
  if (report_.violation.empty()) {
    report_.violation = text + " at " + std::to_string(now_ns_ / kNsPerMs) + " ms";
  }
}

void OwnershipSimulation::CheckGrants() {
  std::set<ShardId> granted;
  for (int i = 0; i < kEndpoints; ++i) {
    for (const ShardGrant& grant : endpoints_[i].grants->HeldGrants(EndpointClock(endpoints_[i]))) {
      ++report_.grants_seen;
      if (!granted.insert(grant.shard).second) {
        ReportViolation("shard " + std::to_string(grant.shard.value) + " has two owners");
      }
      const Assignment held{EndpointName(i), grant.epoch};
      if (!store_ || store_->record.shards[grant.shard] != held) {
        ReportViolation("shard " + std::to_string(grant.shard.value) +
                        " is held against the record");
      }
    }
  }
}

void OwnershipSimulation::CheckExclusiveClaims() {
  for (const ExclusiveClaim& claim : exclusive_claims_) {
    for (const ExecutedRequest& ran : executed_) {
      const bool earlier_leader = ran.shard == claim.shard && ran.term < claim.term;
      if (earlier_leader && ran.dispatched_ns > claim.since_ns) {
        ReportViolation(
            "an earlier leader's request, sent after a later leader had exclusive control, was "
            "executed");
      }
    }
  }
  exclusive_claims_.clear();
}

void OwnershipSimulation::Step() {
  now_ns_ += kStepNs;
  RunDueEvents();
  for (int i = 0; i < kLeaders; ++i) {
    if (now_ns_ % kTickPeriodNs == 0 && now_ns_ >= leaders_[i].paused_until) {
      CallLeader(i, [](GroupLeader& leader, Instant now) { leader.Tick(now); });
    }
  }
  if (now_ns_ % (200 * kNsPerMs) == 0) {
    SendInstanceLists();
  }
  DispatchRequests();
  if (!faults_over_ && random_() % kStepsBetweenMoves == 0) {
    const ShardId shard{static_cast<std::uint32_t>(random_() % kShards)};
    const int target = static_cast<int>(random_() % kEndpoints);
    CallLeader(static_cast<int>(random_() % kLeaders),
               [shard, target](GroupLeader& leader, Instant now) {
                 leader.MoveShard(now, shard, EndpointName(target));
               });
  }
  CheckGrants();
}

OwnershipReport OwnershipSimulation::Run(const std::vector<Fault>& faults) {
  std::vector<Fault> order = faults;
  std::stable_sort(order.begin(), order.end(),
                   [](const Fault& a, const Fault& b) { return a.at_ms < b.at_ms; });
  const std::int64_t start = now_ns_;
  InjectFault({FaultKind::kClaim, 0, 0, 0, 0});
  for (const Fault& fault : order) {
    while (now_ns_ < start + fault.at_ms * kNsPerMs) {
      Step();
    }
    InjectFault(fault);
  }
  faults_over_ = true;
  for (int i = 0; i < kStepsAfterFaults; ++i) {
    Step();
    // While no candidate leads, a random one claims the leadership.
    const bool has_leader =
        std::any_of(leaders_.begin(), leaders_.end(), [this](const LeaderNode& node) {
          return node.leader->phase() == LeaderPhase::kLeading && store_ &&
                 node.leader->term() == store_->record.term;
        });
    if (!has_leader && i % 100 == 0) {
      InjectFault({FaultKind::kClaim, 0, static_cast<int>(random_() % kLeaders), 0, 0});
    }
  }
  CheckExclusiveClaims();
  for (const LeaderNode& node : leaders_) {
    if (node.leader->phase() == LeaderPhase::kLeading &&
        node.leader->term() == store_->record.term) {
      report_.served_at_end = kShards - node.leader->UnservedCount(LeaderClock(node));
      report_.moves += node.leader->moves();
    }
  }
  return report_;
}

}  // namespace sycamorestall::testing

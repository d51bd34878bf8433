#include "core/ownership_world.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sycamorestall::testing {

namespace {

constexpr std::int64_t kMs = 1'000'000;
constexpr std::int64_t kStep = 5 * kMs;
constexpr std::int64_t kStoreTimeout = 500 * kMs;
constexpr std::int64_t kTickPeriod = 10 * kMs;
constexpr int kCalmSteps = 3000;
constexpr int kStepsBetweenMoves = 15;

InstanceId LeaderName(int index) { return InstanceId{"d" + std::to_string(index)}; }
InstanceId EndpointName(int index) { return InstanceId{"e" + std::to_string(index)}; }
int EndpointIndex(const InstanceId& id) { return std::stoi(id.value().substr(1)); }

}  // namespace

OwnershipWorld::OwnershipWorld(std::uint64_t seed, bool endpoints_check_token)
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

void OwnershipWorld::StartLeader(int index) {
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

void OwnershipWorld::At(std::int64_t when, std::function<void()> function) {
  due_.emplace(std::max(when, now_ns_ + 1), std::move(function));
}

void OwnershipWorld::RunDue() {
  while (!due_.empty() && due_.begin()->first <= now_ns_) {
    const auto function = std::move(due_.begin()->second);
    due_.erase(due_.begin());
    function();
  }
}

Instant OwnershipWorld::LeaderClock(const LeaderNode& node) const {
  return Instant{
      Duration{static_cast<std::int64_t>(static_cast<double>(now_ns_) * node.clock_rate)}};
}

std::int64_t OwnershipWorld::FromLeaderClock(const LeaderNode& node, Instant instant) const {
  return static_cast<std::int64_t>(static_cast<double>(instant.time_since_epoch().count()) /
                                   node.clock_rate);
}

std::int64_t OwnershipWorld::EndpointClock(const EndpointNode& node) const {
  return static_cast<std::int64_t>(static_cast<double>(now_ns_) * node.clock_rate);
}

std::int64_t OwnershipWorld::Delay() {
  const bool slow = now_ns_ < delay_messages_until_ && random_() % 3 == 0;
  return static_cast<std::int64_t>(random_() % (slow ? 1500 : 20)) * kMs;
}

bool OwnershipWorld::Lost() { return now_ns_ < lose_messages_until_ && random_() % 2 == 0; }

void OwnershipWorld::ToLeader(int index, const std::function<void(GroupLeader&, Instant)>& call) {
  LeaderNode& node = leaders_[index];
  const ProcessId process = node.process;
  if (now_ns_ < node.paused_until) {
    At(node.paused_until, [this, index, call, process] {
      if (leaders_[index].process == process) {
        ToLeader(index, call);
      }
    });
    return;
  }
  call(*node.leader, LeaderClock(node));
  RunActions(index);
}

void OwnershipWorld::RunActions(int index) {
  for (const GroupAction& action : leaders_[index].leader->TakeActions()) {
    if (std::holds_alternative<ReadRecord>(action)) {
      Read(index);
    } else if (const auto* write = std::get_if<WriteRecord>(&action)) {
      Write(index, *write);
    } else if (const auto* send = std::get_if<SendOrder>(&action)) {
      Send(index, *send);
    } else if (const auto* ask = std::get_if<sycamorestall::AskStepDown>(&action)) {
      AskStepDown(index, *ask);
    }
  }
}

void OwnershipWorld::Read(int index) {
  const ProcessId process = leaders_[index].process;
  const bool fails = now_ns_ < outage_until_ || now_ns_ < leaders_[index].store_cut_until;
  const auto deliver = [this, index, process, fails](const std::optional<StoredRecord>& found) {
    if (leaders_[index].process != process) {
      return;
    }
    ToLeader(index, [fails, found](GroupLeader& leader, Instant now) {
      fails ? leader.FailRead(now) : leader.TakeRecord(now, found);
    });
  };
  if (fails) {
    At(now_ns_ + kStoreTimeout, [deliver] { deliver(std::nullopt); });
    return;
  }
  At(now_ns_ + Delay(), [this, deliver] {
    const std::optional<StoredRecord> found = store_;
    At(now_ns_ + Delay(), [deliver, found] { deliver(found); });
  });
}

void OwnershipWorld::Write(int index, const WriteRecord& write) {
  const ProcessId process = leaders_[index].process;
  const auto answered = std::make_shared<bool>(false);
  const auto deliver = [this, index, process, answered](WriteVerdict verdict, Revision revision) {
    if (std::exchange(*answered, true) || leaders_[index].process != process) {
      return;
    }
    ToLeader(index, [verdict, revision](GroupLeader& leader, Instant now) {
      leader.TakeWriteVerdict(now, verdict, revision);
    });
  };
  At(now_ns_ + kStoreTimeout, [deliver] { deliver(WriteVerdict::kUnknown, {}); });
  if (now_ns_ < outage_until_ || now_ns_ < leaders_[index].store_cut_until) {
    return;
  }
  // A slow store may carry a write out long after its writer gave up waiting.
  const bool slow = now_ns_ < slow_until_;
  const std::int64_t late = slow ? static_cast<std::int64_t>(random_() % 1500) * kMs : 0;
  At(now_ns_ + Delay() + late, [this, write, deliver] {
    const Revision current = store_ ? store_->revision : Revision{};
    if (current != write.expected) {
      At(now_ns_ + Delay(), [deliver, current] { deliver(WriteVerdict::kConflict, current); });
      return;
    }
    if (store_) {
      for (const auto& [shard, assignment] : store_->record.shards) {
        const auto next = write.record.shards.find(shard);
        const bool kept = next != write.record.shards.end() &&
                          (next->second == assignment || next->second.epoch > assignment.epoch);
        if (!kept) {
          Complain("an acknowledged assignment was lost");
        }
      }
    }
    const Revision revision{next_revision_++};
    store_ = StoredRecord{revision, write.record};
    if (now_ns_ >= lose_replies_until_) {
      At(now_ns_ + Delay(), [deliver, revision] { deliver(WriteVerdict::kApplied, revision); });
    }
  });
}

void OwnershipWorld::Send(int index, const SendOrder& send) {
  const int endpoint = EndpointIndex(send.endpoint);
  const bool cut = now_ns_ < leaders_[index].endpoint_cut_until[endpoint];
  if (cut || endpoints_[endpoint].gone || Lost()) {
    return;
  }
  if (!send.order.grants.empty() && endpoints_[endpoint].hold_grant_ns > 0) {
    At(now_ns_ + std::exchange(endpoints_[endpoint].hold_grant_ns, 0),
       [this, index, endpoint, order = send.order] { ArriveOrder(index, endpoint, order); });
    return;
  }
  const int copies = random_() % 10 == 0 ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    At(now_ns_ + Delay(),
       [this, index, endpoint, order = send.order] { ArriveOrder(index, endpoint, order); });
  }
}

void OwnershipWorld::ArriveOrder(int index, int endpoint, const EndpointOrder& order) {
  EndpointNode& node = endpoints_[endpoint];
  if (node.gone || now_ns_ < node.dead_until) {
    return;
  }
  if (now_ns_ < node.frozen_until) {
    At(node.frozen_until, [this, index, endpoint, order] { ArriveOrder(index, endpoint, order); });
    return;
  }
  const EndpointReply reply = node.grants->Take(EndpointClock(node), order);
  Check();
  if (Lost() || now_ns_ < leaders_[index].endpoint_cut_until[endpoint]) {
    return;
  }
  const ProcessId process = leaders_[index].process;
  At(now_ns_ + Delay(), [this, index, endpoint, reply, process, sequence = order.sequence] {
    if (leaders_[index].process != process) {
      return;
    }
    ToLeader(index, [endpoint, reply, sequence](GroupLeader& leader, Instant now) {
      leader.TakeReply(now, EndpointName(endpoint), sequence, reply);
    });
  });
}

void OwnershipWorld::AskStepDown(int index, const sycamorestall::AskStepDown& ask) {
  const int other = EndpointIndex(ask.earlier.instance);
  const bool cut =
      now_ns_ < leaders_[index].peers_cut_until || now_ns_ < leaders_[other].peers_cut_until;
  if (cut || Lost()) {
    return;
  }
  const ProcessId asker = leaders_[index].process;
  At(now_ns_ + Delay(), [this, index, other, ask, asker] {
    ToLeader(other, [this, index, other, ask, asker](GroupLeader& leader, Instant now) {
      leader.HearOfTerm(now, ask.term, asker);
      const bool other_start = leaders_[other].process != ask.earlier;
      const bool sends_none = leader.phase() == LeaderPhase::kIdle || leader.term() > ask.term;
      if (!other_start && !sends_none) {
        return;
      }
      At(now_ns_ + Delay(), [this, index, ask, asker] {
        if (leaders_[index].process == asker) {
          ToLeader(index, [ask](GroupLeader& back, Instant then) {
            back.TakeStepDown(then, ask.earlier);
          });
        }
      });
    });
  });
}

void OwnershipWorld::DispatchRequests() {
  for (LeaderNode& node : leaders_) {
    if (now_ns_ < node.paused_until) {
      continue;
    }
    const ShardId shard{static_cast<std::uint32_t>(random_() % kShards)};
    const std::optional<Instant> sole = node.leader->SoleSince(shard);
    const std::optional<ShardRoute> route = node.leader->Route(shard, LeaderClock(node));
    if (!route || !sole) {
      continue;
    }
    sole_claims_.push_back({shard, route->term, FromLeaderClock(node, *sole)});
    const int endpoint = EndpointIndex(route->endpoint);
    if (now_ns_ < node.endpoint_cut_until[endpoint]) {
      continue;
    }
    At(now_ns_ + Delay(), [this, endpoint, shard, route, at = now_ns_] {
      EndpointNode& target = endpoints_[endpoint];
      const bool alive = !target.gone && now_ns_ >= target.dead_until;
      const bool runs =
          alive && target.grants->MayRun(EndpointClock(target), shard, route->epoch, route->term);
      if (runs) {
        ran_.push_back({shard, route->term, at});
      }
    });
  }
}

void OwnershipWorld::TellInstances() {
  InstanceList list;
  list.revision = list_revision_++;
  for (int i = 0; i < kEndpoints; ++i) {
    if (!endpoints_[i].gone) {
      list.instances.push_back(
          {EndpointName(i), DomainName{"d"}, ServiceName{"s"}, "", InstanceState::kLive});
    }
  }
  for (int i = 0; i < kLeaders; ++i) {
    // The list lags.
    At(now_ns_ + static_cast<std::int64_t>(random_() % 1000) * kMs, [this, i, list] {
      ToLeader(i, [list](GroupLeader& leader, Instant now) { leader.TakeInstances(now, list); });
    });
  }
}

void OwnershipWorld::Complain(const std::string& text) {
  if (report_.complaint.empty()) {
    report_.complaint = text + " at " + std::to_string(now_ns_ / kMs) + " ms";
  }
}

void OwnershipWorld::Check() {
  std::set<ShardId> seen;
  for (int i = 0; i < kEndpoints; ++i) {
    for (const ShardGrant& grant : endpoints_[i].grants->Held(EndpointClock(endpoints_[i]))) {
      ++report_.grants_seen;
      if (!seen.insert(grant.shard).second) {
        Complain("shard " + std::to_string(grant.shard.value) + " has two owners");
      }
      const Assignment held{EndpointName(i), grant.epoch};
      if (!store_ || store_->record.shards[grant.shard] != held) {
        Complain("shard " + std::to_string(grant.shard.value) + " is held against the record");
      }
    }
  }
}

void OwnershipWorld::CheckSoleClaims() {
  for (const SoleClaim& claim : sole_claims_) {
    for (const RanRequest& ran : ran_) {
      const bool earlier_leader = ran.shard == claim.shard && ran.term < claim.term;
      if (earlier_leader && ran.dispatched_ns > claim.since_ns) {
        Complain("an earlier leader's request, sent after a later one commanded alone, ran");
      }
    }
  }
  sole_claims_.clear();
}

void OwnershipWorld::Step() {
  now_ns_ += kStep;
  RunDue();
  for (int i = 0; i < kLeaders; ++i) {
    if (now_ns_ % kTickPeriod == 0 && now_ns_ >= leaders_[i].paused_until) {
      ToLeader(i, [](GroupLeader& leader, Instant now) { leader.Tick(now); });
    }
  }
  if (now_ns_ % (200 * kMs) == 0) {
    TellInstances();
  }
  DispatchRequests();
  if (!calm_ && random_() % kStepsBetweenMoves == 0) {
    const ShardId shard{static_cast<std::uint32_t>(random_() % kShards)};
    const int target = static_cast<int>(random_() % kEndpoints);
    ToLeader(static_cast<int>(random_() % kLeaders),
             [shard, target](GroupLeader& leader, Instant now) {
               leader.Move(now, shard, EndpointName(target));
             });
  }
  Check();
}

WorldReport OwnershipWorld::Run(const std::vector<Fault>& faults) {
  std::vector<Fault> order = faults;
  std::stable_sort(order.begin(), order.end(),
                   [](const Fault& a, const Fault& b) { return a.at_ms < b.at_ms; });
  const std::int64_t start = now_ns_;
  Strike({FaultKind::kClaim, 0, 0, 0, 0});
  for (const Fault& fault : order) {
    while (now_ns_ < start + fault.at_ms * kMs) {
      Step();
    }
    Strike(fault);
  }
  calm_ = true;
  for (int i = 0; i < kCalmSteps; ++i) {
    Step();
    // Whoever should lead tries to while nobody does.
    const bool anyone =
        std::any_of(leaders_.begin(), leaders_.end(), [this](const LeaderNode& node) {
          return node.leader->phase() == LeaderPhase::kLeading && store_ &&
                 node.leader->term() == store_->record.term;
        });
    if (!anyone && i % 100 == 0) {
      Strike({FaultKind::kClaim, 0, static_cast<int>(random_() % kLeaders), 0, 0});
    }
  }
  CheckSoleClaims();
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

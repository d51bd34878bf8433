#include "core/key_simulation.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace sycamorestall::testing {

namespace {

constexpr int kEndpoints = 5;
constexpr int kDaemons = 3;
constexpr std::int64_t kStepMs = 20;
constexpr std::int64_t kStoreReadIntervalMs = 700;
// A grant lasts longer by this factor, as endpoint clocks run slow.
constexpr double kSlowClockFactor = 1.02;
constexpr int kMaxOrderDelayMs = 350;
constexpr int kOrderTimeoutMs = 700;
constexpr int kReleaseTimeoutMs = 3000;
constexpr int kMaxRequestMs = 8000;
// How late a busy daemon notices an order's timeout.
constexpr int kMaxTimeoutDelayMs = 600;
// How long after the reset of its connection an endpoint may still take a grant: a busy one,
// which the reset does not reach.
constexpr int kMaxArrivalAfterResetMs = 1500;
constexpr int kMinLateMs = 2000;
constexpr int kMaxLateMs = 12000;
// The most that a restored store has lost.
constexpr int kMaxLostMs = 12000;
constexpr int kMaxRestoreOutageMs = 4000;
constexpr int kMinCutMs = 8000;
constexpr int kMaxCutMs = 15000;
// Gaps are measured for one key in this many.
constexpr KeyNumber kSampleInterval = 64;
constexpr KeyNumber kSampleCount = kKeyCount / kSampleInterval;
constexpr std::int64_t kSecondMs = 1000;
// The time from the stop signal to the next start of a daemon.
constexpr std::int64_t kRestartDelayMs = 2500;
constexpr int kMeasuredSeconds = 10;

ServiceName Service() { return ServiceName{"soil"}; }

}  // namespace

KeySimulation::KeySimulation(std::uint64_t seed, SimulationFaults faults)
    : random_(seed), faults_(faults) {
  for (int i = 0; i < kEndpoints; ++i) {
    FakeEndpoint endpoint;
    endpoint.id = InstanceId{"e" + std::to_string(i)};
    endpoint.domain = DomainName{i < kEndpoints / 2 ? "north" : "south"};
    endpoint.incarnation = {1};
    endpoint.learns_from_releases = i % 2 == 0;
    endpoint.keys.resize(kKeyCount);
    endpoints_.push_back(std::move(endpoint));
  }
  daemons_.resize(kDaemons);
  for (int i = 0; i < kDaemons; ++i) {
    daemons_[static_cast<std::size_t>(i)].id = InstanceId{"d" + std::to_string(i)};
    StartDaemon(daemons_[static_cast<std::size_t>(i)]);
  }
}

Instant KeySimulation::Now() const { return Instant{std::chrono::milliseconds{now_ms_}}; }

double KeySimulation::RandomFraction() {
  return std::uniform_real_distribution<double>{0, 1}(random_);
}

int KeySimulation::RandomBelow(std::int64_t below) {
  return std::uniform_int_distribution<int>{0, static_cast<int>(below) - 1}(random_);
}

void KeySimulation::Schedule(std::int64_t delay_ms, std::function<void()> run) {
  events_.push_back({now_ms_ + delay_ms, std::move(run)});
}

void KeySimulation::StartDaemon(FakeDaemon& daemon) {
  KeyLeaderSettings settings;
  settings.service = Service();
  settings.self = daemon.id;
  daemon.leader = std::make_unique<KeyLeader>(settings, std::make_unique<DensePiecePlacement>());
  daemon.fleet = {};
  daemon.fleet.SetColdTerms(Service(), {std::chrono::seconds{3}, faults_.cold_rate});
  daemon.view = {};
  daemon.next_store_read_ms = now_ms_;
  ++daemon.start_number;
}

void KeySimulation::ReportViolation(const std::string& text) {
  if (report_.violation.empty()) {
    report_.violation = "at " + std::to_string(now_ms_) + " ms: " + text;
  }
}

// Reads the store if a read is due and the store is reachable.
void KeySimulation::ReadStore(FakeDaemon& daemon) {
  if (now_ms_ < daemon.next_store_read_ms) {
    return;
  }
  daemon.next_store_read_ms = now_ms_ + kStoreReadIntervalMs;
  const bool reachable = now_ms_ >= daemon.store_partition_until_ms;
  if (reachable && !daemon.view.reachable) {
    daemon.view.reachable_since = Now();
  }
  daemon.view.reachable = reachable;
  if (!reachable) {
    return;
  }
  daemon.view.confirmed_at = Now();
  daemon.view.daemons.clear();
  for (const FakeDaemon& each : daemons_) {
    if (now_ms_ >= each.without_lease_until_ms) {
      daemon.view.daemons[each.id] = 1;
    }
  }
  for (const FakeEndpoint& each : endpoints_) {
    if (!each.listed) {
      daemon.fleet.Remove(each.id, Now());
      continue;
    }
    EndpointEntry entry;
    entry.id = each.id;
    entry.service = Service();
    entry.domain = each.domain;
    entry.address = {each.id.value(), 1};
    entry.slots = 4;
    entry.draining = each.draining;
    entry.incarnation = each.incarnation;
    daemon.fleet.Put(entry, Now());
    daemon.fleet.SetEvacuated(each.domain, evacuated_.contains(each.domain), Now());
  }
  daemon.fleet.FinishLoading();
  daemon.leader->ApplyRecord(record_, revision_, Now());
}

bool KeySimulation::ApplyWrite(const WriteOwnership& write) {
  // The store does not know in which era a write was prepared.
  if (write.expected.value != revision_.value) {
    return false;
  }
  if (write.record.term > record_.term) {
    ++report_.takeovers;
  }
  record_ = write.record;
  ++revision_.value;
  stored_records_.push_back({now_ms_, record_, revision_});
  return true;
}

void KeySimulation::RestoreOlderRecord() {
  ++report_.restores;
  const std::int64_t copied_ms = now_ms_ - RandomBelow(kMaxLostMs);
  StoredRecord copy;
  while (!stored_records_.empty() && stored_records_.back().written_ms > copied_ms) {
    stored_records_.pop_back();
  }
  if (!stored_records_.empty()) {
    copy = stored_records_.back();
  }
  record_ = copy.record;
  revision_ = {copy.revision.value, {revision_.era.value + 1}};
  for (FakeDaemon& each : daemons_) {
    each.without_lease_until_ms =
        std::max(each.without_lease_until_ms, now_ms_ + RandomBelow(kSecondMs));
  }
}

void KeySimulation::WriteRecord(FakeDaemon& daemon, const WriteOwnership& write) {
  const std::uint64_t start_number = daemon.start_number;
  const auto answer = [this, &daemon, start_number, id = write.record.change_id](
                          RecordWriteOutcome outcome, Revision revision) {
    Schedule(8, [this, &daemon, start_number, id, outcome, revision] {
      if (daemon.start_number == start_number) {
        daemon.leader->HandleWriteResult(id, outcome, revision, Now());
      }
    });
  };
  if (now_ms_ < daemon.store_partition_until_ms) {
    answer(RecordWriteOutcome::kNotWritten, {});
    return;
  }
  if (RandomBool(faults_.writes_late)) {
    Schedule(kSecondMs + RandomBelow(5 * kSecondMs), [this, write] { ApplyWrite(write); });
    answer(RecordWriteOutcome::kUnknown, {});
    return;
  }
  const bool written = ApplyWrite(write);
  const bool outdated = write.expected.value != 0 && write.expected.era != revision_.era;
  if (RandomBool(faults_.writes_unanswered) || (written && outdated)) {
    answer(RecordWriteOutcome::kUnknown, {});
    return;
  }
  if (outdated) {
    answer(RecordWriteOutcome::kNotWritten, {});
    return;
  }
  answer(written ? RecordWriteOutcome::kWritten : RecordWriteOutcome::kConflict, revision_);
}

KeySimulation::FakeEndpoint* KeySimulation::FindReachable(FakeDaemon& daemon,
                                                          const InstanceId& id) {
  const auto partition = daemon.endpoint_partition_until_ms.find(id);
  if (partition != daemon.endpoint_partition_until_ms.end() && now_ms_ < partition->second) {
    return nullptr;
  }
  const auto found = std::find_if(endpoints_.begin(), endpoints_.end(),
                                  [&](const FakeEndpoint& each) { return each.id == id; });
  return found != endpoints_.end() && found->up ? &*found : nullptr;
}

OrderReply KeySimulation::ApplyGrant(FakeEndpoint& endpoint, const KeyGrant& grant,
                                     std::int64_t arrived_ms) {
  ++report_.grants;
  const auto until_ms =
      arrived_ms +
      static_cast<std::int64_t>(static_cast<double>(grant.time_to_live.count()) * kSlowClockFactor);
  for (KeyNumber key = grant.range.first; key <= grant.range.last; ++key) {
    if (endpoint.keys[key].highest_seen_token > grant.token.value) {
      ++report_.refused_as_outdated;
      return {OrderReply::Outcome::kOutdated, ""};
    }
  }
  for (KeyNumber key = grant.range.first; key <= grant.range.last; ++key) {
    HeldKey& held = endpoint.keys[key];
    held.highest_seen_token = grant.token.value;
    held.token = grant.token.value;
    held.until_ms = std::max(held.until_ms, until_ms);
    held.granted_until_ms = std::max(held.granted_until_ms, until_ms);
    if (until_ms <= now_ms_) {
      continue;
    }
    for (const FakeEndpoint& other : endpoints_) {
      if (&other != &endpoint && other.up && other.keys[key].until_ms > now_ms_) {
        ReportViolation("key " + std::to_string(key) + " held by " + other.id.value() + " and " +
                        endpoint.id.value());
        return {};
      }
      if (&other != &endpoint && other.up && other.keys[key].HasRequest(now_ms_)) {
        ReportViolation("key " + std::to_string(key) + " given to " + endpoint.id.value() +
                        " while " + other.id.value() + " runs a request for it");
        return {};
      }
      if (&other != &endpoint && other.keys[key].token >= grant.token.value) {
        ReportViolation("key " + std::to_string(key) + " taken by " + endpoint.id.value() +
                        " with a token that " + other.id.value() + " already had");
        return {};
      }
    }
  }
  return {OrderReply::Outcome::kDone, ""};
}

void KeySimulation::DeliverGrant(FakeDaemon& daemon, const SendGrant& order) {
  const std::uint64_t start_number = daemon.start_number;
  const auto report_failure = [this, &daemon, start_number, id = order.order](std::int64_t delay,
                                                                              bool sent) {
    Schedule(delay, [this, &daemon, start_number, id, sent] {
      if (daemon.start_number == start_number) {
        daemon.leader->HandleOrderFailure(id, sent, Now());
      }
    });
  };
  if (FindReachable(daemon, order.endpoint) == nullptr) {
    report_failure(kOrderTimeoutMs / 2, false);
    return;
  }
  if (RandomBool(faults_.orders_lost)) {
    report_failure(kOrderTimeoutMs, true);
    return;
  }
  if (RandomBool(faults_.grants_slow)) {
    DeliverSlowGrant(daemon, order);
    return;
  }
  const int delay = RandomBelow(kMaxOrderDelayMs);
  const bool late = RandomBool(faults_.orders_late);
  const int execution_delay =
      delay + (late ? kMinLateMs + RandomBelow(kMaxLateMs - kMinLateMs) : 0);
  const std::int64_t arrived_ms = now_ms_ + delay;
  const Incarnation expected = FindReachable(daemon, order.endpoint)->incarnation;
  Schedule(execution_delay, [this, &daemon, start_number, order, late, arrived_ms, expected] {
    const auto found =
        std::find_if(endpoints_.begin(), endpoints_.end(),
                     [&](const FakeEndpoint& each) { return each.id == order.endpoint; });
    if (!found->up || found->incarnation != expected) {
      if (!late && daemon.start_number == start_number) {
        daemon.leader->HandleOrderFailure(order.order, true, Now());
      }
      return;
    }
    const OrderReply reply = ApplyGrant(*found, order.grant, arrived_ms);
    if (!late && daemon.start_number == start_number) {
      daemon.leader->HandleOrderReply(order.order, reply, Now());
    }
  });
  if (late) {
    report_failure(kOrderTimeoutMs, true);
  }
}

void KeySimulation::DeliverSlowGrant(FakeDaemon& daemon, const SendGrant& order) {
  const std::uint64_t start_number = daemon.start_number;
  const int fails_after = kOrderTimeoutMs + RandomBelow(kMaxTimeoutDelayMs);
  const int arrives_after = RandomBelow(fails_after + kMaxArrivalAfterResetMs);
  const int replied_after = arrives_after + RandomBelow(kMaxOrderDelayMs);
  const bool replied = replied_after < kOrderTimeoutMs;
  const std::int64_t arrived_ms = now_ms_ + arrives_after;
  const Incarnation expected = FindReachable(daemon, order.endpoint)->incarnation;
  Schedule(arrives_after, [this, &daemon, start_number, order, arrived_ms, expected, replied,
                           reply_delay = replied_after - arrives_after] {
    const auto found =
        std::find_if(endpoints_.begin(), endpoints_.end(),
                     [&](const FakeEndpoint& each) { return each.id == order.endpoint; });
    const bool is_alive = found->up && found->incarnation == expected;
    const OrderReply reply = is_alive ? ApplyGrant(*found, order.grant, arrived_ms) : OrderReply{};
    if (!replied) {
      return;
    }
    Schedule(reply_delay, [this, &daemon, start_number, id = order.order, is_alive, reply] {
      if (daemon.start_number != start_number) {
        return;
      }
      if (is_alive) {
        daemon.leader->HandleOrderReply(id, reply, Now());
      } else {
        daemon.leader->HandleOrderFailure(id, true, Now());
      }
    });
  });
  if (!replied) {
    Schedule(fails_after, [this, &daemon, start_number, id = order.order] {
      if (daemon.start_number == start_number) {
        daemon.leader->HandleOrderFailure(id, true, Now());
      }
    });
  }
}

void KeySimulation::FakeEndpoint::Forget() {
  for (HeldKey& key : keys) {
    key.until_ms = 0;
    key.highest_seen_token = 0;
    key.request_ends_ms = 0;
    key.granted_until_ms = 0;
  }
}

void KeySimulation::StopRequests(FakeEndpoint& endpoint, const SendRelease& order) {
  const bool runs_requests = faults_.slow_requests > 0 && RandomBool(faults_.slow_requests);
  const std::int64_t request_ends_ms = runs_requests ? now_ms_ + RandomBelow(kMaxRequestMs) : 0;
  for (KeyNumber key = order.range.first; key <= order.range.last; ++key) {
    HeldKey& held = endpoint.keys[key];
    if (held.until_ms > now_ms_) {
      held.request_ends_ms = std::max(held.request_ends_ms, request_ends_ms);
    }
    held.until_ms = 0;
    if (endpoint.learns_from_releases) {
      held.highest_seen_token = std::max(held.highest_seen_token, order.token.value);
    }
  }
}

void KeySimulation::AnswerRelease(FakeDaemon& daemon, const FakeEndpoint& endpoint,
                                  const SendRelease& order, std::uint64_t start_number,
                                  std::int64_t fails_at_ms) {
  if (daemon.start_number != start_number) {
    return;
  }
  const auto first = endpoint.keys.begin() + order.range.first;
  const auto end = endpoint.keys.begin() + order.range.last + 1;
  const bool runs_requests =
      std::any_of(first, end, [this](const HeldKey& held) { return held.HasRequest(now_ms_); });
  if (!endpoint.up || now_ms_ >= fails_at_ms) {
    daemon.leader->HandleOrderFailure(order.order, true, Now());
  } else if (runs_requests) {
    Schedule(kStepMs, [this, &daemon, &endpoint, order, start_number, fails_at_ms] {
      AnswerRelease(daemon, endpoint, order, start_number, fails_at_ms);
    });
  } else {
    daemon.leader->HandleOrderReply(order.order, {OrderReply::Outcome::kDone, "state"}, Now());
  }
}

void KeySimulation::DeliverRelease(FakeDaemon& daemon, const SendRelease& order) {
  ++report_.moves;
  const std::uint64_t start_number = daemon.start_number;
  const auto report_failure = [this, &daemon, start_number, id = order.order](bool sent) {
    Schedule(kOrderTimeoutMs, [this, &daemon, start_number, id, sent] {
      if (daemon.start_number == start_number) {
        daemon.leader->HandleOrderFailure(id, sent, Now());
      }
    });
  };
  FakeEndpoint* endpoint = FindReachable(daemon, order.endpoint);
  if (endpoint == nullptr || RandomBool(faults_.orders_lost)) {
    report_failure(endpoint != nullptr);
    return;
  }
  const bool late = RandomBool(faults_.orders_late);
  const std::int64_t fails_at_ms = now_ms_ + kReleaseTimeoutMs;
  Schedule(RandomBelow(kMaxOrderDelayMs) + (late ? kMinLateMs : 0),
           [this, &daemon, start_number, order, late, endpoint, fails_at_ms] {
             if (endpoint->up) {
               StopRequests(*endpoint, order);
             }
             if (!late) {
               AnswerRelease(daemon, *endpoint, order, start_number, fails_at_ms);
             }
           });
  if (late) {
    report_failure(true);
  }
}

void KeySimulation::DeliverHandOver(FakeDaemon& daemon, const HandOver& hand_over) {
  ++report_.handovers;
  const auto self = static_cast<std::size_t>(&daemon - daemons_.data());
  FakeDaemon& successor =
      daemons_[(self + 1 + static_cast<std::size_t>(RandomBelow(kDaemons - 1))) % kDaemons];
  Schedule(2, [this, &successor, hand_over] {
    successor.leader->AcceptHandOver(hand_over.record, hand_over.confirmed_at, Now());
  });
}

void KeySimulation::ExecuteActions(FakeDaemon& daemon) {
  for (const KeyLeaderAction& action : daemon.leader->TakeActions()) {
    if (const auto* write = std::get_if<WriteOwnership>(&action)) {
      WriteRecord(daemon, *write);
    } else if (const auto* grant = std::get_if<SendGrant>(&action)) {
      DeliverGrant(daemon, *grant);
    } else if (const auto* release = std::get_if<SendRelease>(&action)) {
      DeliverRelease(daemon, *release);
    } else if (const auto* hand_over = std::get_if<HandOver>(&action)) {
      DeliverHandOver(daemon, *hand_over);
    }
  }
}

void KeySimulation::InjectFaults() {
  const double step_s = static_cast<double>(kStepMs) / kSecondMs;
  auto& daemon = daemons_[static_cast<std::size_t>(RandomBelow(kDaemons))];
  auto& endpoint = endpoints_[static_cast<std::size_t>(RandomBelow(kEndpoints))];
  const std::int64_t until_ms = now_ms_ + 500 + RandomBelow(8 * kSecondMs);
  const auto occurs = [&](double per_s) { return RandomBool(per_s * step_s); };
  if (occurs(faults_.daemon_kills)) {
    StartDaemon(daemon);
    daemon.without_lease_until_ms = now_ms_ + RandomBelow(3 * kSecondMs);
  }
  if (occurs(faults_.daemon_stops)) {
    const std::uint64_t start_number = daemon.start_number;
    daemon.leader->StepDown();
    Schedule(kRestartDelayMs, [this, &daemon, start_number] {
      if (daemon.start_number == start_number) {
        StartDaemon(daemon);
      }
    });
  }
  if (occurs(faults_.store_partitions)) {
    daemon.store_partition_until_ms = until_ms;
  }
  if (occurs(faults_.store_outages)) {
    for (FakeDaemon& each : daemons_) {
      each.store_partition_until_ms = until_ms;
    }
  }
  if (occurs(faults_.lease_losses)) {
    daemon.without_lease_until_ms = until_ms;
  }
  if (occurs(faults_.freezes)) {
    daemon.frozen_until_ms = until_ms;
  }
  if (occurs(faults_.endpoint_partitions)) {
    daemon.endpoint_partition_until_ms[endpoint.id] = until_ms;
  }
  if (occurs(faults_.endpoint_restarts) && endpoint.up) {
    ++endpoint.incarnation.value;
    endpoint.Forget();
  }
  if (occurs(faults_.endpoint_crashes) && endpoint.up) {
    endpoint.up = false;
    endpoint.listed = false;
    endpoint.restart_at_ms = until_ms;
  }
  if (occurs(faults_.list_losses) && endpoint.up) {
    endpoint.listed = false;
    endpoint.listed_again_at_ms = until_ms;
  }
  if (faults_.store_restores > 0 && occurs(faults_.store_restores)) {
    const std::int64_t outage_ms = RandomBelow(kMaxRestoreOutageMs);
    for (FakeDaemon& each : daemons_) {
      each.store_partition_until_ms = std::max(each.store_partition_until_ms, now_ms_ + outage_ms);
    }
    Schedule(outage_ms, [this] { RestoreOlderRecord(); });
  }
  if (faults_.domain_cuts > 0 && occurs(faults_.domain_cuts)) {
    CutDomain(daemon, endpoint);
  }
  if (faults_.evacuations > 0 && occurs(faults_.evacuations) &&
      evacuated_.erase(endpoint.domain) == 0) {
    evacuated_.insert(endpoint.domain);
  }
  if (occurs(faults_.drains)) {
    endpoint.draining = !endpoint.draining;
  }
}

void KeySimulation::CutDomain(FakeDaemon& daemon, const FakeEndpoint& endpoint) {
  const std::int64_t until_ms = now_ms_ + kMinCutMs + RandomBelow(kMaxCutMs - kMinCutMs);
  daemon.store_partition_until_ms = until_ms;
  Schedule(kSecondMs, [&daemon, until_ms] { daemon.without_lease_until_ms = until_ms; });
  for (FakeDaemon& each : daemons_) {
    std::int64_t& partition_until_ms = each.endpoint_partition_until_ms[endpoint.id];
    partition_until_ms = &each == &daemon ? 0 : until_ms;
  }
}

void KeySimulation::Step(bool with_faults) {
  now_ms_ += kStepMs;
  if (with_faults) {
    InjectFaults();
  }
  if (!with_faults) {
    evacuated_.clear();
  }
  for (FakeEndpoint& endpoint : endpoints_) {
    if (!endpoint.up && now_ms_ >= endpoint.restart_at_ms) {
      endpoint.up = true;
      endpoint.listed = true;
      ++endpoint.incarnation.value;
      endpoint.Forget();
    } else if (endpoint.up && !endpoint.listed && now_ms_ >= endpoint.listed_again_at_ms) {
      endpoint.listed = true;
    }
    if (!with_faults) {
      endpoint.draining = false;
    }
  }
  auto due = std::partition(events_.begin(), events_.end(),
                            [this](const Event& event) { return event.at_ms > now_ms_; });
  std::vector<Event> ready(std::make_move_iterator(due), std::make_move_iterator(events_.end()));
  events_.erase(due, events_.end());
  std::stable_sort(ready.begin(), ready.end(),
                   [](const Event& left, const Event& right) { return left.at_ms < right.at_ms; });
  for (const Event& event : ready) {
    event.run();
  }
  for (FakeDaemon& daemon : daemons_) {
    if (now_ms_ < daemon.frozen_until_ms) {
      continue;
    }
    ReadStore(daemon);
    std::vector<KeyCount> demand;
    for (int i = 0; i < 4; ++i) {
      const bool hot = RandomBool(0.7);
      demand.push_back(
          {static_cast<KeyNumber>(hot ? 20'000 + RandomBelow(40) : RandomBelow(kKeyCount)), 1});
    }
    daemon.leader->AddDemand(demand);
    daemon.leader->Tick(daemon.fleet, daemon.view, Now());
    ExecuteActions(daemon);
  }
}

void KeySimulation::MeasureGaps() {
  no_holder_since_ms_.resize(kSampleCount);
  for (KeyNumber sample = 0; sample < kSampleCount; ++sample) {
    const KeyNumber key = sample * kSampleInterval;
    const bool held = std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& each) {
      return each.up && each.keys[key].until_ms > now_ms_;
    });
    std::int64_t& since_ms = no_holder_since_ms_[sample];
    since_ms = held ? 0 : since_ms == 0 ? now_ms_ : since_ms;
    if (!held) {
      report_.longest_gap_ms = std::max(report_.longest_gap_ms, now_ms_ - since_ms);
    }
  }
}

SimulationReport KeySimulation::RunStopInOutage() {
  constexpr std::int64_t kSettleMs = 10'000;
  constexpr std::int64_t kOutageMs = 8'000;
  constexpr std::int64_t kObservedMs = 5'000;
  const std::int64_t outage_at_ms = now_ms_ + kSettleMs;
  const std::int64_t stop_at_ms = outage_at_ms + kSecondMs / 10;
  while (now_ms_ < outage_at_ms + kOutageMs + kObservedMs && report_.violation.empty()) {
    Step(false);
    if (now_ms_ == outage_at_ms) {
      for (FakeDaemon& each : daemons_) {
        each.store_partition_until_ms = outage_at_ms + kOutageMs;
      }
    }
    if (now_ms_ == stop_at_ms) {
      for (FakeDaemon& each : daemons_) {
        if (each.leader->leading()) {
          each.leader->StepDown();
          Schedule(kRestartDelayMs, [this, &each] { StartDaemon(each); });
        }
      }
    }
    if (now_ms_ >= outage_at_ms) {
      MeasureGaps();
    }
  }
  return report_;
}

SimulationReport KeySimulation::RunEndpointPartition() {
  constexpr std::int64_t kSettleMs = 10'000;
  constexpr std::int64_t kPartitionMs = 15'000;
  constexpr std::int64_t kObservedMs = 15'000;
  const std::int64_t partition_at_ms = now_ms_ + kSettleMs;
  const std::int64_t reconnected_at_ms = partition_at_ms + kPartitionMs;
  while (now_ms_ < reconnected_at_ms + kObservedMs && report_.violation.empty()) {
    Step(false);
    if (now_ms_ == partition_at_ms) {
      for (FakeDaemon& daemon : daemons_) {
        for (const FakeEndpoint& endpoint : endpoints_) {
          daemon.endpoint_partition_until_ms[endpoint.id] = reconnected_at_ms;
        }
      }
    }
    if (now_ms_ >= reconnected_at_ms) {
      MeasureGaps();
    }
  }
  return report_;
}

SimulationReport KeySimulation::Run(int faulty_s, int calm_s) {
  const auto steps = [](std::int64_t seconds) { return seconds * kSecondMs / kStepMs; };
  for (std::int64_t i = 0; i < steps(faulty_s) && report_.violation.empty(); ++i) {
    Step(true);
  }
  faults_ = {};
  for (std::int64_t i = 0; i < steps(calm_s) && report_.violation.empty(); ++i) {
    Step(false);
    if (i > steps(calm_s - kMeasuredSeconds)) {
      MeasureGaps();
    }
  }
  return report_;
}

}  // namespace sycamorestall::testing

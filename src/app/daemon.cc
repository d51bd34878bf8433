#include "app/daemon.h"

#include <csignal>
#include <random>
#include <utility>

#include "app/http_frontend.h"
#include "clock/system_clock.h"
#include "core/shard_map.h"
#include "platform/record_json.h"

namespace sycamorestall {

namespace {

constexpr std::chrono::milliseconds kTickInterval{10};
constexpr std::chrono::milliseconds kClusterStateRequestInterval{300};
constexpr std::chrono::milliseconds kLeadersRetryDelay{500};
constexpr std::chrono::milliseconds kMetricsInterval{1000};
// A draining daemon accepts requests for this long, until the platform's load
// balancer has noticed that it is not ready.
constexpr std::chrono::milliseconds kMinDrainTime{1000};
constexpr std::chrono::seconds kMaxDrainTime{30};

std::uint64_t RandomSeed() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

Member MakeOwnMember(const Settings& settings) {
  const auto started = static_cast<std::uint64_t>(WallNow().count());
  return {{settings.instance, Incarnation{started}},
          settings.domain,
          ToString(settings.peer),
          MemberState::kAlive,
          0};
}

std::set<ServiceName> ServiceNames(const Settings& settings) {
  std::set<ServiceName> names;
  for (const auto& [name, service] : settings.services) {
    names.insert(name);
  }
  return names;
}

}  // namespace

Daemon::Daemon(Settings settings)
    : settings_(std::move(settings)),
      platform_(settings_.platform_address, settings_.instance.value(), settings_.platform_timeout),
      endpoints_(loop_, settings_.ranks.size()),
      membership_(MembershipSettings{}, MakeOwnMember(settings_), RandomSeed()),
      leadership_(LeadershipSettings{}, BootNow()),
      config_(loop_, platform_, metrics_, ServiceNames(settings_)),
      network_(loop_.context(), *this),
      tick_timer_(loop_.context()),
      signals_(loop_.context(), SIGTERM, SIGINT) {
  const GroupRunner::Dependencies dependencies{loop_, *this, platform_, endpoints_, metrics_};
  for (const auto& [name, service] : settings_.services) {
    for (const DomainName& domain : service.domains) {
      GroupSettings group;
      group.group = {name, domain};
      group.shards = ShardsOfDomain(service.shards, domain, service.domains);
      group.endpoints_check_token = service.endpoints_check_token;
      runners_[group.group] = std::make_unique<GroupRunner>(dependencies, settings_, group, self());
    }
  }
  ingress_ = std::make_unique<Ingress>(Ingress::Dependencies{
      settings_, config_, membership_, leadership_, network_, runners_, metrics_});
  frontend_ = std::make_unique<HttpFrontend>(*this);
}

Daemon::~Daemon() = default;

int Daemon::Run() {
  using boost::asio::ip::make_address;
  const auto host = make_address(settings_.peer.host);
  network_.Listen({host, settings_.peer.port});
  gossip_ = std::make_unique<GossipSocket>(
      loop_.context(), boost::asio::ip::udp::endpoint{host, settings_.peer.port},
      [this](const GossipMessage& message) { HandleGossip(message); });
  frontend_->Start();
  signals_.async_wait([this](const auto& error, int) {
    if (!error) {
      Drain();
    }
  });
  log_.Info("started as " + settings_.instance.value() + " in domain " + settings_.domain.value());
  StartTick();
  loop_.context().run();
  frontend_->Stop();
  endpoints_.Stop();
  platform_.Stop();
  log_.Info("stopped");
  return 0;
}

void Daemon::StartTick() {
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const auto& error) {
    if (!error) {
      Tick();
      StartTick();
    }
  });
}

void Daemon::Tick() {
  const Instant now = BootNow();
  ReadInstancesIfDue(now);
  membership_.Tick(now);
  ApplyLeadershipAdvice(now);
  for (const auto& [group, runner] : runners_) {
    runner->Tick(now);
  }
  ingress_->Tick(now);
  network_.Tick(now);
  UpdateConfig(now);
  SendGossip();
  ExpireExplainRequests(now);
  UpdateMetricsIfDue(now);
  EndDrainIfDue(now);
}

void Daemon::ReadInstancesIfDue(Instant now) {
  if (!leaders_read_ && !reading_leaders_) {
    ReadLeaders();
  }
  if (reading_instances_ || now < next_instances_read_) {
    return;
  }
  reading_instances_ = true;
  next_instances_read_ = now + settings_.list_interval;
  metrics_.IncrementCounter("store_calls_total{cause=\"instance list\"}");
  platform_.ReadInstances([this](std::error_code error, const InstanceList& list) {
    loop_.Post([this, error, list] {
      reading_instances_ = false;
      if (error) {
        log_.Warning("reading the list of instances failed: " + error.message());
        return;
      }
      UpdateInstances(list);
    });
  });
}

void Daemon::ReadLeaders() {
  reading_leaders_ = true;
  metrics_.IncrementCounter("store_calls_total{cause=\"leaders read\"}");
  platform_.ReadPrefix(
      "groups/", [this](std::error_code error, const std::map<std::string, StoreValue>& values) {
        loop_.Post([this, error, values] {
          if (error) {
            // Peers may send the leaders in the meantime, so the retry is not urgent.
            const auto retry =
                std::make_shared<boost::asio::steady_timer>(loop_.context(), kLeadersRetryDelay);
            retry->async_wait([this, retry](const auto&) { reading_leaders_ = false; });
            return;
          }
          leaders_read_ = true;
          for (const auto& [key, value] : values) {
            const std::optional<GroupRecord> record = ParseRecord(value.text);
            if (record) {
              ApplyLeaderNotice({record->group, record->term, record->leader});
            }
          }
        });
      });
}

void Daemon::UpdateInstances(InstanceList list) {
  if (list.revision < instances_.revision) {
    return;
  }
  const Instant now = BootNow();
  instances_ = std::move(list);
  instances_by_id_.clear();
  std::set<InstanceId> daemons;
  for (const Instance& instance : instances_.instances) {
    instances_by_id_[instance.id] = instance;
    if (instance.service.empty()) {
      daemons.insert(instance.id);
    }
  }
  membership_.UpdateInstances(now, instances_);
  for (const auto& [group, runner] : runners_) {
    runner->UpdateInstances(now, instances_);
    const std::vector<ProcessId> earlier = runner->leader().record().earlier_leaders;
    for (const ProcessId& process : earlier) {
      const bool removed =
          ever_listed_daemons_.contains(process.instance) && !daemons.contains(process.instance);
      if (removed) {
        runner->HandleStepDown(now, process);
      }
    }
  }
  ever_listed_daemons_.insert(daemons.begin(), daemons.end());
}

std::string Daemon::EndpointAddress(const InstanceId& endpoint) const {
  const auto found = instances_by_id_.find(endpoint);
  if (found == instances_by_id_.end() || IsPartitioned(found->second.domain)) {
    return {};
  }
  return found->second.address;
}

void Daemon::AnnounceLeader(const LeaderNotice& notice) { ApplyLeaderNotice(notice); }

void Daemon::ApplyLeaderNotice(const LeaderNotice& notice) {
  if (!leadership_.UpdateLeader(notice)) {
    return;
  }
  log_.Info("group " + ToString(notice.group) + " is led by " + notice.leader.instance.value() +
            " in term " + std::to_string(notice.term.value));
  membership_.BroadcastLeader(notice);
  const auto runner = runners_.find(notice.group);
  if (runner != runners_.end() && notice.leader != self()) {
    runner->second->ObserveTerm(BootNow(), notice);
  }
}

void Daemon::RequestStepDown(const GroupId& group, const sycamorestall::AskStepDown& action) {
  const Member* member = membership_.Find(action.earlier_leader.instance);
  if (member == nullptr || IsPartitioned(member->domain)) {
    return;
  }
  network_.Send(member->address, kControlChannel,
                StepDownRequest{group, action.term, action.earlier_leader, self()});
}

void Daemon::ApplyLeadershipAdvice(Instant now) {
  if (draining_) {
    return;
  }
  for (const auto& [group, runner] : runners_) {
    switch (leadership_.Advise(now, group, membership_)) {
      case LeadershipAdvice::kNothing:
        break;
      case LeadershipAdvice::kClaim:
        runner->Claim(now);
        break;
      case LeadershipAdvice::kClaimIfReachable:
        runner->ClaimIfReachable(instances_);
        break;
      case LeadershipAdvice::kHandOver:
        HandOverLeadership(*runner, now);
        break;
    }
  }
}

void Daemon::HandOverLeadership(GroupRunner& runner, Instant now) {
  if (!runner.leads()) {
    return;
  }
  const GroupId group = runner.leader().settings().group;
  const Term term = runner.leader().term();
  std::vector<Member> others = membership_.AliveMembers();
  std::erase_if(others, [this](const Member& each) { return draining_ && each.process == self(); });
  const std::optional<Member> successor = LeadershipTable::PreferredLeader(group, others);
  if (!successor || successor->process == self()) {
    return;
  }
  log_.Info("group " + ToString(group) + " is handed over to " +
            successor->process.instance.value());
  runner.Resign(now, successor->process);
  network_.Send(successor->address, kControlChannel, GroupHandOver{group, term});
}

void Daemon::UpdateConfig(Instant now) {
  config_.Tick(now);
  membership_.SetConfigVersions(config_.versions());
  if (watcher_generation_ == membership_.generation()) {
    return;
  }
  watcher_generation_ = membership_.generation();
  std::vector<Member> same_domain;
  for (const Member& member : membership_.AliveMembers()) {
    if (member.domain == settings_.domain) {
      same_domain.push_back(member);
    }
  }
  // One daemon of each domain watches the store. It is chosen by the leadership
  // scores of "config", a service that does not exist.
  const std::optional<Member> watcher =
      LeadershipTable::PreferredLeader({ServiceName{"config"}, settings_.domain}, same_domain);
  config_.SetWatching(watcher && watcher->process == self());
}

void Daemon::HandleGossip(const GossipMessage& message) {
  if (IsPartitioned(message.sender.domain)) {
    return;
  }
  const Instant now = BootNow();
  membership_.Receive(now, message);
  for (const LeaderNotice& notice : membership_.TakeLeaderNotices()) {
    ApplyLeaderNotice(notice);
  }
  const ConfigVersions own_versions = config_.versions();
  const bool behind = message.versions.plans > own_versions.plans ||
                      message.versions.customers > own_versions.customers;
  const bool knows_no_leader = leadership_.AllNotices().empty();
  if ((behind || knows_no_leader) && now >= next_cluster_state_request_) {
    next_cluster_state_request_ = now + kClusterStateRequestInterval;
    network_.Send(message.sender.address, kControlChannel, ClusterStateRequest{own_versions});
  }
  SendGossip();
}

void Daemon::SendGossip() {
  for (const OutgoingGossip& each : membership_.TakeMessages()) {
    if (!network_.IsPartitioned(each.address) && gossip_) {
      gossip_->Send(each.address, each.message);
    }
  }
  metrics_.SetGauge("gossip_sent_bytes", static_cast<double>(gossip_ ? gossip_->sent_bytes() : 0));
}

void Daemon::SimulatePartition(std::set<DomainName> domains) {
  partitioned_domains_ = std::move(domains);
  std::set<std::string> addresses;
  for (const Instance& instance : instances_.instances) {
    if (instance.service.empty() && IsPartitioned(instance.domain)) {
      addresses.insert(instance.address);
    }
  }
  network_.SimulatePartition(std::move(addresses));
}

void Daemon::UpdateMetricsIfDue(Instant now) {
  const Duration elapsed = now - last_metrics_update_;
  if (elapsed < kMetricsInterval) {
    return;
  }
  const bool first_update = last_metrics_update_ == Instant{};
  last_metrics_update_ = now;
  for (const auto& [group, runner] : runners_) {
    const std::string label = "{group=\"" + ToString(group) + "\"}";
    metrics_.SetGauge("group_led" + label, runner->leads() ? 1 : 0);
    if (!runner->leads()) {
      continue;
    }
    const GroupLeader& leader = runner->leader();
    const auto unserved = static_cast<double>(leader.UnservedCount(now));
    metrics_.SetGauge("group_shards_unserved" + label, unserved);
    metrics_.SetGauge("group_moves" + label, static_cast<double>(leader.moves()));
    metrics_.SetGauge("group_imbalance" + label, leader.Imbalance(now));
    metrics_.SetGauge("group_waiting" + label, static_cast<double>(runner->waiting()));
    metrics_.SetGauge("group_running" + label, static_cast<double>(runner->running()));
    if (!first_update) {
      metrics_.IncrementCounter("shard_seconds_unserved_total" + label,
                                unserved * std::chrono::duration<double>(elapsed).count());
    }
  }
  const ConfigVersions versions = config_.versions();
  metrics_.SetGauge("config_version{list=\"plans\"}", static_cast<double>(versions.plans));
  metrics_.SetGauge("config_version{list=\"customers\"}", static_cast<double>(versions.customers));
  metrics_.SetGauge("daemons_alive", static_cast<double>(membership_.AliveMembers().size()));
}

void Daemon::Drain() {
  if (draining_) {
    return;
  }
  draining_ = true;
  drain_started_ = BootNow();
  log_.Info("leaves");
  membership_.Leave();
  for (const auto& [group, runner] : runners_) {
    HandOverLeadership(*runner, drain_started_);
  }
  SendGossip();
}

void Daemon::EndDrainIfDue(Instant now) {
  if (!draining_ || now < drain_started_ + kMinDrainTime) {
    return;
  }
  ingress_->RefuseNewRequests();
  const bool finished = ingress_->open_count() == 0 && peer_requests_.empty();
  if (!finished && now < drain_started_ + kMaxDrainTime) {
    return;
  }
  for (const auto& [group, runner] : runners_) {
    runner->Resign(now, std::nullopt);
  }
  network_.Stop();
  gossip_->Stop();
  loop_.context().stop();
}

}  // namespace sycamorestall

#include "router/routing_daemon.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "clock/system_clock.h"
#include "http/status.h"
#include "net/http_format.h"

namespace sycamorestall {

namespace {

constexpr std::chrono::milliseconds kTick{20};
constexpr std::chrono::milliseconds kKeyTick{40};
constexpr std::chrono::milliseconds kTimeoutCheck{100};
// Loads are told this often between few daemons, and less often between many.
constexpr std::chrono::milliseconds kGossipInterval{100};
constexpr std::size_t kFewDaemons = 6;
constexpr std::chrono::milliseconds kUnregisteredPeerLife{10000};
constexpr std::chrono::milliseconds kPeerLoadLife{1000};
// A daemon that has not reached the store for so long says so: it cannot lead.
constexpr std::chrono::milliseconds kStoreLoss{600};
// A datagram may be lost.
constexpr int kHandOverCopies = 2;
// After a stop begins, callers' new connections still come for so long.
constexpr std::chrono::milliseconds kStopNotice{2300};
constexpr std::chrono::milliseconds kStopMargin{500};

// Answers without a route: readiness and metrics.
void AnswerPlain(CallerExchange& exchange, unsigned status, std::string text) {
  OutgoingMessage message;
  message.head = StatusLine(status);
  AppendHeader(message.head, "Content-Type", "text/plain");
  AppendHeader(message.head, "Content-Length", std::to_string(text.size()));
  message.body = std::make_shared<const std::string>(std::move(text));
  exchange.Answer(std::move(message));
}

}  // namespace

// Takes callers' requests.
class RoutingDaemon::Callers : public CallerHandler {
 public:
  explicit Callers(RoutingDaemon& daemon) : daemon_(daemon) {}

  void TakeRequest(std::shared_ptr<CallerExchange> exchange) override {
    daemon_.TakeRequest(std::move(exchange));
  }
  CallerLimits Limits() const override {
    return daemon_.routes_ ? daemon_.routes_->config().limits : CallerLimits{};
  }
  bool Closing() const override { return daemon_.stopping_since_.has_value(); }

 private:
  RoutingDaemon& daemon_;
};

// Says whether the daemon can take requests.
class RoutingDaemon::Readiness : public CallerHandler {
 public:
  explicit Readiness(RoutingDaemon& daemon) : daemon_(daemon) {}

  void TakeRequest(std::shared_ptr<CallerExchange> exchange) override {
    AnswerPlain(*exchange, daemon_.Ready() ? http::kOk : http::kUnavailable, "");
  }
  CallerLimits Limits() const override { return {}; }
  bool Closing() const override { return false; }

 private:
  RoutingDaemon& daemon_;
};

// Shows the daemon's figures.
class RoutingDaemon::MetricsPage : public CallerHandler {
 public:
  explicit MetricsPage(RoutingDaemon& daemon) : daemon_(daemon) {}

  void TakeRequest(std::shared_ptr<CallerExchange> exchange) override {
    AnswerPlain(*exchange, http::kOk, daemon_.metrics_.Write());
  }
  CallerLimits Limits() const override { return {}; }
  bool Closing() const override { return false; }

 private:
  RoutingDaemon& daemon_;
};

RoutingDaemon::RoutingDaemon(RouterSettings settings, const Formats& formats,
                             const StoreFactory& make_store)
    : settings_(std::move(settings)),
      formats_(formats),
      pool_(context_),
      store_(make_store(pool_)),
      mirror_(*store_, *this),
      registry_(*store_, settings_.instance, RegisteredDaemon{settings_.peer, settings_.weight},
                [this](const std::string& text) { log_.Info(text); }),
      link_(context_, settings_.peer,
            [this](const DaemonMessage& message) { TakeMessage(message); }),
      retries_(settings_.retries),
      relay_context_{settings_.instance,
                     settings_.domain,
                     fleet_,
                     domains_,
                     chooser_,
                     retries_,
                     pool_,
                     formats_.requests,
                     *this,
                     request_log_,
                     metrics_},
      timer_(context_),
      signals_(context_, SIGTERM, SIGINT, SIGHUP),
      callers_(std::make_unique<Callers>(*this)),
      readiness_(std::make_unique<Readiness>(*this)),
      metrics_page_(std::make_unique<MetricsPage>(*this)) {
  caller_listener_ = std::make_unique<CallerListener>(context_, settings_.callers, *callers_);
  readiness_listener_ =
      std::make_unique<CallerListener>(context_, settings_.readiness, *readiness_);
  metrics_listener_ = std::make_unique<CallerListener>(context_, settings_.metrics, *metrics_page_);
}

RoutingDaemon::~RoutingDaemon() = default;

void RoutingDaemon::Run() {
  log_.Info("start instance=" + settings_.instance.value() + " domain=" + settings_.domain.value() +
            " callers=" + ToString(settings_.callers));
  AwaitSignal();
  ScheduleTick();
  mirror_.Tick(BootNow());
  context_.run();
  log_.Info("stop instance=" + settings_.instance.value());
}

void RoutingDaemon::AwaitSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int number) {
    if (error) {
      return;
    }
    if (number == SIGHUP) {
      // The platform writes the same settings for a daemon's whole life but for
      // fields that are not used here.
      log_.Info("reload asked for: settings are read at start");
    } else if (!stopping_since_) {
      BeginStop(BootNow());
    }
    AwaitSignal();
  });
}

void RoutingDaemon::ScheduleTick() {
  timer_.expires_after(kTick);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Tick();
      ScheduleTick();
    }
  });
}

void RoutingDaemon::Tick() {
  const Instant now = BootNow();
  mirror_.Tick(now);
  registry_.Tick(now);
  if (now >= next_key_tick_) {
    next_key_tick_ = now + kKeyTick;
    TickKeys(now);
    HandOverLeads(now);
  }
  Gossip(now);
  const auto relays = relays_;
  for (const auto& relay : relays) {
    relay->Tick(now);
  }
  std::erase_if(relays_, [](const auto& each) { return each->finished(); });
  if (now >= next_timeout_check_) {
    next_timeout_check_ = now + kTimeoutCheck;
    caller_listener_->CheckTimeouts(now);
    readiness_listener_->CheckTimeouts(now);
    metrics_listener_->CheckTimeouts(now);
    pool_.CheckTimeouts(now);
  }
  if (stopping_since_) {
    ContinueStop(now);
  }
}

void RoutingDaemon::TickKeys(Instant now) {
  StoreView view;
  view.confirmed_at = mirror_.confirmed_at();
  view.reachable = mirror_.reachable();
  view.reachable_since = mirror_.reachable_since();
  for (const auto& [id, daemon] : registry_.daemons()) {
    view.daemons[id] = daemon.weight;
  }
  for (const auto& [id, peer] : peer_loads_) {
    const bool heard = now - peer.heard_at < kPeerLoadLife && !peer.without_store;
    if (heard && view.daemons.contains(id)) {
      view.heard.insert(id);
    }
  }
  for (const auto& [name, service] : keys_) {
    service->Tick(fleet_, view, now);
  }
}

std::map<InstanceId, NetworkAddress> RoutingDaemon::Peers(Instant now) {
  std::map<InstanceId, NetworkAddress> peers;
  for (const auto& [id, daemon] : registry_.daemons()) {
    peers[id] = daemon.address;
    peer_addresses_[id] = daemon.address;
  }
  for (const auto& [id, peer] : peer_loads_) {
    const auto address = peer_addresses_.find(id);
    if (now - peer.heard_at < kUnregisteredPeerLife && address != peer_addresses_.end()) {
      peers.insert(*address);
    }
  }
  peers.erase(settings_.instance);
  return peers;
}

std::size_t RoutingDaemon::GossipFactor() const {
  return std::max<std::size_t>(relay_context_.daemons / kFewDaemons, 1);
}

Duration RoutingDaemon::GossipInterval() const { return kGossipInterval * GossipFactor(); }

void RoutingDaemon::Gossip(Instant now) {
  std::map<InstanceId, NetworkAddress> peers = Peers(now);
  relay_context_.daemons = peers.size() + 1;
  link_.SetPeers(std::move(peers));
  DaemonMessage message;
  message.sender = settings_.instance;
  message.domain = settings_.domain;
  for (const auto& [name, service] : keys_) {
    auto parts = service->TakeAnnouncements(GossipFactor(), now);
    for (AnnouncementPart& part : parts) {
      DaemonMessage announcement;
      announcement.sender = settings_.instance;
      announcement.announcements.push_back(std::move(part));
      link_.SendToAll(announcement);
    }
  }
  message.stopping = stopping_since_.has_value();
  message.without_store = mirror_.IsLostFor(kStoreLoss, now);
  message.denials = std::exchange(denials_, {});
  if (now < next_gossip_ && message.denials.empty()) {
    return;
  }
  next_gossip_ = now + GossipInterval();
  for (const auto& [name, service] : keys_) {
    message.demands.push_back({name, service->TakeCounts()});
  }
  for (const auto& [id, state] : fleet_.all()) {
    if (state.in_flight > 0) {
      message.loads.push_back({id, static_cast<std::uint16_t>(state.in_flight)});
    }
  }
  link_.SendToAll(message);
  SumPeerLoads(now);
}

std::optional<InstanceId> RoutingDaemon::Heir(Instant now) const {
  std::optional<InstanceId> heir;
  Instant heard_at = now - kPeerLoadLife;
  for (const auto& [id, peer] : peer_loads_) {
    if (!peer.stopping && peer.heard_at > heard_at) {
      heir = id;
      heard_at = peer.heard_at;
    }
  }
  return heir;
}

void RoutingDaemon::HandOverLeads(Instant now) {
  for (const auto& [name, service] : keys_) {
    const auto hand_over = service->TakeOwnHandOver();
    if (!hand_over) {
      continue;
    }
    const auto heir = Heir(now);
    if (!heir) {
      log_.Warning("no daemon to hand over to service=" + name.value());
      continue;
    }
    log_.Info("hand over service=" + name.value() + " to=" + heir->value());
    DaemonMessage message;
    message.sender = settings_.instance;
    message.hand_overs.push_back(*hand_over);
    for (int i = 0; i < kHandOverCopies; ++i) {
      link_.SendTo(*heir, message);
    }
  }
}

void RoutingDaemon::SumPeerLoads(Instant now) {
  std::map<InstanceId, std::size_t> sums;
  for (const auto& [peer, load] : peer_loads_) {
    if (now - load.heard_at > kPeerLoadLife) {
      continue;
    }
    for (const EndpointLoad& each : load.loads) {
      sums[each.endpoint] += each.in_flight;
    }
  }
  for (const auto& [id, state] : fleet_.all()) {
    const auto sum = sums.find(id);
    fleet_.SetPeersInFlight(id, sum == sums.end() ? 0 : sum->second);
  }
}

void RoutingDaemon::TakeMessage(const DaemonMessage& message) {
  const Instant now = BootNow();
  const bool periodic = !message.loads.empty() || !message.demands.empty();
  if (periodic) {
    domains_.HearDaemon(message.domain, GossipInterval(), now);
    peer_loads_[message.sender] = {now, message.stopping, message.without_store, message.loads};
  }
  for (const ServiceDemand& demand : message.demands) {
    const auto service = keys_.find(demand.service);
    if (service != keys_.end()) {
      service->second->TakeDemand(demand.counts);
    }
  }
  for (const AnnouncementPart& part : message.announcements) {
    const auto service = keys_.find(part.service);
    if (service != keys_.end()) {
      service->second->TakeAnnouncement(part, now);
    }
  }
  for (const LeadHandOver& hand_over : message.hand_overs) {
    const auto service = keys_.find(hand_over.service);
    if (service != keys_.end()) {
      service->second->TakeHandOver(hand_over, now);
    }
  }
  for (const KeyDenial& denial : message.denials) {
    const auto service = keys_.find(denial.service);
    if (service != keys_.end()) {
      service->second->TakeDenial(denial.key, denial.endpoint, now);
    }
  }
}

void RoutingDaemon::TakeRequest(std::shared_ptr<CallerExchange> exchange) {
  const Instant now = BootNow();
  auto relay = std::make_shared<RequestRelay>(relay_context_, std::move(exchange), routes_, now);
  relay->Begin(now);
  if (!relay->finished()) {
    relays_.push_back(std::move(relay));
  }
}

bool RoutingDaemon::Ready() const {
  if (stopping_since_ || !routes_ || !mirror_.loaded()) {
    return false;
  }
  return std::all_of(keys_.begin(), keys_.end(),
                     [](const auto& each) { return each.second->routes().known(); });
}

void RoutingDaemon::TakeStoreState(bool reachable, const std::string& reason) {
  log_.Info(reachable ? "store reached" : "store lost reason=" + reason);
}

void RoutingDaemon::TakeContents(const Store::Contents& contents) {
  const Instant now = BootNow();
  std::set<InstanceId> listed;
  registry_.Clear();
  records_.clear();
  for (const StoreItem& item : contents.items) {
    TakeItem(item, now);
    if (formats_.directory.IsEndpoint(item.key)) {
      listed.insert(formats_.directory.EndpointOf(item.key));
    }
  }
  std::vector<InstanceId> missing;
  for (const auto& [id, state] : fleet_.all()) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const InstanceId& id : missing) {
    log_.Info("endpoint gone id=" + id.value());
    fleet_.Remove(id);
    pool_.Forget(id.value());
  }
  AddKeyServices();
  FinishItems(now);
}

void RoutingDaemon::TakeChanges(const Store::Changes& changes) {
  const Instant now = BootNow();
  for (const StoreEvent& event : changes.events) {
    if (event.removed) {
      RemoveItem(event.item.key, now);
    } else {
      TakeItem(event.item, now);
    }
  }
  FinishItems(now);
}

void RoutingDaemon::TakeItem(const StoreItem& item, Instant now) {
  std::string problem;
  if (formats_.directory.IsConfig(item.key)) {
    TakeConfig(item.value);
  } else if (formats_.directory.IsEndpoint(item.key)) {
    const auto entry = formats_.directory.ReadEndpoint(item, problem);
    if (!entry) {
      log_.Warning("entry not understood key=" + item.key + " reason=" + problem);
      return;
    }
    const EndpointState* known = fleet_.Find(entry->id);
    const bool changed = known == nullptr || known->entry.draining != entry->draining ||
                         known->entry.incarnation != entry->incarnation;
    if (changed) {
      log_.Info("endpoint listed id=" + entry->id.value() + " service=" + entry->service.value() +
                " address=" + ToString(entry->address) + " domain=" + entry->domain.value() +
                (entry->draining ? " draining" : " ready") +
                " start=" + std::to_string(entry->incarnation.value) +
                " revision=" + std::to_string(item.revision.value));
    }
    fleet_.Put(*entry, now);
  } else if (item.key.starts_with(kDaemonPrefix)) {
    registry_.Put(item);
  } else if (item.key.starts_with(kOwnershipPrefix)) {
    records_[item.key] = item;
    TakeRecordItem(item);
  }
}

void RoutingDaemon::TakeRecordItem(const StoreItem& item) {
  const std::string path = item.key.substr(kOwnershipPrefix.size());
  const std::size_t slash = path.find('/');
  const auto service = keys_.find(ServiceName{path.substr(0, slash)});
  if (service != keys_.end()) {
    service->second->TakeItem(slash == std::string::npos ? "" : path.substr(slash + 1), item);
  }
}

void RoutingDaemon::FinishItems(Instant now) {
  for (const auto& [name, service] : keys_) {
    service->FinishItems(now);
  }
}

void RoutingDaemon::RemoveItem(const std::string& key, Instant now) {
  if (formats_.directory.IsEndpoint(key)) {
    const InstanceId id = formats_.directory.EndpointOf(key);
    log_.Info("endpoint gone id=" + id.value());
    fleet_.Remove(id);
    pool_.Forget(id.value());
  } else if (key.starts_with(kDaemonPrefix)) {
    log_.Info("daemon gone key=" + key);
    registry_.Remove(key);
  }
  static_cast<void>(now);
}

void RoutingDaemon::TakeConfig(const std::string& text) {
  std::string problem;
  auto config = formats_.directory.ReadConfig(text, problem);
  if (!config) {
    log_.Error("configuration not understood reason=" + problem);
    return;
  }
  if (routes_ && config->version <= routes_->config().version) {
    return;
  }
  log_.Info("configuration in force version=" + std::to_string(config->version) +
            " routes=" + std::to_string(config->routes.size()));
  routes_ = std::make_shared<RouteTable>(std::move(*config));
  AddKeyServices();
}

void RoutingDaemon::AddKeyServices() {
  if (!routes_ || !mirror_.loaded()) {
    return;
  }
  for (const auto& [name, profile] : routes_->config().services) {
    if (!profile.owns_keys || keys_.contains(name)) {
      continue;
    }
    KeyLeaderSettings settings;
    settings.service = name;
    settings.self = settings_.instance;
    settings.time_to_live = std::min(settings.time_to_live, settings_.max_grant);
    keys_[name] = std::make_unique<KeyService>(settings, *store_, pool_, formats_.orders);
    for (const auto& [key, item] : records_) {
      TakeRecordItem(item);
    }
  }
}

std::optional<InstanceId> RoutingDaemon::OwnerOf(const ServiceName& service, KeyNumber key,
                                                 Instant now) const {
  const auto found = keys_.find(service);
  return found == keys_.end() ? std::nullopt : found->second->routes().OwnerOf(key, now);
}

bool RoutingDaemon::IsWorthWaiting(const ServiceName& service, KeyNumber key, Instant now) const {
  const auto found = keys_.find(service);
  return found != keys_.end() && !found->second->unserved().Contains(key, now);
}

void RoutingDaemon::ReportUnserved(const ServiceName& service, KeyNumber key, Instant now) {
  const auto found = keys_.find(service);
  if (found != keys_.end()) {
    found->second->unserved().Add(key, now);
  }
}

void RoutingDaemon::CountRequest(const ServiceName& service, KeyNumber key) {
  const auto found = keys_.find(service);
  if (found != keys_.end()) {
    found->second->CountRequest(key);
  }
}

void RoutingDaemon::ReportDenial(const ServiceName& service, KeyNumber key,
                                 const InstanceId& endpoint) {
  const auto found = keys_.find(service);
  if (found != keys_.end()) {
    found->second->TakeDenial(key, endpoint, BootNow());
    denials_.push_back({service, key, endpoint});
  }
}

void RoutingDaemon::BeginStop(Instant now) {
  log_.Info("stop asked for");
  stopping_since_ = now;
  for (const auto& [name, service] : keys_) {
    service->StepDown();
  }
}

void RoutingDaemon::ContinueStop(Instant now) {
  const Duration elapsed = now - *stopping_since_;
  if (elapsed < kStopNotice) {
    return;
  }
  caller_listener_->CloseIdle();
  const bool over = elapsed > settings_.stop_time - kStopMargin;
  if (caller_listener_->open_requests() > 0 && !over) {
    return;
  }
  caller_listener_->Stop();
  registry_.Leave();
  context_.stop();
}

}  // namespace sycamorestall

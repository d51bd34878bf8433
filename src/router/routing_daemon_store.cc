// Applies store items: configuration, daemons and ownership records.

#include <algorithm>
#include <utility>

#include "clock/system_clock.h"
#include "router/routing_daemon.h"

namespace sycamorestall {

namespace {

// Calls of a daemon that watches the store are logged if they take longer than this.
constexpr std::chrono::milliseconds kSlowStoreCall{1500};

// How long endpoints whose entries the store lost have to write them again.
constexpr std::chrono::milliseconds kEndpointReturnTime{2000};

bool ContainsOperatorItem(const std::vector<StoreEvent>& events, const std::string& prefix) {
  return std::any_of(events.begin(), events.end(), [&prefix](const StoreEvent& each) {
    return each.item.key.starts_with(prefix);
  });
}

std::string FormatTransfer(const StoreTransfer& transfer) {
  return " bytes=" + std::to_string(transfer.bytes) +
         " transfer_ms=" + FormatMilliseconds(transfer.time);
}

}  // namespace

void RoutingDaemon::HandleStoreCall(const StoreCallRecord& call) {
  const std::string labels = "{call=\"" + std::string{ToString(call.call)} + "\"}";
  metrics_.IncrementCounter("store_answer_bytes_total" + labels,
                            static_cast<double>(call.transfer.bytes));
  metrics_.IncrementCounter("store_call_seconds_total" + labels,
                            std::chrono::duration<double>(call.time).count());
  const bool routine = call.call == StoreStateSource::kWatch && store_watcher_.watching() &&
                       !call.error && call.time < kSlowStoreCall;
  if (routine) {
    return;
  }
  log_.Info("store call finished call=" + std::string{ToString(call.call)} + " reason=\"" +
            call.reason + "\" ms=" + FormatMilliseconds(call.time) + FormatTransfer(call.transfer) +
            " from=" + std::to_string(call.from.value) + " to=" + std::to_string(call.to.value) +
            " era=" + std::to_string(call.to.era.value) +
            (call.error ? " error=\"" + call.error.message() + "\"" : ""));
}

void RoutingDaemon::HandleReachability(bool reachable, const std::string& reason) {
  log_.Info(reachable ? "store reachable" : "store unreachable reason=" + reason);
}

void RoutingDaemon::ApplyChanges(const Store::Changes& changes, const StoreStateOrigin& origin) {
  const Instant now = BootNow();
  if (!update_relay_.has_begun()) {
    update_relay_.Begin(changes.revision, now);
    store_era_ = changes.revision.era;
  } else if (changes.revision.era > store_era_) {
    BeginEra(changes.revision, now);
  }
  for (const StoreEvent& event : changes.events) {
    switch (event.removed ? RemoveItem(event.item, origin, now)
                          : ApplyItem(event.item, origin, now)) {
      case ItemEffect::kNone:
        break;
      case ItemEffect::kChanged:
        update_relay_.Add(event, now);
        break;
      case ItemEffect::kRemoved:
        update_relay_.Add({{event.item.key, "", event.item.revision}, true}, now);
        break;
    }
  }
  fleet_.FinishLoading();
  endpoint_history_.FinishLoading();
  ApplyRecords(now);
  update_relay_.SendSoon(now);
  if (origin.source != StoreStateSource::kRelay &&
      ContainsOperatorItem(changes.events, formats_.directory.OperatorPrefix())) {
    // Daemons that miss the change ask for it once they hear of it.
    next_gossip_at_ = now;
  }
}

void RoutingDaemon::BeginEra(Revision revision, Instant now) {
  log_.Warning("store came back with older contents era=" + std::to_string(revision.era.value) +
               " revision=" + std::to_string(revision.value));
  store_era_ = revision.era;
  update_relay_.Begin(revision, now);
}

RoutingDaemon::ItemEffect RoutingDaemon::ApplyItem(const StoreItem& item,
                                                   const StoreStateOrigin& origin, Instant now) {
  if (formats_.directory.IsConfigKey(item.key)) {
    return ApplyConfig(item, origin, now);
  }
  if (formats_.directory.IsEndpointKey(item.key)) {
    return ApplyEndpoint(item, origin, now);
  }
  if (const auto domain = formats_.directory.EvacuatedDomain(item.key)) {
    evacuations_.Begin(*domain, store_answered_at_, now);
    return ItemEffect::kChanged;
  }
  if (item.key.starts_with(kDaemonKeyPrefix)) {
    registry_.AddEntry(item);
  } else if (item.key.starts_with(kCrashingKeyPrefix)) {
    crash_registry_.AddEntry(item, now);
  } else if (item.key.starts_with(kOwnershipKeyPrefix)) {
    record_items_[item.key] = item;
    ApplyRecordItem(item);
  }
  return ItemEffect::kChanged;
}

void RoutingDaemon::ApplyServices() {
  std::set<ServiceName> names;
  for (const auto& [name, service] : routes_->config().services) {
    names.insert(name);
  }
  fleet_.SetServices(std::move(names));
}

void RoutingDaemon::ApplyColdTerms() {
  for (const auto& [name, service] : routes_->config().services) {
    const bool limited = settings_.cold_rate_factor > 0 && service.cold_rate > 0;
    fleet_.SetColdTerms(name,
                        limited ? ColdTerms{service.cold_time, service.cold_rate} : ColdTerms{});
  }
}

void RoutingDaemon::ApplyRecordItem(const StoreItem& item) {
  const std::string path = item.key.substr(kOwnershipKeyPrefix.size());
  const std::size_t slash = path.find('/');
  const auto service = key_services_.find(ServiceName{path.substr(0, slash)});
  if (service != key_services_.end()) {
    service->second->ApplyRecordItem(slash == std::string::npos ? "" : path.substr(slash + 1),
                                     item);
  }
}

void RoutingDaemon::ApplyRecords(Instant now) {
  for (const auto& [name, service] : key_services_) {
    service->ApplyRecord(store_era_, now);
  }
}

RoutingDaemon::ItemEffect RoutingDaemon::RemoveItem(const StoreItem& item,
                                                    const StoreStateOrigin& origin, Instant now) {
  const std::string& key = item.key;
  if (formats_.directory.IsEndpointKey(key)) {
    const InstanceId id = formats_.directory.EndpointIdFromKey(key);
    malformed_endpoints_.erase(key);
    if (origin.restored) {
      missing_endpoints_.emplace(id, now + kEndpointReturnTime);
      return ItemEffect::kNone;
    }
    RecordRemoval(id, WasStoreSilent(now) ? RemovalCause::kLost : RemovalCause::kRemoved, now);
    missing_endpoints_.erase(id);
    RemoveEndpoint(id, now);
    return ItemEffect::kRemoved;
  }
  if (const auto domain = formats_.directory.EvacuatedDomain(key)) {
    evacuations_.End(*domain, routes_.get(), now);
    return ItemEffect::kRemoved;
  }
  if (key.starts_with(kDaemonKeyPrefix)) {
    log_.Info("daemon removed key=" + key);
    registry_.RemoveEntry(key);
    return ItemEffect::kRemoved;
  }
  if (key.starts_with(kCrashingKeyPrefix)) {
    crash_registry_.RemoveEntry(key);
    return ItemEffect::kRemoved;
  }
  if (key.starts_with(kOwnershipKeyPrefix)) {
    record_items_.erase(key);
    ApplyRecordItem(item);
  }
  return ItemEffect::kNone;
}

RoutingDaemon::ItemEffect RoutingDaemon::ApplyConfig(const StoreItem& item,
                                                     const StoreStateOrigin& origin, Instant now) {
  std::string reason;
  auto config = formats_.directory.ParseConfig(item.value, reason);
  if (!config) {
    log_.Error("invalid configuration reason=" + reason);
    return ItemEffect::kNone;
  }
  if (routes_ && config->version <= routes_->config().version) {
    return ItemEffect::kNone;
  }
  const auto missing = store_watcher_.operator_revisions().OldestMissing();
  const Duration known_to_peers = missing ? now - missing->heard_at : Duration{};
  log_.Info("configuration applied version=" + std::to_string(config->version) +
            " routes=" + std::to_string(config->routes.size()) +
            " revision=" + std::to_string(item.revision.value) +
            " source=" + ToString(origin.source) + " age_ms=" + FormatMilliseconds(origin.age) +
            " value_bytes=" + std::to_string(item.value.size()) + FormatTransfer(origin.transfer) +
            " peers_know_ms=" + FormatMilliseconds(known_to_peers));
  routes_ = std::make_shared<RouteTable>(std::move(*config));
  ApplyServices();
  ApplyColdTerms();
  AddKeyServices();
  return ItemEffect::kChanged;
}

void RoutingDaemon::AddKeyServices() {
  if (!routes_ || !store_watcher_.loaded()) {
    return;
  }
  EndpointObserver& observer = *this;
  for (const auto& [name, service_config] : routes_->config().services) {
    if (!service_config.has_exclusive_keys || key_services_.contains(name)) {
      continue;
    }
    KeyLeaderSettings settings;
    settings.service = name;
    settings.self = settings_.instance;
    settings.time_to_live = std::min(settings.time_to_live, settings_.max_grant_time_to_live);
    key_services_[name] =
        std::make_unique<KeyService>(settings, *store_, pool_, formats_.orders, observer);
    for (const auto& [key, item] : record_items_) {
      ApplyRecordItem(item);
    }
  }
}

}  // namespace sycamorestall

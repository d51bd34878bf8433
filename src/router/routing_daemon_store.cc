// What the daemon takes from the store: configuration, endpoints, daemons, records.

#include <algorithm>
#include <utility>

#include "clock/system_clock.h"
#include "router/routing_daemon.h"

namespace sycamorestall {

void RoutingDaemon::HandleReachability(bool reachable, const std::string& reason) {
  log_.Info(reachable ? "store reached" : "store lost reason=" + reason);
}

void RoutingDaemon::ApplyContents(const Store::Contents& contents) {
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
    pool_.DropIdleConnections(id.value());
  }
  AddKeyServices();
  FinishItems(now);
  news_.Reset(contents.revision);
}

void RoutingDaemon::ApplyChanges(const Store::Changes& changes) {
  const Instant now = BootNow();
  for (const StoreEvent& event : changes.events) {
    const bool is_new = event.removed ? RemoveItem(event.item.key) : TakeItem(event.item, now);
    if (is_new) {
      news_.Add(event);
    }
  }
  FinishItems(now);
  next_news_ = now;
}

bool RoutingDaemon::TakeItem(const StoreItem& item, Instant now) {
  if (formats_.directory.IsConfig(item.key)) {
    return TakeConfig(item.value);
  }
  if (formats_.directory.IsEndpoint(item.key)) {
    return TakeEndpoint(item, now);
  }
  if (item.key.starts_with(kDaemonPrefix)) {
    registry_.Put(item);
  } else if (item.key.starts_with(kOwnershipPrefix)) {
    records_[item.key] = item;
    TakeRecordItem(item);
  }
  return true;
}

bool RoutingDaemon::TakeEndpoint(const StoreItem& item, Instant now) {
  std::string problem;
  const auto entry = formats_.directory.ReadEndpoint(item, problem);
  if (!entry) {
    log_.Warning("entry not understood key=" + item.key + " reason=" + problem);
    return false;
  }
  const EndpointState* known = fleet_.Find(entry->id);
  // Endpoints write again and again that they are there.
  if (known != nullptr && known->entry.SameButWarmUp(*entry)) {
    return false;
  }
  log_.Info("endpoint listed id=" + entry->id.value() + " service=" + entry->service.value() +
            " address=" + ToString(entry->address) + " domain=" + entry->domain.value() +
            (entry->draining ? " draining" : " ready") +
            " start=" + std::to_string(entry->incarnation.value) +
            " revision=" + std::to_string(item.revision.value));
  fleet_.Put(*entry, now);
  return true;
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

bool RoutingDaemon::RemoveItem(const std::string& key) {
  if (formats_.directory.IsEndpoint(key)) {
    const InstanceId id = formats_.directory.EndpointOf(key);
    log_.Info("endpoint gone id=" + id.value());
    fleet_.Remove(id);
    pool_.DropIdleConnections(id.value());
    return true;
  }
  if (key.starts_with(kDaemonPrefix)) {
    log_.Info("daemon gone key=" + key);
    registry_.Remove(key);
    return true;
  }
  return false;
}

bool RoutingDaemon::TakeConfig(const std::string& text) {
  std::string problem;
  auto config = formats_.directory.ReadConfig(text, problem);
  if (!config) {
    log_.Error("configuration not understood reason=" + problem);
    return false;
  }
  if (routes_ && config->version <= routes_->config().version) {
    return false;
  }
  log_.Info("configuration in force version=" + std::to_string(config->version) +
            " routes=" + std::to_string(config->routes.size()));
  routes_ = std::make_shared<RouteTable>(std::move(*config));
  AddKeyServices();
  return true;
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
    settings.time_to_live = std::min(settings.time_to_live, settings_.max_grant_time_to_live);
    keys_[name] = std::make_unique<KeyService>(settings, *store_, pool_, formats_.orders);
    for (const auto& [key, item] : records_) {
      TakeRecordItem(item);
    }
  }
}

}  // namespace sycamorestall

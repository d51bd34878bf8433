// Applies the entries of endpoints.

#include "clock/system_clock.h"
#include "router/routing_daemon.h"

namespace sycamorestall {

namespace {

// After a silence of the store of this length, entries of endpoints that still run may be missing.
constexpr std::chrono::milliseconds kStoreSilence{2500};
// For how long after such a silence the store may go on removing them.
constexpr std::chrono::milliseconds kLossAfterSilence{1000};

}  // namespace

RoutingDaemon::ItemEffect RoutingDaemon::RejectEndpoint(const StoreItem& item,
                                                        const std::string& reason,
                                                        const StoreStateOrigin& origin,
                                                        Instant now) {
  metrics_.IncrementCounter("malformed_endpoint_entries_total");
  if (malformed_endpoints_.contains(item.key)) {
    // Its writer may repeat it many times.
    return ItemEffect::kNone;
  }
  log_.Warning("malformed endpoint entry bytes=" + std::to_string(item.value.size()) +
               " key=" + item.key + " reason=" + reason);
  const ItemEffect effect = RemoveItem(item, origin, now);
  if (effect == ItemEffect::kRemoved) {
    // Its endpoint may overwrite it with the next heartbeat.
    RecordRemoval(formats_.directory.EndpointIdFromKey(item.key), RemovalCause::kLost, now);
  }
  malformed_endpoints_.insert(item.key);
  return effect;
}

RoutingDaemon::ItemEffect RoutingDaemon::ApplyEndpoint(const StoreItem& item,
                                                       const StoreStateOrigin& origin,
                                                       Instant now) {
  std::string reason;
  const auto entry = formats_.directory.ParseEndpoint(item, reason);
  if (!entry) {
    return RejectEndpoint(item, reason, origin, now);
  }
  malformed_endpoints_.erase(item.key);
  const EntryAge age = endpoint_history_.Judge(*entry, origin.restored, now);
  if (age == EntryAge::kOutdated) {
    LogEndpointEntry("outdated endpoint entry ignored", *entry, item.revision, age);
    return ItemEffect::kNone;
  }
  if (age == EntryAge::kCurrent) {
    // Daemons of the domain that hold an entry of the endpoint back need this one to judge it.
    const bool was_contradicted = unconfirmed_entries_.Discard(entry->id);
    const bool has_changed = ListEndpoint(*entry, item.revision, now);
    const bool may_be_awaited = unconfirmed_entries_.WasConfirmedRecently(entry->id, now);
    return has_changed || was_contradicted || may_be_awaited ? ItemEffect::kChanged
                                                             : ItemEffect::kNone;
  }
  if (unconfirmed_entries_.Add({*entry, item.revision, age, now})) {
    LogEndpointEntry("endpoint entry confirmed by the next", *entry, item.revision, age);
    ListEndpoint(*entry, item.revision, now);
  } else {
    LogEndpointEntry("endpoint entry held back", *entry, item.revision, age);
  }
  return ItemEffect::kChanged;
}

void RoutingDaemon::LogEndpointEntry(const std::string& what, const EndpointEntry& entry,
                                     Revision revision, EntryAge age) {
  metrics_.IncrementCounter("endpoint_entries_judged_total{age=\"" + std::string{ToString(age)} +
                            "\"}");
  log_.Info(what + " id=" + entry.id.value() + (entry.draining ? " draining" : " ready") +
            " start=" + std::to_string(entry.incarnation.value) +
            " heartbeat=" + std::to_string(entry.heartbeat) +
            " revision=" + std::to_string(revision.value) + " age=\"" + ToString(age) + "\"");
}

bool RoutingDaemon::ListEndpoint(const EndpointEntry& entry, Revision revision, Instant now) {
  const bool has_returned = missing_endpoints_.erase(entry.id) > 0;
  endpoint_history_.RecordEntry(entry);
  const EndpointState* known = fleet_.Find(entry.id);
  // Endpoints rewrite their entries periodically without changes.
  if (known != nullptr && known->entry.EqualsIgnoringProgress(entry)) {
    const bool has_become_cold = fleet_.HasBecomeCold(entry, now);
    if (entry.warm_up_left > Duration{}) {
      fleet_.Put(entry, now);
    }
    if (has_become_cold) {
      LogIfCold(entry, "entry", now);
    }
    // The others of the domain miss an endpoint that has returned as well.
    return has_become_cold || has_returned;
  }
  log_.Info("endpoint listed id=" + entry.id.value() + " service=" + entry.service.value() +
            " address=" + ToString(entry.address) + " domain=" + entry.domain.value() +
            (entry.draining ? " draining" : " ready") +
            " start=" + std::to_string(entry.incarnation.value) + " heartbeat=" +
            std::to_string(entry.heartbeat) + " revision=" + std::to_string(revision.value));
  if (known != nullptr && known->entry.incarnation != entry.incarnation) {
    RecordEndpointEnd(entry.id, now);
  }
  fleet_.Put(entry, now);
  LogIfCold(entry, entry.warm_up_left > Duration{} ? "entry" : "new start", now);
  return true;
}

void RoutingDaemon::RecordRemoval(const InstanceId& id, RemovalCause cause, Instant now) {
  endpoint_history_.RecordRemoval(id, cause, now);
  unconfirmed_entries_.Discard(id);
}

void RoutingDaemon::NoteStoreAnswer(Instant now) {
  const Instant answered_at = store_watcher_.last_answer_at();
  if (answered_at - store_answered_at_ > kStoreSilence) {
    store_silence_ended_at_ = now;
  }
  store_answered_at_ = answered_at;
  if (store_watcher_.loaded()) {
    fleet_.SetListKnownUntil(answered_at);
  }
}

bool RoutingDaemon::WasStoreSilent(Instant now) const {
  const bool ends_now = now - store_answered_at_ > kStoreSilence;
  return ends_now ||
         (store_silence_ended_at_ && now - *store_silence_ended_at_ < kLossAfterSilence);
}

void RoutingDaemon::ConfirmEndpoints(Instant now) {
  if (unconfirmed_entries_.empty()) {
    return;
  }
  // What overwrites or removes such an entry is to be known soon.
  store_watcher_.SkipBatchDelay();
  CheckUnconfirmedEndpoints(now);
  for (const auto& each : unconfirmed_entries_.TakeConfirmed(now)) {
    LogEndpointEntry("endpoint entry confirmed by its stay", each.entry, each.revision, each.age);
    ListEndpoint(each.entry, each.revision, now);
  }
}

void RoutingDaemon::CheckUnconfirmedEndpoints(Instant now) {
  if (!routes_) {
    return;
  }
  for (const auto& [id, candidate] : unconfirmed_entries_.candidates()) {
    const auto& services = routes_->config().services;
    const auto service = services.find(candidate.entry.service);
    // Where a running endpoint has the same address, its health says nothing of the start.
    const EndpointState* listed = fleet_.Find(id);
    const bool is_informative =
        listed == nullptr || listed->entry.address != candidate.entry.address;
    if (service != services.end() && !service->second.health_path.empty() && is_informative) {
      health_checker_.Check(candidate.entry, service->second.health_path, now);
    }
  }
}

void RoutingDaemon::ConfirmHealthyEndpoint(const EndpointEntry& entry) {
  const Instant now = BootNow();
  if (const auto confirmed = unconfirmed_entries_.Confirm(entry, now)) {
    LogEndpointEntry("endpoint entry confirmed by its health", entry, confirmed->revision,
                     confirmed->age);
    ListEndpoint(entry, confirmed->revision, now);
  }
}

void RoutingDaemon::LogIfCold(const EndpointEntry& entry, const std::string& reason, Instant now) {
  const EndpointState* endpoint = fleet_.Find(entry.id);
  if (endpoint != nullptr && endpoint->IsCold(now)) {
    log_.Info("endpoint cold id=" + entry.id.value() + " ms=" +
              FormatMilliseconds(endpoint->ColdUntil() - now) + " reason=\"" + reason + "\"");
  }
}

void RoutingDaemon::RecordEndpointEnd(const InstanceId& id, Instant now) {
  const EndpointState* known = fleet_.Find(id);
  if (known != nullptr && !crashing_requests_.empty()) {
    crashing_requests_.RecordEnd({id, known->entry.incarnation}, now);
  }
}

void RoutingDaemon::RemoveEndpoint(const InstanceId& id, Instant now) {
  log_.Info("endpoint removed id=" + id.value());
  RecordEndpointEnd(id, now);
  fleet_.Remove(id, now);
  pool_.CloseIdleConnections(id.value());
}

void RoutingDaemon::RemoveMissingEndpoints(Instant now) {
  for (auto each = missing_endpoints_.begin(); each != missing_endpoints_.end();) {
    if (now < each->second) {
      ++each;
      continue;
    }
    RemoveEndpoint(each->first, now);
    each = missing_endpoints_.erase(each);
  }
}

}  // namespace sycamorestall

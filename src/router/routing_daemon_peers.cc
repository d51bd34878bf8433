// Sends messages to other daemons and handles theirs.

#include <algorithm>
#include <limits>
#include <utility>

#include "clock/system_clock.h"
#include "router/routing_daemon.h"

namespace sycamorestall {

namespace {

// How often the known daemons are passed to the limiter of cold endpoints, and for how long one
// that is not registered counts there after it was heard.
constexpr std::chrono::milliseconds kColdUpdateInterval{200};
constexpr std::chrono::milliseconds kColdPeerTimeToLive{5000};
// A hand-over is sent more than once because datagrams get lost.
constexpr int kHandOverCopies = 2;

}  // namespace

std::map<InstanceId, NetworkAddress> RoutingDaemon::CurrentPeers(Instant now) {
  std::map<InstanceId, NetworkAddress> peers;
  for (const auto& [id, daemon] : registry_.daemons()) {
    peers[id] = daemon.address;
    peer_addresses_[id] = daemon.address;
  }
  for (const auto& [id, peer] : peer_states_) {
    const auto address = peer_addresses_.find(id);
    if (now - peer.heard_at < kUnregisteredPeerTimeToLive && address != peer_addresses_.end()) {
      peers.insert(*address);
    }
  }
  peers.erase(settings_.instance);
  return peers;
}

void RoutingDaemon::SendMessages(Instant now) {
  std::map<InstanceId, NetworkAddress> peers = CurrentPeers(now);
  relay_context_.daemon_count = peers.size() + 1;
  relay_context_.load_age = Schedule().gossip_interval;
  // The loads that the other daemons reported are half an interval old on average.
  fleet_.DropReportedCounts(now - relay_context_.load_age / 2);
  transport_.SetPeers(std::move(peers));
  SendAnnouncements(now);
  SendToLeaders(now);
  SendGossip(now);
}

void RoutingDaemon::UpdateColdLimiter(Instant now) {
  if (!cold_limiter_.enabled() || !store_watcher_.loaded() || now < next_cold_update_at_) {
    return;
  }
  next_cold_update_at_ = now + kColdUpdateInterval;
  std::map<InstanceId, DomainName> daemons{{settings_.instance, settings_.domain}};
  for (const auto& [id, daemon] : registry_.daemons()) {
    daemons.emplace(id, daemon.domain);
  }
  // Registrations lapse in an outage of the store, while the daemons go on.
  for (const auto& [id, peer] : peer_states_) {
    if (!peer.stopping && now - peer.heard_at < kColdPeerTimeToLive) {
      daemons.emplace(id, peer.domain);
    }
  }
  cold_limiter_.SetDaemons(std::move(daemons), now);
}

void RoutingDaemon::SendAnnouncements(Instant now) {
  for (const auto& [name, service] : key_services_) {
    for (AnnouncementPart& part : service->PrepareAnnouncements(transport_.peer_count(), now)) {
      DaemonMessage message;
      message.sender = settings_.instance;
      message.announcements.push_back(std::move(part));
      transport_.SendToAll(message);
    }
  }
}

void RoutingDaemon::SendToLeaders(Instant now) {
  const bool demand_due = now >= next_demand_at_;
  const std::vector<NotOwnerReport> reports = std::exchange(not_owner_reports_, {});
  if (!demand_due && reports.empty()) {
    return;
  }
  if (demand_due) {
    next_demand_at_ = now + Schedule().demand_interval;
  }
  for (const auto& [name, service] : key_services_) {
    DaemonMessage message;
    message.sender = settings_.instance;
    if (demand_due) {
      message.demands.push_back({name, service->DrainRequestCounts()});
      message.service_times = DrainServiceTimes(name);
    }
    std::copy_if(reports.begin(), reports.end(), std::back_inserter(message.not_owner_reports),
                 [&name = name](const NotOwnerReport& each) { return each.service == name; });
    const bool has_news = !message.not_owner_reports.empty() || !message.service_times.empty() ||
                          (demand_due && !message.demands.front().counts.empty());
    if (!has_news || service->is_leader()) {
      continue;
    }
    if (const auto leader = service->HeardLeader(now)) {
      transport_.SendTo(*leader, message);
    } else {
      transport_.SendToAll(message);
    }
  }
}

std::vector<EndpointTimes> RoutingDaemon::DrainServiceTimes(const ServiceName& service) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  constexpr std::uint32_t kMaxCount = std::numeric_limits<std::uint16_t>::max();
  constexpr double kMaxMicroseconds = std::numeric_limits<std::uint32_t>::max();
  std::vector<EndpointTimes> drained;
  for (const auto& [id, times] : fleet_.DrainServiceTimes(service)) {
    const double mean_us = std::min(times.mean_s * kMicrosecondsPerSecond, kMaxMicroseconds);
    drained.push_back({id, static_cast<std::uint16_t>(std::min(times.count, kMaxCount)),
                       static_cast<std::uint32_t>(mean_us)});
  }
  return drained;
}

void RoutingDaemon::SendGossip(Instant now) {
  if (now < next_gossip_at_) {
    return;
  }
  next_gossip_at_ = now + Schedule().gossip_interval;
  DaemonMessage message;
  message.sender = settings_.instance;
  message.domain = settings_.domain;
  message.stopping = stop_requested_at_.has_value();
  message.store_unreachable = store_watcher_.IsUnreachableFor(kStoreUnreachableDelay, now);
  message.store_revision = store_watcher_.revision();
  message.operator_revision = store_watcher_.operator_revisions().latest();
  message.knows_recent_changes = update_relay_.KnowsRecentChanges(now);
  message.weight = settings_.weight;
  endpoint_hashes_.Update(fleet_);
  AddLoads(message);
  message.drain_reports = DrainReports();
  message.crash_reports = crashing_requests_.TakeReports(now);
  transport_.SendToAll(message);
  UpdatePeerLoads(now);
}

void RoutingDaemon::AddLoads(DaemonMessage& message) {
  for (const auto& [id, state] : fleet_.all()) {
    if (state.in_flight == 0) {
      continue;
    }
    const auto in_flight = static_cast<std::uint16_t>(state.in_flight);
    if (const auto hash = endpoint_hashes_.HashOf(id)) {
      message.hashed_loads.push_back({*hash, in_flight});
    } else {
      message.loads.push_back({id, in_flight});
    }
  }
  std::sort(message.hashed_loads.begin(), message.hashed_loads.end(),
            [](const HashedLoad& left, const HashedLoad& right) {
              return left.endpoint_hash < right.endpoint_hash;
            });
}

std::vector<HashedLoad> RoutingDaemon::ResolveLoads(const std::vector<HashedLoad>& hashed,
                                                    std::vector<EndpointLoad>& loads) const {
  std::vector<HashedLoad> unknown;
  for (const HashedLoad& each : hashed) {
    if (const InstanceId* endpoint = endpoint_hashes_.Find(each.endpoint_hash)) {
      loads.push_back({*endpoint, each.in_flight});
    } else {
      unknown.push_back(each);
    }
  }
  return unknown;
}

std::vector<DrainReport> RoutingDaemon::DrainReports() const {
  std::vector<DrainReport> reports;
  for (const auto& [id, state] : fleet_.all()) {
    if (state.announced_draining && !state.entry.draining) {
      reports.push_back({id, state.entry.incarnation});
    }
  }
  return reports;
}

void RoutingDaemon::HandleNotice(const InstanceId& endpoint, const EndpointNotice& notice,
                                 Instant sent_at, Instant now) {
  const EndpointNoticeEffect effect = fleet_.HandleNotice(endpoint, notice, sent_at, now);
  if (effect.began_draining) {
    log_.Info("endpoint drains id=" + endpoint.value() + " source=answer");
    // The leader has to move its keys off it soon.
    next_gossip_at_ = now;
  }
  if (effect.began_pause) {
    log_.Info("endpoint pauses id=" + endpoint.value() +
              " ms=" + FormatMilliseconds(*notice.pause));
  }
  if (effect.ignored_load) {
    metrics_.IncrementCounter("reported_load_ignored_total");
    if (endpoints_with_ignored_load_.insert(endpoint).second) {
      log_.Warning("reported load of an endpoint ignored id=" + endpoint.value());
    }
  }
  if (!notice.malformed_pause.empty()) {
    log_.Warning("malformed pause of an endpoint ignored id=" + endpoint.value());
  }
}

std::optional<InstanceId> RoutingDaemon::ChooseSuccessor(Instant now) const {
  std::optional<InstanceId> successor;
  double weight = 0;
  for (const auto& [id, peer] : peer_states_) {
    if (!peer.stopping && IsHeard(peer, now) && (!successor || peer.weight > weight)) {
      successor = id;
      weight = peer.weight;
    }
  }
  return successor;
}

void RoutingDaemon::HandOverLeadership(Instant now) {
  for (const auto& [name, service] : key_services_) {
    const auto hand_over = service->ConsumePendingHandOver();
    if (!hand_over) {
      continue;
    }
    const auto successor = ChooseSuccessor(now);
    if (!successor) {
      log_.Warning("no successor for leadership service=" + name.value());
      continue;
    }
    log_.Info("handing over leadership service=" + name.value() + " to=" + successor->value());
    DaemonMessage message;
    message.sender = settings_.instance;
    message.leadership_hand_overs.push_back(*hand_over);
    for (int i = 0; i < kHandOverCopies; ++i) {
      transport_.SendTo(*successor, message);
    }
  }
}

bool RoutingDaemon::LeadsAnyService() const {
  return std::any_of(key_services_.begin(), key_services_.end(),
                     [](const auto& each) { return each.second->is_leader(); });
}

void RoutingDaemon::ReplacePeerLoads(const std::vector<EndpointLoad>& earlier,
                                     const std::vector<EndpointLoad>& latest) {
  for (const EndpointLoad& each : earlier) {
    fleet_.RemovePeersInFlight(each.endpoint, each.in_flight);
  }
  for (const EndpointLoad& each : latest) {
    fleet_.AddPeersInFlight(each.endpoint, each.in_flight);
  }
}

void RoutingDaemon::UpdatePeerLoads(Instant now) {
  std::map<InstanceId, std::size_t> in_flight_by_endpoint;
  for (auto& [peer, state] : peer_states_) {
    if (!IsHeard(state, now)) {
      continue;
    }
    state.unknown_loads = ResolveLoads(state.unknown_loads, state.loads);
    for (const EndpointLoad& each : state.loads) {
      in_flight_by_endpoint[each.endpoint] += each.in_flight;
    }
  }
  for (const auto& [id, state] : fleet_.all()) {
    const auto entry = in_flight_by_endpoint.find(id);
    fleet_.SetPeersInFlight(id, entry == in_flight_by_endpoint.end() ? 0 : entry->second);
  }
  cross_domain_.SetPeerLoads(CrossDomainLoads(now));
}

std::map<ServiceName, CrossDomainLoad> RoutingDaemon::CrossDomainLoads(Instant now) const {
  std::map<ServiceName, CrossDomainLoad> loads;
  for (const auto& [id, peer] : peer_states_) {
    if (!IsHeard(peer, now)) {
      continue;
    }
    const bool peer_is_near = peer.domain == settings_.domain;
    for (const EndpointLoad& each : peer.loads) {
      const EndpointState* endpoint = fleet_.Find(each.endpoint);
      if (endpoint == nullptr || (endpoint->entry.domain == settings_.domain) == peer_is_near) {
        continue;
      }
      CrossDomainLoad& load = loads[endpoint->entry.service];
      (peer_is_near ? load.leaving : load.entering) += each.in_flight;
    }
  }
  return loads;
}

void RoutingDaemon::HandleGossip(const DaemonMessage& message, Instant now) {
  domains_.RecordDaemonMessage(message.domain, Schedule().gossip_interval, now);
  const auto known = peer_states_.find(message.sender);
  const bool has_progressed =
      known == peer_states_.end() || known->second.store_revision != message.store_revision;
  if (has_progressed && message.store_revision.value != 0) {
    store_watcher_.RecordPeerProgress(now);
  }
  const bool was_counted = known != peer_states_.end() && IsHeard(known->second, now);
  std::vector<EndpointLoad> loads = message.loads;
  std::vector<HashedLoad> unknown_loads = ResolveLoads(message.hashed_loads, loads);
  ReplacePeerLoads(was_counted ? known->second.loads : std::vector<EndpointLoad>{}, loads);
  peer_states_[message.sender] = {now,
                                  message.domain,
                                  message.stopping,
                                  message.store_unreachable,
                                  std::move(loads),
                                  std::move(unknown_loads),
                                  message.store_revision,
                                  message.knows_recent_changes,
                                  message.weight};
  store_watcher_.ObserveEra(message.store_revision.era);
  store_watcher_.RecordPeerChange(message.sender, message.operator_revision, now);
}

void RoutingDaemon::HandleKeyMessages(const DaemonMessage& message, Instant now) {
  for (const ServiceDemand& demand : message.demands) {
    const auto service = key_services_.find(demand.service);
    if (service != key_services_.end()) {
      service->second->AddDemand(demand.counts);
    }
  }
  for (const AnnouncementPart& part : message.announcements) {
    const auto service = key_services_.find(part.service);
    if (service != key_services_.end()) {
      service->second->HandleAnnouncementPart(part, message.sender, now);
    }
  }
  for (const LeadershipHandOver& hand_over : message.leadership_hand_overs) {
    const auto service = key_services_.find(hand_over.service);
    if (service != key_services_.end()) {
      service->second->HandleHandOver(hand_over, last_tick_at_, now);
    }
  }
  for (const NotOwnerReport& report : message.not_owner_reports) {
    const auto service = key_services_.find(report.service);
    if (service != key_services_.end()) {
      service->second->HandleNotOwnerReport(report.key, report.endpoint, now);
    }
  }
}

void RoutingDaemon::HandleEndpointReports(const DaemonMessage& message, Instant now) {
  for (const EndpointTimes& times : message.service_times) {
    const std::chrono::duration<double> mean = std::chrono::microseconds{times.mean_us};
    fleet_.AddServiceTimes(times.endpoint, {times.count, mean.count()});
  }
  for (const DrainReport& report : message.drain_reports) {
    if (fleet_.HandleDrainReport(report.endpoint, report.incarnation, now)) {
      log_.Info("endpoint drains id=" + report.endpoint.value() +
                " source=" + message.sender.value());
    }
  }
  for (const CrashReport& report : message.crash_reports) {
    crashing_requests_.ApplyReport(report, now);
  }
}

void RoutingDaemon::HandleMessage(const DaemonMessage& message) {
  const Instant now = BootNow();
  // Only gossip names the sender's domain.
  if (!message.domain.empty()) {
    HandleGossip(message, now);
  }
  for (const StoreUpdate& update : message.store_updates) {
    HandleStoreUpdate(update, message.sender, now);
  }
  for (const UpdateRequest& request : message.update_requests) {
    update_relay_.Answer(message.sender, request.known, now);
  }
  HandleKeyMessages(message, now);
  HandleEndpointReports(message, now);
}

}  // namespace sycamorestall

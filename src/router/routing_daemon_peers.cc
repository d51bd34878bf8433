// What the daemon tells other daemons, and what it hears from them.

#include <algorithm>
#include <utility>

#include "clock/system_clock.h"
#include "core/watch_duty.h"
#include "router/routing_daemon.h"

namespace sycamorestall {

namespace {

// Loads are told this often between few daemons, and less often between many.
constexpr std::chrono::milliseconds kGossipInterval{100};
constexpr std::size_t kFewDaemons = 6;
// Those who watch the store tell the others of their domain at least this often.
constexpr std::chrono::milliseconds kNewsInterval{400};
constexpr std::chrono::milliseconds kUnregisteredPeerLife{10000};
// A daemon that has not reached the store for so long says so: it cannot lead.
constexpr std::chrono::milliseconds kStoreLoss{600};
// A datagram may be lost.
constexpr int kHandOverCopies = 2;

}  // namespace

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

bool RoutingDaemon::LeadsKeys() const {
  return std::any_of(keys_.begin(), keys_.end(),
                     [](const auto& each) { return each.second->leads(); });
}

bool RoutingDaemon::WatchesForDomain(Instant now) const {
  const auto self = registry_.daemons().find(settings_.instance);
  if (self == registry_.daemons().end()) {
    return true;
  }
  std::vector<StoreWatchCandidate> others;
  for (const auto& [id, peer] : peer_loads_) {
    const auto daemon = registry_.daemons().find(id);
    const bool fit = peer.domain == settings_.domain && now - peer.heard_at < kPeerLoadLife &&
                     !peer.stopping && !peer.without_store && daemon != registry_.daemons().end();
    if (fit) {
      others.push_back({id, daemon->second.weight});
    }
  }
  return sycamorestall::IsStoreWatcher({settings_.instance, self->second.weight}, others);
}

void RoutingDaemon::SendNews(Instant now) {
  if (!watches_for_domain_ || !mirror_.reachable()) {
    news_.Reset(mirror_.revision());
    return;
  }
  if (now < next_news_) {
    return;
  }
  next_news_ = now + kNewsInterval;
  const auto ago =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - mirror_.informed_at());
  for (StoreNews& news : news_.Take(mirror_.revision(), static_cast<std::uint32_t>(ago.count()))) {
    DaemonMessage message;
    message.sender = settings_.instance;
    message.news.push_back(std::move(news));
    for (const auto& [id, peer] : peer_loads_) {
      if (peer.domain == settings_.domain && now - peer.heard_at < kUnregisteredPeerLife) {
        link_.SendTo(id, message);
      }
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
    domains_.RecordDaemonMessage(message.domain, GossipInterval(), now);
    peer_loads_[message.sender] = {now, message.domain, message.stopping, message.without_store,
                                   message.loads};
  }
  for (const StoreNews& news : message.news) {
    mirror_.TakeNews(news, now);
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

}  // namespace sycamorestall

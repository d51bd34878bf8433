// Exchanges store updates with other daemons.

#include <algorithm>
#include <utility>

#include "router/routing_daemon.h"

namespace sycamorestall {

namespace {

// A change of the operator's that peers have known for longer is logged.
constexpr std::chrono::milliseconds kLoggedChangeDelay{700};

}  // namespace

StoreWatchRole RoutingDaemon::ChooseWatchRole(Instant now) const {
  std::vector<StoreWatchCandidate> others;
  for (const auto& [id, peer] : peer_states_) {
    const bool eligible = peer.domain == settings_.domain && IsHeard(peer, now) && !peer.stopping &&
                          !peer.store_unreachable && peer.store_revision.value != 0 &&
                          peer.store_revision.era >= store_watcher_.revision().era;
    if (eligible) {
      others.push_back({id, peer.knows_recent_changes, peer.weight});
    }
  }
  return ChooseStoreWatchRole(
      {settings_.instance, update_relay_.KnowsRecentChanges(now), settings_.weight}, others);
}

void RoutingDaemon::SendStoreUpdates(Instant now) {
  update_relay_.DiscardOld(now);
  // What is known goes on being sent until the others of the domain have chosen another watcher.
  const bool sends =
      watches_for_domain_ && !store_watcher_.IsUnreachableFor(kStoreUnreachableDelay, now);
  if (sends && update_relay_.IsDue(now)) {
    update_relay_.Send(Followers(now), now);
  }
}

std::map<InstanceId, Revision> RoutingDaemon::Followers(Instant now) const {
  const Revision recent = update_relay_.AssumedRevision(now);
  std::map<InstanceId, Revision> followers;
  for (const auto& [id, daemon] : registry_.daemons()) {
    if (daemon.domain == settings_.domain) {
      followers[id] = recent;
    }
  }
  for (const auto& [id, peer] : peer_states_) {
    const Duration silence = now - peer.heard_at;
    if (peer.domain == settings_.domain && silence < kUnregisteredPeerTimeToLive) {
      followers[id] =
          IsHeard(peer, now) ? peer.store_revision : std::max(peer.store_revision, recent);
    }
  }
  followers.erase(settings_.instance);
  return followers;
}

void RoutingDaemon::HandleStoreUpdate(const StoreUpdate& update, const InstanceId& sender,
                                      Instant now) {
  const Revision known = store_watcher_.revision();
  const UpdateResult result = store_watcher_.ApplyUpdate(update, now);
  metrics_.IncrementCounter("store_updates_received_total{result=\"" +
                            std::string{ToString(result)} + "\"}");
  if (result == UpdateResult::kGap || result == UpdateResult::kUndecodable) {
    update_requests_.RecordGap(sender);
    log_.Info("store update not applied reason=" + std::string{ToString(result)} +
              " sender=" + sender.value() + " known=" + std::to_string(known.value) +
              " base=" + std::to_string(update.base.value) +
              " revision=" + std::to_string(update.revision.value));
  }
}

std::optional<InstanceId> RoutingDaemon::FindInformedPeer(Instant now) const {
  std::optional<InstanceId> informed;
  std::pair<bool, double> best;
  for (const auto& [id, peer] : peer_states_) {
    const bool knows_more = IsHeard(peer, now) && !peer.stopping && !peer.store_unreachable &&
                            peer.store_revision > store_watcher_.revision();
    const std::pair rank{peer.domain == settings_.domain, peer.weight};
    if (knows_more && (!informed || rank > best)) {
      informed = id;
      best = rank;
    }
  }
  return informed;
}

void RoutingDaemon::RequestMissingUpdates(Instant now) {
  if (!store_watcher_.loaded()) {
    return;
  }
  MissingUpdates missing;
  missing.gap = !watches_for_domain_ && store_watcher_.update_state(now).gap;
  missing.change = store_watcher_.operator_revisions().OldestMissing();
  if (!store_watcher_.reachable()) {
    missing.informed_peer = FindInformedPeer(now);
  }
  const auto peer = update_requests_.Next(missing, now);
  if (!peer) {
    return;
  }
  metrics_.IncrementCounter("store_updates_requested_total");
  DaemonMessage message;
  message.sender = settings_.instance;
  message.update_requests.push_back({store_watcher_.revision()});
  transport_.SendTo(*peer, message);
}

void RoutingDaemon::LogMissingChange(Instant now) {
  const auto missing = store_watcher_.operator_revisions().OldestMissing();
  const bool is_due = missing && missing->revision > logged_missing_change_ &&
                      now - missing->heard_at > kLoggedChangeDelay;
  if (!is_due) {
    return;
  }
  logged_missing_change_ = missing->revision;
  log_.Warning("operator's change missing revision=" + std::to_string(missing->revision.value) +
               " known=" + std::to_string(store_watcher_.revision().value) +
               " peer=" + missing->peer.value() + " " + ToString(store_watcher_.update_state(now)));
}

}  // namespace sycamorestall

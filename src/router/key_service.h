#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "core/key_leader.h"
#include "core/key_routes.h"
#include "core/unserved_keys.h"
#include "log/log.h"
#include "net/connection_pool.h"
#include "router/daemon_message.h"
#include "router/formats.h"

namespace sycamorestall {

// Where the store keeps the ownership record of each service.
inline constexpr std::string_view kOwnershipKeyPrefix = "sycamorestall/keys/";

// One service whose endpoints own keys: carries out what its leader decides, if
// this daemon leads, and knows where requests for its keys go.
class KeyService {
 public:
  KeyService(KeyLeaderSettings settings, Store& store, ConnectionPool& pool,
             const OrderFormat& order_format);

  // A key of the store's record changed. The rest of the key behind the service's
  // name is empty for its head, and the number of a piece otherwise.
  void ApplyRecordItem(const std::string& key_suffix, const StoreItem& item);
  // All changes of the store up to a moment were taken, so that what is known of
  // the record is whole.
  void ApplyRecord(Instant now);
  // A part of a leader's announcement came.
  void HandleAnnouncementPart(const AnnouncementPart& part, Instant now);
  // Requests were counted by another daemon.
  void AddDemand(const std::vector<KeyCount>& counts) { leader_.TakeDemand(counts); }
  // An endpoint says that it does not hold a key.
  void HandleNotOwnerReport(KeyNumber key, const InstanceId& endpoint, Instant now) {
    leader_.TakeDenial(key, endpoint, now);
  }
  // A stopping leader asks this daemon to renew its grants.
  void HandleHandOver(const LeadershipHandOver& hand_over, Instant now);
  // What a daemon that goes on is to be asked; empty while nothing is.
  std::optional<LeadershipHandOver> ConsumePendingHandOver() {
    return std::exchange(pending_hand_over_, {});
  }
  // Counts a request of this daemon's own.
  void CountRequest(KeyNumber key) { ++request_counts_[key]; }
  // The requests counted since the last call; the leader here hears them too.
  std::vector<KeyCount> DrainRequestCounts();

  void Tick(const EndpointFleet& fleet, const StoreView& view, Instant now);
  // Gives up the lead.
  void StepDown() { leader_.StepDown(); }

  bool is_leader() const { return leader_.leading(); }
  const KeyRoutes& routes() const { return routes_; }
  UnservedKeys& unserved() { return unserved_; }
  // What is to be announced to all others; empty while nothing is. The factor
  // stretches the times between announcements where there are many daemons.
  std::vector<AnnouncementPart> PrepareAnnouncements(std::size_t interval_factor, Instant now);

 private:
  // Carries out one kind of action each.
  void Execute(const WriteOwnership& action);
  void Execute(const SendGrant& action);
  void Execute(const SendRelease& action);
  void Execute(const HandOver& action);
  void Execute(const RoutesChanged& action);
  void Execute(const LeaderDecision& action);

  std::string RecordKey() const;
  void ExecuteActions();
  KeyAnnouncement BuildAnnouncement(std::size_t interval_factor, Instant now);
  std::vector<AnnouncementPart> SplitIntoParts(const KeyAnnouncement& announcement) const;
  void SendOrder(std::uint64_t order, const InstanceId& endpoint, const NetworkAddress& address,
                 OutgoingMessage message, std::chrono::milliseconds timeout);
  void HandleOrderResult(std::uint64_t order, const CallResult& result);

  const KeyLeaderSettings settings_;
  Store& store_;
  ConnectionPool& pool_;
  const OrderFormat& order_format_;
  KeyLeader leader_;
  KeyRoutes routes_;
  UnservedKeys unserved_;
  // The record as the store holds it, and the revision of its head.
  EncodedRecord stored_record_;
  Revision stored_revision_;
  // Up to this revision the record is known to be whole; what is older is not taken.
  Revision complete_revision_;
  bool stored_record_changed_ = true;
  std::map<KeyNumber, std::uint32_t> request_counts_;
  std::uint64_t announcement_sequence_ = 0;
  std::optional<LeadershipHandOver> pending_hand_over_;
  bool routes_changed_ = false;
  Instant next_announcement_at_;
  Instant repeat_announcement_at_;
  Instant next_full_announcement_at_;
  // The latest whole announcement of this daemon.
  KeyAnnouncement last_full_announcement_;
  // Parts of an announcement that is not whole yet.
  KeyAnnouncement received_announcement_;
  std::set<std::uint16_t> received_parts_;
  PartLog log_{"keys"};
};

}  // namespace sycamorestall

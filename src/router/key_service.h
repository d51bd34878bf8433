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
#include "router/endpoint_observer.h"
#include "router/formats.h"

namespace sycamorestall {

// Prefix of the store keys of the services' ownership records.
inline constexpr std::string_view kOwnershipKeyPrefix = "sycamorestall/keys/";

// Holds the routes of one service whose endpoints own keys exclusively. While this daemon
// leads the service, executes the leader's actions.
class KeyService {
 public:
  KeyService(KeyLeaderSettings settings, Store& store, ConnectionPool& pool,
             const OrderFormat& order_format, EndpointObserver& endpoint_observer);

  // Applies a changed store item of the record; its value is empty if it was removed. The suffix of
  // its key after the service name is empty for the head and otherwise the number of a piece.
  void ApplyRecordItem(const std::string& key_suffix, const StoreItem& item);
  // Decodes the record after all items of one store update were applied, and passes it
  // to the leader and the routes. Waits for further items if it does not decode.
  void ApplyRecord(StoreEra era, Instant now);
  // Collects the parts of a leader's announcement, and applies it once it is complete.
  void HandleAnnouncementPart(const AnnouncementPart& part, const InstanceId& sender, Instant now);
  // The other daemon that recently announced the owners, and so leads; empty if none is heard.
  std::optional<InstanceId> HeardLeader(Instant now) const;
  // Adds requests that another daemon counted.
  void AddDemand(const std::vector<KeyCount>& counts) { leader_.AddDemand(counts); }
  // Tells the leader that an endpoint does not hold a key routed to it.
  void HandleNotOwnerReport(KeyNumber key, const InstanceId& endpoint, Instant now) {
    leader_.HandleNotOwnerReport(key, endpoint, now);
  }
  // Starts to renew the grants of a stopping leader. The message was sent after `sent_after`: it
  // may have waited to be read while this daemon did not run.
  void HandleHandOver(const LeadershipHandOver& hand_over, Instant sent_after, Instant now);
  // Whether this daemon sends grants, as the leader or in its place.
  bool SendsGrants() const { return leader_.leading(); }
  // Returns, once, the hand-over to be sent to the successor; empty if there is none.
  std::optional<LeadershipHandOver> ConsumePendingHandOver() {
    return std::exchange(pending_hand_over_, {});
  }
  // Counts a request received by this daemon.
  void CountRequest(KeyNumber key) { ++request_counts_[key]; }
  // Returns the requests counted since the last call, and adds them to the local leader's
  // demand.
  std::vector<KeyCount> DrainRequestCounts();

  // Runs the leader's periodic work and executes its actions.
  void Tick(const EndpointFleet& fleet, const StoreView& view, Instant now);
  // Gives up leadership.
  void StepDown() { leader_.StepDown(); }

  bool is_leader() const { return leader_.leading(); }
  // While leading: how many keys endpoints of evacuated failure domains own.
  std::size_t evacuated_keys_left() const { return leader_.evacuated_keys_left(); }
  const KeyRoutes& routes() const { return routes_; }
  // The keys for which a request recently timed out waiting for an owner.
  UnservedKeys& unserved() { return unserved_; }
  // Returns the parts of the next announcement for so many other daemons; empty if none is due.
  std::vector<AnnouncementPart> PrepareAnnouncements(std::size_t peers, Instant now);

 private:
  // Execute one action of the leader.
  void Execute(const WriteOwnership& action);
  void Execute(const SendGrant& action);
  void Execute(const SendRelease& action);
  void Execute(const HandOver& action);
  void Execute(const RoutesChanged& action);
  void Execute(const LeaderDecision& action);

  std::string RecordKey() const;
  void ExecuteActions();
  KeyAnnouncement BuildAnnouncement(std::size_t peers, Instant now);
  std::vector<AnnouncementPart> SplitIntoParts(const KeyAnnouncement& announcement) const;
  // An order that waits for its result.
  struct SentOrder {
    std::uint64_t order = 0;
    // The id in the message.
    std::string id;
    bool is_release = false;
    InstanceId endpoint;
    KeyRange range;
    Instant sent_at;
    ConnectionPool::CallHandle connection = {};
  };

  // The id of an order in its message; no other order or request has it.
  std::string OrderId(std::uint64_t order) const;
  void SendOrder(SentOrder order, const NetworkAddress& address, OutgoingMessage message,
                 std::chrono::milliseconds timeout);
  void HandleOrderResult(const SentOrder& order, const CallResult& result);
  // Returns the answer's reply; empty if the answer is for another order.
  std::optional<OrderReply> ReplyFromAnswer(const SentOrder& order, const HttpAnswer& answer) const;
  void LogOrderResult(const SentOrder& order, const CallResult& result, Instant now) const;

  const KeyLeaderSettings settings_;
  Store& store_;
  ConnectionPool& pool_;
  const OrderFormat& order_format_;
  EndpointObserver& endpoint_observer_;
  // The ids of orders count up from here.
  const std::uint64_t first_order_id_;
  KeyLeader leader_;
  KeyRoutes routes_;
  UnservedKeys unserved_;
  // The record in the store, and the revision of its head.
  EncodedRecord stored_record_;
  Revision stored_revision_;
  // The revision of the latest complete record; older items are ignored.
  Revision complete_revision_;
  bool stored_record_changed_ = true;
  std::map<KeyNumber, std::uint32_t> request_counts_;
  std::uint64_t announcement_sequence_ = 0;
  std::optional<LeadershipHandOver> pending_hand_over_;
  bool routes_changed_ = false;
  Instant next_announcement_at_;
  Instant repeat_announcement_at_;
  Instant next_full_announcement_at_;
  // The latest full announcement by this daemon, the base of later changes.
  KeyAnnouncement last_full_announcement_;
  // The announcement being received, and the indices of the parts received so far.
  KeyAnnouncement received_announcement_;
  std::set<std::uint16_t> received_parts_;
  // The daemon that last announced owners, and when.
  InstanceId announcer_;
  Instant announcer_heard_at_;
  ComponentLog log_{"keys"};
};

}  // namespace sycamorestall

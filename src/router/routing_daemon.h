#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "config/router_settings.h"
#include "core/endpoint_history.h"
#include "core/peer_schedule.h"
#include "core/unconfirmed_entries.h"
#include "core/watcher_choice.h"
#include "net/caller_listener.h"
#include "router/crash_registry.h"
#include "router/daemon_registry.h"
#include "router/daemon_transport.h"
#include "router/endpoint_hashes.h"
#include "router/evacuation_registry.h"
#include "router/health_checker.h"
#include "router/key_service.h"
#include "router/memory_reporter.h"
#include "router/request_relay.h"
#include "router/store_update_relay.h"
#include "store/operator_watch.h"
#include "store/store_watcher.h"
#include "store/update_request_schedule.h"

namespace sycamorestall {

// The formats of requests, key orders, health checks and store items.
struct Formats {
  const RequestFormat& requests;
  const OrderFormat& orders;
  const HealthFormat& health;
  const DirectoryFormat& directory;
};

// Routes callers' requests to endpoints by the operator's configuration. One event loop
// on one thread serves callers, endpoints, the store and the other daemons.
class RoutingDaemon : private StoreObserver, private KeyDirectory, private EndpointObserver {
 public:
  // Creates the store client, which uses the daemon's connection pool.
  using StoreFactory = std::function<std::unique_ptr<Store>(ConnectionPool&)>;

  // Binds the configured addresses; throws boost::system::system_error if that fails.
  RoutingDaemon(RouterSettings settings, const Formats& formats, const StoreFactory& make_store);
  ~RoutingDaemon() override;

  // Serves until SIGTERM or SIGINT has stopped the daemon.
  void Run();

 private:
  // The last state reported by another daemon.
  struct PeerState {
    Instant heard_at;
    DomainName domain;
    bool stopping = false;
    bool store_unreachable = false;
    std::vector<EndpointLoad> loads;
    // Loads of endpoints that this daemon has not seen listed yet.
    std::vector<HashedLoad> unknown_loads;
    // The revision up to which it knows the store.
    Revision store_revision;
    bool knows_recent_changes = false;
    double weight = 0;
  };

  // Daemons whose registration has lapsed count as long as they were heard this recently.
  static constexpr std::chrono::milliseconds kUnregisteredPeerTimeToLive{10000};
  // A daemon reports the store as unreachable after this time; it then cannot lead.
  static constexpr std::chrono::milliseconds kStoreUnreachableDelay{600};

  class RequestHandler;
  class ReadinessHandler;
  class MetricsHandler;

  void ApplyChanges(const Store::Changes& changes, const StoreStateOrigin& origin) override;
  void HandleStoreCall(const StoreCallRecord& call) override;
  void HandleReachability(bool reachable, const std::string& reason) override;
  std::optional<InstanceId> OwnerOf(const ServiceName& service, KeyNumber key,
                                    Instant now) const override;
  bool IsOwnerExpectedSoon(const ServiceName& service, KeyNumber key, Instant now) const override;
  void ReportOwnerWaitTimeout(const ServiceName& service, KeyNumber key, Instant now) override;
  void CountRequest(const ServiceName& service, KeyNumber key) override;
  void ReportNotOwner(const ServiceName& service, KeyNumber key,
                      const InstanceId& endpoint) override;
  void HandleNotice(const InstanceId& endpoint, const EndpointNotice& notice, Instant sent_at,
                    Instant now) override;

  // Drops what was to be relayed of the changes of earlier eras.
  void BeginEra(Revision revision, Instant now);
  // What applying an item did, and so what the other daemons of the domain have to be told:
  // nothing, the item, or that it is gone.
  enum class ItemEffect { kNone, kChanged, kRemoved };
  ItemEffect ApplyItem(const StoreItem& item, const StoreStateOrigin& origin, Instant now);
  ItemEffect ApplyEndpoint(const StoreItem& item, const StoreStateOrigin& origin, Instant now);
  // Counts and logs an entry whose age was in doubt.
  void LogEndpointEntry(const std::string& what, const EndpointEntry& entry, Revision revision,
                        EntryAge age);
  // Adds an endpoint to the fleet or replaces its entry. Returns whether that changed anything but
  // the progress of its warm-up.
  bool ListEndpoint(const EndpointEntry& entry, Revision revision, Instant now);
  // Lists the endpoints whose entries were held back and are confirmed now.
  void ConfirmEndpoints(Instant now);
  // Checks the health of endpoints whose entries are held back, where that can confirm them.
  void CheckUnconfirmedEndpoints(Instant now);
  // Lists an endpoint that is healthy if the entry is still held back.
  void ConfirmHealthyEndpoint(const EndpointEntry& entry);
  // Notes how recent what is known of the store is.
  void NoteStoreAnswer(Instant now);
  // Whether the store has just answered again after a silence, in which it may have lost entries of
  // endpoints that could not renew them.
  bool WasStoreSilent(Instant now) const;
  // Handles an entry that names no endpoint to use: it counts as removed.
  ItemEffect RejectEndpoint(const StoreItem& item, const std::string& reason,
                            const StoreStateOrigin& origin, Instant now);
  ItemEffect ApplyConfig(const StoreItem& item, const StoreStateOrigin& origin, Instant now);
  ItemEffect RemoveItem(const StoreItem& item, const StoreStateOrigin& origin, Instant now);
  void RemoveEndpoint(const InstanceId& id, Instant now);
  // Notes the removal of an endpoint's entry, and why it is gone.
  void RecordRemoval(const InstanceId& id, RemovalCause cause, Instant now);
  // Notes that the listed run of an endpoint has ended.
  void RecordEndpointEnd(const InstanceId& id, Instant now);
  // Removes the endpoints that have not returned since the store lost their entries.
  void RemoveMissingEndpoints(Instant now);
  void ApplyRecordItem(const StoreItem& item);
  void ApplyRecords(Instant now);
  void AddKeyServices();
  // What this daemon does of the watching of the store for its domain.
  StoreWatchRole ChooseWatchRole(Instant now) const;
  // Whether this daemon leads any service; a leader always watches the store itself.
  bool LeadsAnyService() const;
  // Forwards store updates to the other daemons of the domain.
  void SendStoreUpdates(Instant now);
  // The other daemons of the domain, with the revision that each has confirmed. For one that is
  // not heard, the revision of some seconds ago is taken for confirmed.
  std::map<InstanceId, Revision> Followers(Instant now) const;
  void HandleMessage(const DaemonMessage& message);
  // Handle the parts of a message: what its sender says of itself, what concerns the owners of
  // keys, and what it reports of endpoints.
  void HandleGossip(const DaemonMessage& message, Instant now);
  void HandleKeyMessages(const DaemonMessage& message, Instant now);
  void HandleEndpointReports(const DaemonMessage& message, Instant now);
  // The strongest daemon that reaches the store and knows more of it than this one, of the own
  // domain if there is one; empty if none is heard.
  std::optional<InstanceId> FindInformedPeer(Instant now) const;
  // Asks another daemon for store updates that did not arrive.
  void RequestMissingUpdates(Instant now);
  void HandleStoreUpdate(const StoreUpdate& update, const InstanceId& sender, Instant now);
  // Logs a change of the operator's that peers have known for some time, and why it is missing.
  void LogMissingChange(Instant now);
  // Logs that the event loop was held up.
  void LogStall(Instant now);
  // Runs the event loop until it is stopped. An error that leaves a handler ends what that handler
  // was doing, not the daemon.
  void RunEventLoop();
  // Logs and counts an error that left a handler.
  void HandleUncaughtError(const char* handler, const std::exception& error);
  void StartRequest(std::shared_ptr<CallerExchange> exchange);
  void Tick();
  void TickKeyServices(Instant now);
  // Sends what is due to the other daemons.
  void SendMessages(Instant now);
  // Tells the limiter of cold endpoints which daemons there are.
  void UpdateColdLimiter(Instant now);
  // Tells the fleet what the endpoints of the configured services bear when cold.
  void ApplyColdTerms();
  // Tells which services the configuration names.
  void ApplyServices();
  void LogIfCold(const EndpointEntry& entry, const std::string& reason, Instant now);
  void SendAnnouncements(Instant now);
  // Sends the requests for keys counted here, and reports of endpoints that do not hold theirs, to
  // the leaders of the keys.
  void SendToLeaders(Instant now);
  // The service times measured here since the last call.
  std::vector<EndpointTimes> DrainServiceTimes(const ServiceName& service);
  void SendGossip(Instant now);
  // The reports of endpoints that the other daemons cannot know from the list to be draining.
  std::vector<DrainReport> DrainReports() const;
  // This daemon's requests in flight, in the form of gossip.
  void AddLoads(DaemonMessage& message);
  // Appends the loads whose endpoints are listed. Returns the others.
  std::vector<HashedLoad> ResolveLoads(const std::vector<HashedLoad>& hashed,
                                       std::vector<EndpointLoad>& loads) const;
  // Counts the requests that a peer has in flight, in place of those that it reported before.
  void ReplacePeerLoads(const std::vector<EndpointLoad>& earlier,
                        const std::vector<EndpointLoad>& latest);
  // Counts the requests that all peers have in flight, leaving out those that are not heard.
  void UpdatePeerLoads(Instant now);
  // The requests that heard peers have in flight across the border of the own domain.
  std::map<ServiceName, CrossDomainLoad> CrossDomainLoads(Instant now) const;
  // The daemons to send messages to: registered ones, and those whose registration lapsed
  // but which were heard recently.
  std::map<InstanceId, NetworkAddress> CurrentPeers(Instant now);
  // How often daemons exchange messages at their present number.
  PeerSchedule Schedule() const { return PeerScheduleFor(relay_context_.daemon_count); }
  // Whether what a peer last reported is considered current.
  bool IsHeard(const PeerState& peer, Instant now) const {
    return now - peer.heard_at < Schedule().state_time_to_live;
  }
  void HandOverLeadership(Instant now);
  // The strongest daemon that is heard and not stopping; empty if there is none.
  std::optional<InstanceId> ChooseSuccessor(Instant now) const;
  void BeginStop(Instant now);
  void ContinueStop(Instant now);
  // Answers all requests that are still open.
  void GiveUpOpenRequests(Instant now);
  bool IsReady() const;
  // Updates the metrics that are computed on request.
  void UpdateGauges();
  void ScheduleTick();
  void AwaitSignal();

  const RouterSettings settings_;
  const Formats formats_;
  boost::asio::io_context context_{1};
  // Of what callers and endpoints make the daemon hold.
  const std::shared_ptr<MemoryAccount> memory_;
  ConnectionPool pool_;
  std::unique_ptr<Store> store_;
  StoreWatcher store_watcher_;
  OperatorWatch operator_watch_;
  // When the store gave the answer behind what was known at the latest tick.
  Instant store_answered_at_;
  // When the store last answered again after a silence.
  std::optional<Instant> store_silence_ended_at_;
  // The era of the applied items.
  StoreEra store_era_;
  bool watches_for_domain_ = true;
  DaemonRegistry registry_;
  CrashingRequests crashing_requests_;
  CrashRegistry crash_registry_;
  DaemonTransport transport_;
  Metrics metrics_;
  StoreUpdateRelay update_relay_{settings_.instance, store_watcher_, transport_, metrics_,
                                 [this](const std::string& text) { log_.Info(text); }};
  UpdateRequestSchedule update_requests_;
  // The latest missing change of the operator's that was logged.
  Revision logged_missing_change_;
  EndpointFleet fleet_;
  EndpointHashes endpoint_hashes_;
  EndpointHistory endpoint_history_;
  UnconfirmedEntries unconfirmed_entries_;
  HealthChecker health_checker_;
  // Endpoints whose entries the store lost, and when they count as gone.
  std::map<InstanceId, Instant> missing_endpoints_;
  // The keys of entries that name no endpoint to use.
  std::set<std::string> malformed_endpoints_;
  DomainReachability domains_;
  ColdStartLimiter cold_limiter_;
  CrossDomainPolicy cross_domain_{settings_.domain};
  CrossDomainChooser chooser_{cross_domain_};
  SlidingWindowRetryBudget retry_budget_;
  ComponentLog request_log_{"request"};
  ComponentLog log_{"daemon"};
  EvacuationRegistry evacuations_;
  RequestReporter request_reporter_;
  MemoryReporter memory_reporter_;
  RelayContext relay_context_;
  std::shared_ptr<RouteTable> routes_;
  std::map<ServiceName, std::unique_ptr<KeyService>> key_services_;
  // Items of ownership records by store key, kept for services that a later configuration
  // may add.
  std::map<std::string, StoreItem> record_items_;
  std::vector<std::shared_ptr<RequestRelay>> active_relays_;
  std::map<InstanceId, PeerState> peer_states_;
  // The last registered address of each daemon.
  std::map<InstanceId, NetworkAddress> peer_addresses_;
  // Endpoints that reported a load which cannot be; each is logged once.
  std::set<InstanceId> endpoints_with_ignored_load_;
  std::vector<NotOwnerReport> not_owner_reports_;
  Instant last_tick_at_;
  Instant next_gossip_at_;
  Instant next_demand_at_;
  Instant next_key_tick_at_;
  Instant next_cold_update_at_;
  Instant next_timeout_check_at_;
  Instant next_cross_domain_update_at_;
  std::optional<Instant> stop_requested_at_;
  boost::asio::steady_timer timer_;
  boost::asio::signal_set signals_;
  std::unique_ptr<RequestHandler> request_handler_;
  std::unique_ptr<ReadinessHandler> readiness_handler_;
  std::unique_ptr<MetricsHandler> metrics_handler_;
  std::unique_ptr<CallerListener> caller_listener_;
  std::unique_ptr<CallerListener> readiness_listener_;
  std::unique_ptr<CallerListener> metrics_listener_;
};

}  // namespace sycamorestall

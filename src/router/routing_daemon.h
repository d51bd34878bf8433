#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>

#include "config/router_settings.h"
#include "net/caller_listener.h"
#include "router/daemon_link.h"
#include "router/daemon_registry.h"
#include "router/key_service.h"
#include "router/request_relay.h"
#include "store/store_mirror.h"
#include "store/store_news.h"

namespace sycamorestall {

// How the daemon speaks with what is around it.
struct Formats {
  const RequestFormat& requests;
  const OrderFormat& orders;
  const DirectoryFormat& directory;
};

// The daemon that routes by the operator's routes: one event loop on one thread
// for callers, endpoints, the store and the other daemons.
class RoutingDaemon : private StoreObserver, private KeyDirectory {
 public:
  // The store is made by a function, as it needs the daemon's connections.
  using StoreFactory = std::function<std::unique_ptr<Store>(ConnectionPool&)>;

  RoutingDaemon(RouterSettings settings, const Formats& formats, const StoreFactory& make_store);
  ~RoutingDaemon() override;

  // Serves until a signal ends it.
  void Run();

 private:
  // For how long what another daemon said of itself is taken to hold.
  static constexpr std::chrono::milliseconds kPeerLoadLife{1000};

  class Callers;
  class Readiness;
  class MetricsPage;

  void ApplyContents(const Store::Contents& contents) override;
  void ApplyChanges(const Store::Changes& changes) override;
  void HandleReachability(bool reachable, const std::string& reason) override;
  std::optional<InstanceId> OwnerOf(const ServiceName& service, KeyNumber key,
                                    Instant now) const override;
  bool IsWorthWaiting(const ServiceName& service, KeyNumber key, Instant now) const override;
  void ReportUnserved(const ServiceName& service, KeyNumber key, Instant now) override;
  void CountRequest(const ServiceName& service, KeyNumber key) override;
  void ReportDenial(const ServiceName& service, KeyNumber key, const InstanceId& endpoint) override;

  // These say whether the item told something new.
  bool TakeItem(const StoreItem& item, Instant now);
  bool TakeEndpoint(const StoreItem& item, Instant now);
  bool TakeConfig(const std::string& text);
  bool RemoveItem(const std::string& key);
  void TakeRecordItem(const StoreItem& item);
  void FinishItems(Instant now);
  void AddKeyServices();
  // Whether this daemon watches the store for its domain.
  bool WatchesForDomain(Instant now) const;
  // Whether it watches for itself at least, as it leads keys.
  bool LeadsKeys() const;
  // Passes on what was heard from the store to the other daemons of the domain.
  void SendNews(Instant now);
  void TakeMessage(const DaemonMessage& message);
  void HandleRequest(std::shared_ptr<CallerExchange> exchange);
  void Tick();
  void TickKeys(Instant now);
  void Gossip(Instant now);
  void SumPeerLoads(Instant now);
  // Daemons to speak to: the registered ones, and those whose registration lapsed
  // but who are still heard.
  std::map<InstanceId, NetworkAddress> Peers(Instant now);
  // How much longer the times between messages are than between few daemons.
  std::size_t GossipFactor() const;
  Duration GossipInterval() const;
  void HandOverLeads(Instant now);
  // The daemon heard last among those that go on.
  std::optional<InstanceId> Heir(Instant now) const;
  void BeginStop(Instant now);
  void ContinueStop(Instant now);
  bool Ready() const;
  // Sets the figures that are worked out when they are asked for.
  void FillMetrics();
  void ScheduleTick();
  void AwaitSignal();

  const RouterSettings settings_;
  const Formats formats_;
  boost::asio::io_context context_{1};
  ConnectionPool pool_;
  std::unique_ptr<Store> store_;
  StoreWatcher mirror_;
  StoreUpdateBatcher news_;
  bool watches_for_domain_ = true;
  Instant next_news_;
  DaemonRegistry registry_;
  DaemonLink link_;
  EndpointFleet fleet_;
  DomainWatch domains_;
  ShortestAnswerChooser chooser_;
  RetryAllowance retries_;
  Metrics metrics_;
  ComponentLog request_log_{"request"};
  ComponentLog log_{"daemon"};
  RelayContext relay_context_;
  std::shared_ptr<RouteTable> routes_;
  std::map<ServiceName, std::unique_ptr<KeyService>> keys_;
  // Parts of the records of services, which the configuration may not have named
  // yet, by key.
  std::map<std::string, StoreItem> records_;
  std::vector<std::shared_ptr<RequestRelay>> relays_;
  // What each other daemon said last of its load.
  struct PeerLoad {
    Instant heard_at;
    DomainName domain;
    bool stopping = false;
    bool without_store = false;
    std::vector<EndpointLoad> loads;
  };
  std::map<InstanceId, PeerLoad> peer_loads_;
  // Where daemons are or were registered.
  std::map<InstanceId, NetworkAddress> peer_addresses_;
  std::vector<KeyDenial> denials_;
  Instant next_gossip_;
  Instant next_key_tick_;
  Instant next_timeout_check_;
  std::optional<Instant> stopping_since_;
  boost::asio::steady_timer timer_;
  boost::asio::signal_set signals_;
  std::unique_ptr<Callers> callers_;
  std::unique_ptr<Readiness> readiness_;
  std::unique_ptr<MetricsPage> metrics_page_;
  std::unique_ptr<CallerListener> caller_listener_;
  std::unique_ptr<CallerListener> readiness_listener_;
  std::unique_ptr<CallerListener> metrics_listener_;
};

}  // namespace sycamorestall

#pragma once

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "app/config_manager.h"
#include "app/endpoint_client.h"
#include "app/event_loop.h"
#include "app/group_runner.h"
#include "app/ingress.h"
#include "config/settings.h"
#include "core/leadership.h"
#include "core/membership.h"
#include "metrics/metrics.h"
#include "peer/gossip_socket.h"
#include "peer/peer_network.h"
#include "platform/http_platform.h"

namespace sycamorestall {

class HttpFrontend;

// One daemon: owns all components, passes messages between them and the network,
// and decides which groups to lead. Runs on the event loop.
class Daemon : public PeerHandler, public GroupHost {
 public:
  explicit Daemon(Settings settings);
  ~Daemon() override;

  // Serves until a drain ends; returns the exit status of the process. Throws
  // std::exception when it cannot listen.
  int Run();
  // Starts a graceful stop: hands all groups over and finishes open requests.
  void Drain();

  std::string EndpointAddress(const InstanceId& endpoint) const override;
  void AnnounceLeader(const LeaderNotice& notice) override;
  void RequestStepDown(const GroupId& group, const sycamorestall::AskStepDown& action) override;

  void HandleMessage(const PeerSource& source, PeerMessage message) override;
  void HandleConnectionLost(const std::string& address, PeerChannel channel,
                            bool never_connected) override;

  // Passes the state of a key to the callback as JSON, asking its leader if another
  // daemon leads its group. The text is empty for an unknown service.
  void Explain(const ServiceName& service, const std::string& key,
               const std::function<void(std::string)>& callback);
  // Simulates a network partition from these domains, for tests; replaces the
  // earlier set.
  void SimulatePartition(std::set<DomainName> domains);

  const Settings& settings() const { return settings_; }
  const ProcessId& self() const { return membership_.self().process; }
  Membership& membership() { return membership_; }
  const LeadershipTable& leadership() const { return leadership_; }
  const std::map<GroupId, std::unique_ptr<GroupRunner>>& runners() const { return runners_; }
  const InstanceList& instances() const { return instances_; }
  ConfigManager& config() { return config_; }
  Ingress& ingress() { return *ingress_; }
  Metrics& metrics() { return metrics_; }
  EventLoop& loop() { return loop_; }
  bool draining() const { return draining_; }
  // Whether the load balancer may send callers here: the daemon is not draining, and
  // a customers document is in force.
  bool ready() const { return !draining_ && config_.versions().customers > 0; }

 private:
  void Handle(const PeerSource& source, ForwardRequest request);
  void Handle(const PeerSource& source, const ForwardReply& reply);
  void Handle(const PeerSource& source, const CancelForward& cancel);
  void Handle(const PeerSource& source, const StepDownRequest& request);
  void Handle(const PeerSource& source, const StepDownReply& reply);
  void Handle(const PeerSource& source, const GroupHandOver& hand_over);
  void Handle(const PeerSource& source, const ClusterStateRequest& request);
  void Handle(const PeerSource& source, const ClusterStateReply& reply);
  void Handle(const PeerSource& source, const ExplainRequest& request);
  void Handle(const PeerSource& source, const ExplainReply& reply);
  void Handle(const PeerSource& source, const PeerPing& ping);
  void Handle(const PeerSource& source, const PeerPong& pong);

  void HandleGossip(const GossipMessage& message);
  void UpdateInstances(InstanceList list);
  // Records the leader of a group, and announces it if the notice is newer.
  void ApplyLeaderNotice(const LeaderNotice& notice);
  // Reads the leaders of all groups from the store, once after the start.
  void ReadLeaders();
  void StartTick();
  void Tick();
  void ReadInstancesIfDue(Instant now);
  void ApplyLeadershipAdvice(Instant now);
  // Retries reads of the configuration, and chooses the daemon of this domain that
  // watches the store.
  void UpdateConfig(Instant now);
  void EndDrainIfDue(Instant now);
  void ExpireExplainRequests(Instant now);
  void UpdateMetricsIfDue(Instant now);
  // Resigns from a led group and asks the best-placed other daemon to take it over.
  void HandOverLeadership(GroupRunner& runner, Instant now);
  void SendGossip();
  // Whether SimulatePartition has cut this daemon off from the domain.
  bool IsPartitioned(const DomainName& domain) const {
    return partitioned_domains_.contains(domain);
  }

  const Settings settings_;
  EventLoop loop_;
  Metrics metrics_;
  HttpPlatform platform_;
  EndpointClient endpoints_;
  Membership membership_;
  LeadershipTable leadership_;
  ConfigManager config_;
  PeerNetwork network_;
  std::unique_ptr<GossipSocket> gossip_;
  std::map<GroupId, std::unique_ptr<GroupRunner>> runners_;
  std::unique_ptr<Ingress> ingress_;
  std::unique_ptr<HttpFrontend> frontend_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::signal_set signals_;

  InstanceList instances_;
  std::map<InstanceId, Instance> instances_by_id_;
  // Daemons that have been in the list of instances. One that is no longer listed has
  // ended and cannot lead.
  std::set<InstanceId> ever_listed_daemons_;
  // Requests that other daemons forwarded to this one and that are still open.
  struct PeerRequest {
    PeerSource source;
    std::uint64_t number = 0;
    GroupId group;
    RequestNumber runner_number;
  };
  std::map<std::uint64_t, PeerRequest> peer_requests_;
  std::uint64_t next_peer_request_number_ = 1;
  // Explain requests that a leader has not answered yet.
  struct PendingExplain {
    GroupId group;
    ShardId shard;
    std::string key;
    std::function<void(std::string)> callback;
    Instant deadline;
  };
  std::map<std::uint64_t, PendingExplain> pending_explains_;
  std::uint64_t next_explain_number_ = 1;
  std::set<DomainName> partitioned_domains_;
  // The membership generation to which the current store watcher belongs.
  std::uint64_t watcher_generation_ = 0;
  Instant next_instances_read_;
  Instant last_metrics_update_;
  Instant next_cluster_state_request_;
  Instant drain_started_;
  bool reading_instances_ = false;
  bool leaders_read_ = false;
  bool reading_leaders_ = false;
  bool draining_ = false;
  ComponentLog log_{"daemon"};
};

}  // namespace sycamorestall

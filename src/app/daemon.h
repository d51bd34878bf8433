#pragma once

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "app/config_keeper.h"
#include "app/endpoint_client.h"
#include "app/group_runner.h"
#include "app/ingress.h"
#include "app/loop.h"
#include "config/settings.h"
#include "core/leadership.h"
#include "core/membership.h"
#include "metrics/metrics.h"
#include "peer/gossip_socket.h"
#include "peer/peer_network.h"
#include "platform/http_platform.h"

namespace sycamorestall {

class HttpFrontend;

// One daemon: puts the parts together, carries messages between them and the
// network, and decides which groups to lead. Runs on the loop.
class Daemon : public PeerHandler, public GroupHost {
 public:
  explicit Daemon(Settings settings);
  ~Daemon() override;

  // Serves until told to stop; gives the process's exit status.
  int Run();
  // Begins a graceful stop: hands all groups over, finishes what is open.
  void Drain();

  std::string EndpointAddress(const InstanceId& endpoint) const override;
  void AnnounceLeader(const LeaderNotice& notice) override;
  void AskStepDown(const GroupId& group, const sycamorestall::AskStepDown& ask) override;

  void HandleMessage(const PeerSource& source, PeerMessage message) override;
  void HandleConnectionLost(const std::string& address, PeerChannel channel, bool refused) override;

  // Explains a key to the callback, as JSON, asking its leader if need be.
  void Explain(const ServiceName& service, const std::string& key,
               const std::function<void(std::string)>& callback);
  // Acts as if these domains, and perhaps the store, were cut off; for tests.
  void Cut(std::set<DomainName> domains);

  const Settings& settings() const { return settings_; }
  const ProcessId& self() const { return membership_.self().process; }
  Membership& membership() { return membership_; }
  const LeadershipTable& leadership() const { return leadership_; }
  const std::map<GroupId, std::unique_ptr<GroupRunner>>& runners() const { return runners_; }
  const InstanceList& instances() const { return instances_; }
  ConfigKeeper& config() { return config_; }
  Ingress& ingress() { return *ingress_; }
  Metrics& metrics() { return metrics_; }
  Loop& loop() { return loop_; }
  bool draining() const { return draining_; }
  // Whether callers may be sent here: not leaving, and with plans in force.
  bool ready() const { return !draining_ && config_.versions().customers > 0; }

 private:
  void Take(const PeerSource& source, ForwardRequest request);
  void Take(const PeerSource& source, const ForwardReply& reply);
  void Take(const PeerSource& source, const CancelForward& cancel);
  void Take(const PeerSource& source, const StepDownRequest& request);
  void Take(const PeerSource& source, const StepDownReply& reply);
  void Take(const PeerSource& source, const GroupHandOver& hand_over);
  void Take(const PeerSource& source, const ClusterStateRequest& request);
  void Take(const PeerSource& source, const ClusterStateReply& reply);
  void Take(const PeerSource& source, const ExplainRequest& request);
  void Take(const PeerSource& source, const ExplainReply& reply);
  void Take(const PeerSource& source, const PeerPing& ping);
  void Take(const PeerSource& source, const PeerPong& pong);

  void TakeGossip(const GossipMessage& message);
  void TakeInstances(InstanceList list);
  void LearnLeader(const LeaderNotice& notice);
  void ReadLeaders();
  void StartTick();
  void Tick();
  void TickList(Instant now);
  void TickLeadership(Instant now);
  void TickConfig(Instant now);
  void TickDrain(Instant now);
  void TickQuestions(Instant now);
  void TickMetrics(Instant now);
  void HandOverGroup(GroupRunner& runner, Instant now);
  void SendGossip();
  bool IsCut(const DomainName& domain) const { return cut_domains_.contains(domain); }

  const Settings settings_;
  Loop loop_;
  Metrics metrics_;
  HttpPlatform platform_;
  EndpointClient endpoints_;
  Membership membership_;
  LeadershipTable leadership_;
  ConfigKeeper config_;
  PeerNetwork network_;
  std::unique_ptr<GossipSocket> gossip_;
  std::map<GroupId, std::unique_ptr<GroupRunner>> runners_;
  std::unique_ptr<Ingress> ingress_;
  std::unique_ptr<HttpFrontend> frontend_;
  boost::asio::steady_timer timer_;
  boost::asio::signal_set signals_;

  InstanceList instances_;
  std::map<InstanceId, Instance> by_id_;
  std::set<InstanceId> daemons_seen_;
  // Requests of other daemons that are under way here.
  struct Served {
    PeerSource source;
    std::uint64_t number = 0;
    GroupId group;
    RequestNumber local;
  };
  std::map<std::uint64_t, Served> served_;
  std::uint64_t next_served_ = 1;
  // Questions to leaders that have not been answered yet.
  struct Question {
    GroupId group;
    ShardId shard;
    std::string key;
    std::function<void(std::string)> callback;
    Instant deadline;
  };
  std::map<std::uint64_t, Question> questions_;
  std::uint64_t next_explain_ = 1;
  std::set<DomainName> cut_domains_;
  std::uint64_t watch_generation_ = 0;
  Instant next_list_;
  Instant last_metrics_;
  Instant next_knowledge_;
  Instant drain_started_;
  bool list_open_ = false;
  bool leaders_read_ = false;
  bool leaders_open_ = false;
  bool draining_ = false;
  ComponentLog log_{"daemon"};
};

}  // namespace sycamorestall

#include <utility>

#include "app/caller_request.h"
#include "app/daemon.h"
#include "app/explain.h"
#include "clock/system_clock.h"
#include "core/shard_map.h"
#include "http/status.h"

namespace sycamorestall {

namespace {

// Time for a leader to answer an explain request; after it this daemon answers
// from its own state.
constexpr std::chrono::milliseconds kExplainTimeout{1000};

}  // namespace

void Daemon::HandleConnectionLost(const std::string& address, PeerChannel channel,
                                  bool never_connected) {
  const Instant now = BootNow();
  for (const Member& member : membership_.AliveMembers()) {
    if (member.address == address) {
      membership_.ProbeNow(now, member.process.instance);
    }
  }
  if (ingress_) {
    ingress_->HandleConnectionLost(address, channel, never_connected);
  }
}

void Daemon::HandleMessage(const PeerSource& source, PeerMessage message) {
  std::visit([this, &source](auto& each) { Handle(source, std::move(each)); }, message);
}

void Daemon::Handle(const PeerSource& source, ForwardRequest request) {
  const std::uint64_t number = request.number;
  const auto service = settings_.services.find(request.service);
  if (service == settings_.services.end() || request.shard.value >= service->second.shards) {
    network_.Reply(source,
                   ForwardReply{number,
                                MakeErrorAnswer(http::kServiceUnavailable, Outcome::kNotRun,
                                                "settings-differ", "the daemons' settings differ"),
                                std::nullopt});
    return;
  }
  const GroupId group{request.service, DomainOfShard(request.shard, service->second.domains)};
  const std::uint64_t peer_request = next_peer_request_number_++;
  peer_requests_[peer_request] = {source, number, group, {}};
  const RequestNumber runner_number =
      runners_.at(group)->HandleRequest(std::move(request), [this, peer_request](Answer answer) {
        const auto found = peer_requests_.find(peer_request);
        if (found == peer_requests_.end()) {
          return;
        }
        ForwardReply reply{found->second.number, std::move(answer), std::nullopt};
        const LeaderNotice* notice = leadership_.Find(found->second.group);
        if (reply.answer.reason == "not-leader" && notice != nullptr) {
          reply.leader = *notice;
        }
        network_.Reply(found->second.source, reply);
        peer_requests_.erase(found);
      });
  const auto still_open = peer_requests_.find(peer_request);
  if (still_open != peer_requests_.end()) {
    still_open->second.runner_number = runner_number;
  }
}

void Daemon::Handle(const PeerSource&, const ForwardReply& reply) {
  if (reply.leader) {
    ApplyLeaderNotice(*reply.leader);
  }
  ingress_->HandleReply(reply);
}

void Daemon::Handle(const PeerSource& source, const CancelForward& cancel) {
  for (auto each = peer_requests_.begin(); each != peer_requests_.end(); ++each) {
    const bool same_source =
        !each->second.source.owner_before(source) && !source.owner_before(each->second.source);
    if (each->second.number == cancel.number && same_source) {
      runners_.at(each->second.group)->Cancel(each->second.runner_number);
      peer_requests_.erase(each);
      return;
    }
  }
}

void Daemon::Handle(const PeerSource& source, const StepDownRequest& request) {
  const auto runner = runners_.find(request.group);
  if (runner == runners_.end() || request.earlier_leader.instance != settings_.instance) {
    return;
  }
  ApplyLeaderNotice({request.group, request.term, request.leader});
  runner->second->ObserveTerm(BootNow(), {request.group, request.term, request.leader});
  const bool has_restarted = request.earlier_leader.incarnation != self().incarnation;
  const bool has_stepped_down =
      runner->second->idle() || runner->second->leader().term() > request.term;
  if (has_restarted || has_stepped_down) {
    network_.Reply(source, StepDownReply{request.group, request.term, request.earlier_leader});
  }
}

void Daemon::Handle(const PeerSource&, const StepDownReply& reply) {
  const auto runner = runners_.find(reply.group);
  if (runner != runners_.end()) {
    runner->second->HandleStepDown(BootNow(), reply.earlier_leader);
  }
}

void Daemon::Handle(const PeerSource&, const GroupHandOver& hand_over) {
  const auto runner = runners_.find(hand_over.group);
  if (runner != runners_.end() && !draining_) {
    runner->second->Claim(BootNow());
  }
}

void Daemon::Handle(const PeerSource& source, const ClusterStateRequest& request) {
  ClusterStateReply reply;
  reply.leaders = leadership_.AllNotices();
  const ConfigVersions own_versions = config_.versions();
  if (own_versions.plans > request.known_versions.plans) {
    reply.plans = config_.StoredText(DocumentKind::kPlans);
  }
  if (own_versions.customers > request.known_versions.customers) {
    reply.customers = config_.StoredText(DocumentKind::kCustomers);
  }
  network_.Reply(source, reply);
}

void Daemon::Handle(const PeerSource&, const ClusterStateReply& reply) {
  for (const LeaderNotice& notice : reply.leaders) {
    ApplyLeaderNotice(notice);
  }
  if (!reply.plans.empty()) {
    config_.ApplyStoredText(DocumentKind::kPlans, reply.plans, std::nullopt);
  }
  if (!reply.customers.empty()) {
    config_.ApplyStoredText(DocumentKind::kCustomers, reply.customers, std::nullopt);
  }
}

void Daemon::Explain(const ServiceName& service, const std::string& key,
                     const std::function<void(std::string)>& callback) {
  const auto found = settings_.services.find(service);
  if (found == settings_.services.end()) {
    callback({});
    return;
  }
  const ShardId shard = ShardOfKey(key, found->second.shards);
  const GroupId group{service, DomainOfShard(shard, found->second.domains)};
  const LeaderNotice* notice = leadership_.Find(group);
  const Member* leader = notice == nullptr ? nullptr : membership_.Find(notice->leader.instance);
  const bool leader_is_remote = !runners_.at(group)->leads() && leader != nullptr;
  const std::uint64_t number = next_explain_number_++;
  const bool request_sent = leader_is_remote && network_.Send(leader->address, kControlChannel,
                                                              ExplainRequest{number, service, key});
  if (!request_sent) {
    callback(DescribeKey(*this, group, shard, key));
    return;
  }
  pending_explains_[number] = {group, shard, key, callback, BootNow() + kExplainTimeout};
}

void Daemon::ExpireExplainRequests(Instant now) {
  for (auto each = pending_explains_.begin(); each != pending_explains_.end();) {
    if (now < each->second.deadline) {
      ++each;
      continue;
    }
    const PendingExplain expired = std::move(each->second);
    each = pending_explains_.erase(each);
    expired.callback(DescribeKey(*this, expired.group, expired.shard, expired.key));
  }
}

void Daemon::Handle(const PeerSource& source, const ExplainRequest& request) {
  const auto found = settings_.services.find(request.service);
  if (found == settings_.services.end()) {
    return;
  }
  const ShardId shard = ShardOfKey(request.key, found->second.shards);
  const GroupId group{request.service, DomainOfShard(shard, found->second.domains)};
  network_.Reply(source,
                 ExplainReply{request.number, DescribeKey(*this, group, shard, request.key)});
}

void Daemon::Handle(const PeerSource&, const ExplainReply& reply) {
  const auto found = pending_explains_.find(reply.number);
  if (found == pending_explains_.end()) {
    return;
  }
  const auto callback = std::move(found->second.callback);
  pending_explains_.erase(found);
  callback(reply.text);
}

void Daemon::Handle(const PeerSource&, const PeerPing&) {}

void Daemon::Handle(const PeerSource&, const PeerPong&) {}

}  // namespace sycamorestall

#include <utility>

#include "app/caller_request.h"
#include "app/daemon.h"
#include "app/explain.h"
#include "clock/system_clock.h"
#include "core/shard_map.h"
#include "http/status.h"

namespace sycamorestall {

namespace {

// How long a leader may take to explain a key before this daemon says what it
// knows itself.
constexpr std::chrono::milliseconds kQuestionPatience{1000};

}  // namespace

void Daemon::LinkLost(const std::string& address, PeerChannel channel, bool refused) {
  const Instant now = BootNow();
  for (const Member& member : membership_.AliveMembers()) {
    if (member.address == address) {
      membership_.ProbeNow(now, member.process.instance);
    }
  }
  if (ingress_) {
    ingress_->LinkLost(address, channel, refused);
  }
}

void Daemon::TakeMessage(const PeerSource& source, PeerMessage message) {
  std::visit([this, &source](auto& each) { Take(source, std::move(each)); }, message);
}

void Daemon::Take(const PeerSource& source, ForwardRequest request) {
  const std::uint64_t number = request.number;
  const auto service = settings_.services.find(request.service);
  if (service == settings_.services.end() || request.shard.value >= service->second.shards) {
    network_.Reply(source,
                   ForwardReply{number,
                                MakeRefusal(http::kServiceUnavailable, Outcome::kNotRun,
                                            "settings-differ", "the daemons' settings differ"),
                                std::nullopt});
    return;
  }
  const GroupId group{request.service, DomainOfShard(request.shard, service->second.domains)};
  const std::uint64_t served = next_served_++;
  served_[served] = {source, number, group, {}};
  const RequestNumber local =
      runners_.at(group)->Take(std::move(request), [this, served](Answer answer) {
        const auto found = served_.find(served);
        if (found == served_.end()) {
          return;
        }
        ForwardReply reply{found->second.number, std::move(answer), std::nullopt};
        const LeaderNotice* notice = leadership_.Find(found->second.group);
        if (reply.answer.reason == "not-leader" && notice != nullptr) {
          reply.leader = *notice;
        }
        network_.Reply(found->second.source, reply);
        served_.erase(found);
      });
  const auto still_open = served_.find(served);
  if (still_open != served_.end()) {
    still_open->second.local = local;
  }
}

void Daemon::Take(const PeerSource&, const ForwardReply& reply) {
  if (reply.leader) {
    LearnLeader(*reply.leader);
  }
  ingress_->TakeReply(reply);
}

void Daemon::Take(const PeerSource& source, const CancelForward& cancel) {
  for (auto each = served_.begin(); each != served_.end(); ++each) {
    const bool same_source =
        !each->second.source.owner_before(source) && !source.owner_before(each->second.source);
    if (each->second.number == cancel.number && same_source) {
      runners_.at(each->second.group)->Cancel(each->second.local);
      served_.erase(each);
      return;
    }
  }
}

void Daemon::Take(const PeerSource& source, const StepDownRequest& request) {
  const auto runner = runners_.find(request.group);
  if (runner == runners_.end() || request.earlier.instance != settings_.instance) {
    return;
  }
  LearnLeader({request.group, request.term, request.leader});
  runner->second->HearOfTerm(BootNow(), {request.group, request.term, request.leader});
  const bool other_start = request.earlier.incarnation != self().incarnation;
  const bool sends_none = runner->second->idle() || runner->second->leader().term() > request.term;
  if (other_start || sends_none) {
    network_.Reply(source, StepDownReply{request.group, request.term, request.earlier});
  }
}

void Daemon::Take(const PeerSource&, const StepDownReply& reply) {
  const auto runner = runners_.find(reply.group);
  if (runner != runners_.end()) {
    runner->second->TakeStepDown(BootNow(), reply.earlier);
  }
}

void Daemon::Take(const PeerSource&, const HandOver& hand_over) {
  const auto runner = runners_.find(hand_over.group);
  if (runner != runners_.end() && !draining_) {
    runner->second->Claim(BootNow());
  }
}

void Daemon::Take(const PeerSource& source, const KnowledgeRequest& request) {
  KnowledgeReply reply;
  reply.leaders = leadership_.AllNotices();
  const ConfigVersions mine = config_.versions();
  if (mine.plans > request.have.plans) {
    reply.plans = config_.Text(DocumentKind::kPlans);
  }
  if (mine.customers > request.have.customers) {
    reply.customers = config_.Text(DocumentKind::kCustomers);
  }
  network_.Reply(source, reply);
}

void Daemon::Take(const PeerSource&, const KnowledgeReply& reply) {
  for (const LeaderNotice& notice : reply.leaders) {
    LearnLeader(notice);
  }
  if (!reply.plans.empty()) {
    config_.Take(DocumentKind::kPlans, reply.plans, std::nullopt);
  }
  if (!reply.customers.empty()) {
    config_.Take(DocumentKind::kCustomers, reply.customers, std::nullopt);
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
  const bool ask = !runners_.at(group)->leads() && leader != nullptr;
  const std::uint64_t number = next_explain_++;
  const bool asked =
      ask && network_.Send(leader->address, kControlChannel, ExplainRequest{number, service, key});
  if (!asked) {
    callback(ExplainKey(*this, group, shard, key));
    return;
  }
  questions_[number] = {group, shard, key, callback, BootNow() + kQuestionPatience};
}

void Daemon::TickQuestions(Instant now) {
  for (auto each = questions_.begin(); each != questions_.end();) {
    if (now < each->second.deadline) {
      ++each;
      continue;
    }
    const Question late = std::move(each->second);
    each = questions_.erase(each);
    late.callback(ExplainKey(*this, late.group, late.shard, late.key));
  }
}

void Daemon::Take(const PeerSource& source, const ExplainRequest& request) {
  const auto found = settings_.services.find(request.service);
  if (found == settings_.services.end()) {
    return;
  }
  const ShardId shard = ShardOfKey(request.key, found->second.shards);
  const GroupId group{request.service, DomainOfShard(shard, found->second.domains)};
  network_.Reply(source,
                 ExplainReply{request.number, ExplainKey(*this, group, shard, request.key)});
}

void Daemon::Take(const PeerSource&, const ExplainReply& reply) {
  const auto found = questions_.find(reply.number);
  if (found == questions_.end()) {
    return;
  }
  const auto callback = std::move(found->second.callback);
  questions_.erase(found);
  callback(reply.text);
}

void Daemon::Take(const PeerSource&, const LinkPing&) {}

void Daemon::Take(const PeerSource&, const LinkPong&) {}

}  // namespace sycamorestall

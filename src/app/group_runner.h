#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "app/endpoint_client.h"
#include "app/loop.h"
#include "config/settings.h"
#include "core/dispatcher.h"
#include "core/group_leader.h"
#include "core/idempotency_table.h"
#include "core/retry_budget.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "peer/peer_message.h"
#include "platform/platform.h"

namespace sycamorestall {

// What a group's runner asks of the daemon around it.
class GroupHost {
 public:
  virtual ~GroupHost() = default;
  // The address of an endpoint; empty when it is unknown or cut off.
  virtual std::string EndpointAddress(const InstanceId& endpoint) const = 0;
  // Spreads that this daemon leads a group.
  virtual void AnnounceLeader(const LeaderNotice& notice) = 0;
  // Asks an earlier leader to step down.
  virtual void AskStepDown(const GroupId& group, const AskStepDown& ask) = 0;
};

// Carries out what the leader of one group decides, and takes the group's
// requests through their queue to the endpoints and back. Runs on the loop.
class GroupRunner {
 public:
  using ReplyFunction = std::function<void(Answer)>;

  // What a runner works with; all of it outlives the runner.
  struct Tools {
    Loop& loop;
    GroupHost& host;
    Platform& platform;
    EndpointClient& endpoints;
    Metrics& metrics;
  };

  GroupRunner(Tools tools, const Settings& settings, const GroupSettings& group, ProcessId self);

  // Takes a request; the reply comes once, on the loop.
  RequestNumber Take(ForwardRequest request, ReplyFunction reply);
  // The caller has left: the request is dropped or cancelled, without a reply.
  void Cancel(RequestNumber number);

  // Runs what time brings about.
  void Tick(Instant now);
  void Claim(Instant now);
  void Resign(Instant now, std::optional<ProcessId> next);
  void HearOfTerm(Instant now, const LeaderNotice& notice);
  void TakeInstances(Instant now, const InstanceList& list);
  void TakeStepDown(Instant now, const ProcessId& earlier);
  // Claims once an endpoint of the group has answered a probe.
  void ClaimIfReached(const InstanceList& list);

  bool leads() const { return leader_.phase() == LeaderPhase::kLeading; }
  bool idle() const { return leader_.phase() == LeaderPhase::kIdle; }
  const GroupLeader& leader() const { return leader_; }
  // Requests waiting and running.
  std::size_t waiting() const { return dispatcher_.waiting(); }
  std::size_t running() const { return dispatcher_.running(); }

 private:
  struct Work {
    ForwardRequest request;
    ReplyFunction reply;
    Instant arrived;
    Instant deadline;
    Instant dispatched;
    std::optional<ShardRoute> route;
    std::string address;
    std::uint64_t call = 0;
    int tries = 0;
    bool fresh_connection = false;
    bool caller_left = false;
  };

  void RunActions();
  void Run(const ReadRecord& action);
  void Run(const WriteRecord& action);
  void Run(const SendOrder& action);
  void Run(const AskStepDown& action);
  void Run(const LogMessage& action);
  void Run(const Resigned& action);

  std::optional<Answer> JudgeCommand(const ForwardRequest& request);
  bool PerhapsRunBefore(const ForwardRequest& request, Instant now) const;
  CommandId IdOf(const ForwardRequest& request) const;
  void Enqueue(RequestNumber number);
  void AbandonStranded(Instant now);
  void Pump();
  void Dispatch(const struct Dispatch& dispatch);
  void TakeResult(RequestNumber number, EndpointResult result);
  bool MayTryAgain(const Work& work, const EndpointResult& result, Instant now);
  void Finish(RequestNumber number, Answer answer);
  void Drop(const QueuedRequest& request, const char* reason, const char* message);
  Dispatcher::RouteLookup Routes() const;
  Duration ExpectedServiceTime() const;

  Tools tools_;
  const ServiceSettings service_;
  const std::string rank_name_;
  GroupLeader leader_;
  Dispatcher dispatcher_;
  IdempotencyTable commands_;
  RetryBudget retries_;
  ComponentLog log_;
  std::map<RequestNumber, Work> work_;
  RequestNumber next_number_{1};
  // Moving averages of how long requests take, and of how far they are off.
  Duration service_time_{};
  Duration service_deviation_{};
  Instant next_expiry_;
  bool probing_ = false;
};

}  // namespace sycamorestall

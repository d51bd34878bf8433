#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "app/endpoint_client.h"
#include "app/event_loop.h"
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

// Services of the daemon that a GroupRunner uses.
class GroupHost {
 public:
  virtual ~GroupHost() = default;
  // Returns the address of an endpoint; empty when it is unknown or behind a
  // simulated partition.
  virtual std::string EndpointAddress(const InstanceId& endpoint) const = 0;
  // Announces the leader of a group to the other daemons.
  virtual void AnnounceLeader(const LeaderNotice& notice) = 0;
  // Asks an earlier leader to send no more orders to the group.
  virtual void RequestStepDown(const GroupId& group, const AskStepDown& action) = 0;
};

// Executes the actions of one group's leader, and dispatches the group's requests
// to the endpoints. Runs on the event loop.
class GroupRunner {
 public:
  using ReplyCallback = std::function<void(Answer)>;

  // References that must outlive the runner.
  struct Dependencies {
    EventLoop& loop;
    GroupHost& host;
    Platform& platform;
    EndpointClient& endpoints;
    Metrics& metrics;
  };

  GroupRunner(Dependencies dependencies, const Settings& settings, const GroupSettings& group,
              ProcessId self);

  // Queues or refuses a request. Calls reply once on the event loop, possibly
  // before it returns. Returns the number for Cancel.
  RequestNumber HandleRequest(ForwardRequest request, ReplyCallback reply);
  // Drops or cancels the request of a caller that has disconnected, without a
  // reply.
  void Cancel(RequestNumber number);

  // Handles timeouts of the leader and deadlines of requests, and dispatches waiting
  // requests.
  void Tick(Instant now);
  // The following pass an event to the leader and execute its actions; see
  // GroupLeader.
  void Claim(Instant now);
  void Resign(Instant now, std::optional<ProcessId> successor);
  void ObserveTerm(Instant now, const LeaderNotice& notice);
  void UpdateInstances(Instant now, const InstanceList& list);
  void HandleStepDown(Instant now, const ProcessId& earlier);
  // Probes the group's endpoints and claims leadership if one of them answers.
  void ClaimIfReachable(const InstanceList& list);

  bool leads() const { return leader_.phase() == LeaderPhase::kLeading; }
  bool idle() const { return leader_.phase() == LeaderPhase::kIdle; }
  const GroupLeader& leader() const { return leader_; }
  // Number of requests waiting for a slot, and running on endpoints.
  std::size_t waiting() const { return dispatcher_.waiting(); }
  std::size_t running() const { return dispatcher_.running(); }

 private:
  // A request that has not been answered yet.
  struct PendingRequest {
    ForwardRequest request;
    ReplyCallback reply;
    Instant arrived_at;
    Instant deadline;
    // The latest attempt: its time, route, and the endpoint's address.
    Instant dispatched_at;
    std::optional<ShardRoute> route;
    std::string address;
    // Number of the call to the endpoint; 0 when none is in flight.
    std::uint64_t call_number = 0;
    int attempts = 0;
    bool fresh_connection = false;
    bool caller_left = false;
  };

  void ExecuteActions();
  void Execute(const ReadRecord& action);
  void Execute(const WriteRecord& action);
  void Execute(const SendOrder& action);
  void Execute(const AskStepDown& action);
  void Execute(const LogMessage& action);
  void Execute(const Resigned& action);

  // Returns the answer to a command that must not be dispatched; nothing for a new one.
  std::optional<Answer> CheckCommand(const ForwardRequest& request);
  bool MayHaveRunUnderEarlierLeader(const ForwardRequest& request, Instant now) const;
  CommandId CommandIdOf(const ForwardRequest& request) const;
  void Enqueue(RequestNumber number);
  // Abandons the calls of idempotent requests to endpoints whose lease may have expired.
  void AbandonCallsWithoutLease(Instant now);
  // Sends the requests that have a free slot.
  void DispatchWaiting();
  void SendToEndpoint(const struct Dispatch& dispatch);
  void HandleResult(RequestNumber number, EndpointResult result);
  bool ShouldRetry(const PendingRequest& pending, const EndpointResult& result, Instant now);
  void Finish(RequestNumber number, Answer answer);
  void RefuseDropped(const QueuedRequest& request, const char* reason, const char* message);
  Dispatcher::RouteLookup MakeRouteLookup() const;
  // Mean service time plus a margin of several mean deviations.
  Duration MaxExpectedServiceTime() const;

  Dependencies dependencies_;
  const ServiceSettings service_settings_;
  const std::string rank_name_;
  GroupLeader leader_;
  Dispatcher dispatcher_;
  IdempotencyTable commands_;
  RetryBudget retry_budget_;
  ComponentLog log_;
  std::map<RequestNumber, PendingRequest> pending_;
  RequestNumber next_number_{1};
  // Moving averages of the service time and of its deviation from the mean.
  Duration mean_service_time_{};
  Duration service_time_deviation_{};
  Instant next_command_expiry_;
  bool probing_ = false;
};

}  // namespace sycamorestall

#pragma once

#include <memory>
#include <set>

#include "core/admission.h"
#include "core/endpoint_choice.h"
#include "core/retry_allowance.h"
#include "core/route_table.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "net/caller_connection.h"
#include "net/connection_pool.h"
#include "router/formats.h"
#include "router/key_directory.h"

namespace sycamorestall {

// What all requests of a daemon share.
struct RelayContext {
  DomainName domain;
  EndpointFleet& fleet;
  DomainWatch& domains;
  const EndpointChooser& chooser;
  RetryAllowance& retries;
  ConnectionPool& pool;
  const RequestFormat& format;
  KeyDirectory& key_directory;
  const PartLog& log;
  Metrics& metrics;
  // Daemons that take requests, this one included.
  std::size_t daemon_count = 1;
};

// One request on its way from a caller to an endpoint and back.
class RequestRelay : public std::enable_shared_from_this<RequestRelay> {
 public:
  RequestRelay(RelayContext& context, std::shared_ptr<CallerExchange> exchange,
               std::shared_ptr<RouteTable> routes, Instant now);

  // Finds the route and offers the request to an endpoint.
  void Start(Instant now);
  // Tries again if it waits for its key's owner, and ends it when its time is up.
  void Tick(Instant now);
  // Whether the caller has its answer or has left.
  bool finished() const { return finished_; }

 private:
  // What a waiting request waits for.
  enum class State { kIdle, kWaitingForOwner, kWaitingToRetry, kAwaitingAnswer };

  void Dispatch(Instant now);
  void DispatchToOwner(Instant now);
  void Send(const EndpointState& endpoint, Instant now);
  void HandleCallResult(CallResult result, Instant now);
  void HandleAnswer(HttpAnswer answer, Instant now);
  void MarkDomainReachable(Instant now);
  // The endpoint says that it has not run the request.
  void HandleNotRun(bool may_retry_owner, Instant now);
  void HandleConnectFailure(const CallResult& result, Instant now);
  void HandleBrokenCall(const std::string& reason, bool stale_connection, Instant now);
  // Sends the request again, if that is allowed, to an endpoint that was not
  // excluded; false when it is not. Only what arrived counts as a retry.
  bool Retry(bool reached_endpoint, Instant now);
  // The same, to the owner of the request's key: at once if it was not reached, else
  // after a pause.
  bool ScheduleOwnerRetry(bool reached_endpoint, Instant now);
  // Whether the endpoint that the request went to is thought to have a free slot.
  bool OwnerHasFreeSlot() const;
  // The same, to another endpoint than the last.
  bool RetryOtherEndpoint(bool reached_endpoint, Instant now);
  void WaitForOwner(Instant now);
  void ForwardAnswer(HttpAnswer answer, Instant now);
  void AnswerFailure(const std::string& reason, Duration retry_after, Instant now);
  void AnswerLocally(unsigned status, const std::string& reason,
                     std::optional<Duration> retry_after, Instant now);
  void HandleCallerLeft();
  void FinishAttempt(EndpointEvidence result, Instant now);
  void RecordDecisionInputs(const EndpointState& endpoint, double expected_latency_s, Instant now);
  void CountOutcome(unsigned status, const std::string& reason);
  void LogOutcome(unsigned status, const std::string& reason, Instant now);
  bool IsSafe() const { return route_->kind == RequestKind::kSafe; }
  Duration TimeLeft(Instant now) const;
  PlaceRequest BuildAdmissionRequest(Instant now) const;

  RelayContext& context_;
  std::shared_ptr<CallerExchange> exchange_;
  std::shared_ptr<RouteTable> routes_;
  RequestAttributes attributes_;
  const Route* route_ = nullptr;
  ServiceName service_;
  bool routed_by_key_ = false;
  Instant arrived_at_;
  Instant deadline_;
  State state_ = State::kIdle;
  Instant owner_wait_began_at_;
  // The endpoint that has the request, and since when.
  InstanceId endpoint_;
  Instant sent_at_;
  // How full the endpoint was then.
  double queueing_factor_when_sent_ = 1;
  ConnectionPool::CallHandle call_;
  std::set<InstanceId> excluded_endpoints_;
  // How often the request was sent, and until when it pauses before the next time.
  int send_count_ = 0;
  Instant retry_at_;
  // How many endpoints the request has reached.
  int arrival_count_ = 0;
  bool may_have_run_ = false;
  bool finished_ = false;
  // What the latest decision went by, for the log.
  std::string decision_inputs_;
};

}  // namespace sycamorestall

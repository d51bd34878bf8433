#pragma once

#include <memory>
#include <optional>
#include <random>
#include <set>

#include "core/admission.h"
#include "core/crashing_requests.h"
#include "core/cross_domain_policy.h"
#include "core/endpoint_choice.h"
#include "core/owner_admission.h"
#include "core/route_table.h"
#include "core/sliding_window_retry_budget.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "net/caller_connection.h"
#include "net/connection_pool.h"
#include "router/endpoint_observer.h"
#include "router/formats.h"
#include "router/key_directory.h"
#include "router/request_reporter.h"

namespace sycamorestall {

// The state and collaborators shared by all requests of a daemon.
struct RelayContext {
  DomainName domain;
  EndpointFleet& fleet;
  DomainReachability& domains;
  const EndpointChooser& chooser;
  ColdStartLimiter& cold_limiter;
  CrossDomainPolicy& cross_domain;
  SlidingWindowRetryBudget& retry_budget;
  CrashingRequests& crashing_requests;
  ConnectionPool& pool;
  const RequestFormat& format;
  KeyDirectory& key_directory;
  EndpointObserver& endpoint_observer;
  const ComponentLog& log;
  Metrics& metrics;
  RequestReporter& reporter;
  OwnerAdmission owner_admission;
  // The number of daemons that accept requests, including this one.
  std::size_t daemon_count = 1;
  // How old the loads that they reported may be.
  Duration load_age{};
  // For choices made at random.
  std::mt19937_64 random{std::random_device{}()};
};

// Relays one request from a caller to an endpoint and the answer back, with retries.
class RequestRelay : public std::enable_shared_from_this<RequestRelay> {
 public:
  RequestRelay(RelayContext& context, std::shared_ptr<CallerExchange> exchange,
               std::shared_ptr<RouteTable> routes, Instant now);

  // Finds the route and dispatches the request, or answers it with an error.
  void Start(Instant now);
  // Refuses the request instead, as the daemon stops before it could be served.
  void RefuseWhileStopping(Instant now);
  // Ends the request with an answer, as the daemon is about to end.
  void GiveUpToStop(Instant now);
  // Dispatches again if the request waits for an owner or a retry, and ends it at its
  // deadline.
  void Tick(Instant now);
  // Whether the request was answered or its caller has left.
  bool finished() const { return finished_; }

 private:
  // What the request is waiting for.
  enum class State { kIdle, kWaitingForOwner, kWaitingToRetry, kAwaitingAnswer };

  // Sends the request to the chosen endpoint or the owner of its key, or fails it.
  void Dispatch(Instant now);
  void DispatchToOwner(Instant now);
  void Send(const EndpointState& endpoint, Instant now);
  // Lets go of the body if the request, which was sent, cannot be sent again.
  void HandleSent();
  void HandleCallResult(CallResult result, Instant now);
  void HandleAnswer(CallResult result, Instant now);
  void MarkDomainReachable(Instant now);
  // Handles an answer which says that the request was not run.
  void HandleNotRun(bool may_retry_owner, Instant now);
  void HandleConnectFailure(const CallResult& result, Instant now);
  // Handles a call without a valid answer: the request may have run.
  void HandleBrokenCall(const CallResult& result, const std::string& reason, Instant now);
  // Dispatches the request again, to an endpoint that is not excluded. Returns false if
  // that is not allowed. Consumes the retry budget only if the last attempt reached an
  // endpoint.
  bool Retry(bool reached_endpoint, Instant now);
  // For how long the request may not be sent, as it crashes the endpoints that run it.
  Duration BlockedFor(Instant now) const;
  RequestFingerprint Fingerprint() const;
  // Notes what an ended call tells of crashes.
  void RecordCrashEvidence(const CallResult& result, Instant now);
  // Schedules a resend to the owner of the request's key, after a delay if the last
  // attempt reached it. Returns false if that is not allowed.
  bool ScheduleOwnerRetry(bool reached_endpoint, Instant now);
  // Whether the owner that the request was last sent to is estimated to have a free slot, and wants
  // requests.
  bool OwnerMayTakeAnother(Instant now) const;
  // Like Retry, but excludes the last endpoint.
  bool RetryOtherEndpoint(bool reached_endpoint, Instant now);
  void WaitForOwner(Instant now);
  // Refuses the request, as all endpoints that could serve it are evacuated.
  void RefuseEvacuated(const std::string& reason, Duration retry_after, Instant now);
  // Fails the running call if its endpoint may get no requests any more and the request may still
  // be on its way.
  void StopLateDelivery(Instant now);
  // Refuses the request, as all endpoints that it could be sent to are cold.
  void RefuseCold(const std::string& reason, Duration retry_after, Instant now);
  // Notes what an ended call tells of a restart of the endpoint.
  void RecordConnection(const CallResult& result, Instant now);
  // Forwards the endpoint's answer to the caller.
  void ForwardAnswer(HttpAnswer answer, Instant now);
  // Answers 502 if the request may have run, otherwise 503 with a time to retry.
  void AnswerFailure(const std::string& reason, Duration retry_after, Instant now);
  void AnswerLocally(unsigned status, const std::string& reason,
                     std::optional<Duration> retry_after, Instant now);
  // Cancels the running call, if any, and answers 504 if the request may have run, otherwise 503.
  void GiveUp(const std::string& reason, Instant now);
  void HandleCallerDisconnect();
  void FinishAttempt(AttemptResult result, Instant now);
  // Counts a request or an answer that crosses the border of the failure domain.
  void CountCrossDomainBytes(std::size_t bytes);
  // Whether the endpoint that the request was last sent to is in another failure domain.
  bool IsAtOtherDomain() const;
  // What the choice of an endpoint depends on.
  EndpointChoiceRequest BuildChoiceRequest(Instant now) const;
  // Keeps the inputs of a dispatch decision for the log.
  void NoteDecisionInputs(const EndpointState& endpoint, double expected_latency_s, Instant now);
  // What the reports of this request show.
  RequestSummary Summary() const;
  bool IsSafe() const { return route_->kind == RequestKind::kSafe; }
  Duration TimeLeft(Instant now) const;
  // Time left until the latency target; empty if the route has none.
  std::optional<Duration> TargetLeft(Instant now) const;
  AdmissionRequest BuildAdmissionRequest(const EndpointState& endpoint, Instant now) const;

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
  // The endpoint that the request was last sent to, and when.
  InstanceId endpoint_;
  Incarnation incarnation_;
  Instant sent_at_;
  // The endpoint's queueing factor at that time.
  double queueing_factor_when_sent_ = 1;
  ConnectionPool::CallHandle call_;
  // Computed before the body was let go of.
  std::optional<RequestFingerprint> fingerprint_;
  std::set<InstanceId> excluded_endpoints_;
  // How often the request was sent, and when it is next resent to the owner.
  int send_count_ = 0;
  // The connection of the last attempt that ended; 0 if there is none.
  std::uint64_t last_connection_ = 0;
  Instant retry_at_;
  // How many of the sent requests may have reached an endpoint.
  int arrival_count_ = 0;
  bool may_have_run_ = false;
  bool finished_ = false;
  // The inputs of the latest dispatch decision, for the log.
  std::string decision_inputs_;
};

}  // namespace sycamorestall

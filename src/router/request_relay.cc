#include "router/request_relay.h"

#include <algorithm>
#include <boost/beast/http/verb.hpp>
#include <utility>

#include "clock/system_clock.h"
#include "http/status.h"
#include "log/log.h"
#include "router/request_fingerprint.h"

namespace sycamorestall {

namespace {

// The connect timeout is this share of the route's latency target, within bounds that
// allow for a busy link, where the first packet queues behind other requests.
constexpr double kConnectShare = 0.25;
constexpr std::chrono::milliseconds kMinConnectTimeout{120};
constexpr std::chrono::milliseconds kMaxConnectTimeout{400};
// Only the owner of a key can serve it. If it closed the connection, or was full although
// a slot was expected to be free, the request is resent to it after a growing delay.
constexpr std::chrono::milliseconds kOwnerRetryDelay{60};
constexpr int kMaxSendsToOwner = 3;
// The share of the latency target for which a request may wait for its key's next owner.
constexpr double kMaxOwnerWaitShare = 0.4;
// Reserved from the caller's timeout for the transit of the answer.
constexpr std::chrono::milliseconds kAnswerTransitTime{10};
constexpr std::chrono::milliseconds kRetryAfterNoConfig{300};
constexpr std::chrono::milliseconds kRetryAfterNoEndpoint{300};
constexpr std::chrono::milliseconds kRetryAfterDeclined{100};
// An endpoint that is down is replaced as owner within seconds.
constexpr std::chrono::milliseconds kRetryAfterUnreachable{800};
// The keys of an owner that becomes cold are moved within this time.
constexpr std::chrono::milliseconds kColdKeysMoveTime{1500};

// Daemons learn within this time that an evacuation was withdrawn.
constexpr std::chrono::milliseconds kRetryAfterEvacuated{1500};
// Bytes of a request that are not acknowledged this long after requests to the endpoint ended are
// not sent again. Acknowledgements may be delayed by 40 ms and a busy link.
constexpr std::chrono::milliseconds kMaxDeliveryTime{200};

// The reason of failures caused by a stop.
constexpr const char* kDaemonStops = "daemon stops";

// Traffic between domains is billed. Uploads carry most of the bytes and their latency
// targets allow some waiting, so they are kept in the own domain for longer.
constexpr double kUploadCrossDomainCostFactor = 2.0;
constexpr double kCrossDomainCostFactor = 1.2;

double CrossDomainCostFactor(RequestKind kind) {
  return kind == RequestKind::kUpload ? kUploadCrossDomainCostFactor : kCrossDomainCostFactor;
}

Duration ConnectTimeout(const Route& route) {
  const auto share = std::chrono::duration_cast<Duration>(route.latency_target * kConnectShare);
  return std::clamp<Duration>(share, kMinConnectTimeout, kMaxConnectTimeout);
}

}  // namespace

RequestRelay::RequestRelay(RelayContext& context, std::shared_ptr<CallerExchange> exchange,
                           std::shared_ptr<RouteTable> routes, Instant now)
    : context_(context),
      exchange_(std::move(exchange)),
      routes_(std::move(routes)),
      attributes_(context.format.ParseRequest(exchange_->request())),
      arrived_at_(now) {}

Duration RequestRelay::TimeLeft(Instant now) const { return deadline_ - now; }

void RequestRelay::Start(Instant now) {
  if (!routes_) {
    AnswerFailure("no configuration", kRetryAfterNoConfig, now);
    return;
  }
  if (attributes_.id.empty()) {
    AnswerLocally(http::kBadRequest, "no request id", std::nullopt, now);
    return;
  }
  route_ = routes_->Find(attributes_.host, attributes_.path);
  if (route_ == nullptr) {
    AnswerLocally(http::kNotFound, "no route", std::nullopt, now);
    return;
  }
  deadline_ = now + route_->timeout;
  if (attributes_.caller_timeout) {
    deadline_ = std::min(deadline_, now + *attributes_.caller_timeout);
  }
  service_ = routes_->SelectService(*route_);
  routed_by_key_ =
      routes_->ServiceConfigFor(service_).has_exclusive_keys && attributes_.key.has_value();
  context_.retry_budget.CountRequest(service_, now);
  if (routed_by_key_) {
    context_.key_directory.CountRequest(service_, *attributes_.key);
  }
  exchange_->OnAbandoned([self = weak_from_this()] {
    if (const auto relay = self.lock()) {
      relay->HandleCallerDisconnect();
    }
  });
  const Duration blocked = BlockedFor(now);
  if (blocked > Duration{}) {
    AnswerFailure("request crashes endpoints", blocked, now);
    return;
  }
  Dispatch(now);
}

RequestFingerprint RequestRelay::Fingerprint() const {
  return fingerprint_ ? *fingerprint_
                      : FingerprintOf(*exchange_, attributes_.host, attributes_.key);
}

void RequestRelay::HandleSent() {
  if (finished_ || state_ != State::kAwaitingAnswer || exchange_->body()->empty()) {
    return;
  }
  const bool may_send_again = arrival_count_ + 1 < route_->max_attempts ||
                              (routed_by_key_ && send_count_ < kMaxSendsToOwner);
  if (!may_send_again) {
    fingerprint_ = Fingerprint();
    exchange_->ReleaseBody();
  }
}

Duration RequestRelay::BlockedFor(Instant now) const {
  return context_.crashing_requests.empty()
             ? Duration{}
             : context_.crashing_requests.BlockedFor(Fingerprint(), now);
}

void RequestRelay::RecordCrashEvidence(const CallResult& result, Instant now) {
  CrashingRequests& crashing_requests = context_.crashing_requests;
  if (result.ended_by_peer) {
    crashing_requests.RecordBreak(Fingerprint(), {endpoint_, incarnation_}, now);
  }
  if (crashing_requests.empty()) {
    return;
  }
  if (result.outcome == CallOutcome::kNotConnected) {
    crashing_requests.RecordRefusal(endpoint_, now);
  } else if (result.outcome == CallOutcome::kAnswered) {
    crashing_requests.RecordAnswer(endpoint_, now);
    const AnswerKind kind = context_.format.ClassifyAnswer(result.answer, attributes_.id);
    // An endpoint that refused the request has not been put to the test.
    if (kind == AnswerKind::kRun || kind == AnswerKind::kFailed) {
      crashing_requests.RecordCompletion(Fingerprint(), now);
    }
  }
}

void RequestRelay::RefuseWhileStopping(Instant now) {
  AnswerFailure(kDaemonStops, kRetryAfterDeclined, now);
}

void RequestRelay::GiveUpToStop(Instant now) { GiveUp(kDaemonStops, now); }

void RequestRelay::Dispatch(Instant now) {
  if (TimeLeft(now) <= kAnswerTransitTime) {
    AnswerFailure("no time left", kRetryAfterDeclined, now);
    return;
  }
  if (routed_by_key_) {
    DispatchToOwner(now);
    return;
  }
  context_.fleet.CountDemand(service_, now);
  const auto choice = context_.chooser.Choose(context_.fleet, BuildChoiceRequest(now));
  if (!choice && context_.fleet.IsEvacuated(service_)) {
    RefuseEvacuated("endpoints evacuated", kRetryAfterEvacuated, now);
    return;
  }
  if (!choice) {
    const Duration cold = context_.cold_limiter.TimeUntilSend(context_.fleet, service_, now);
    if (cold > Duration{}) {
      RefuseCold("endpoints cold", cold, now);
      return;
    }
    const Duration pause = context_.fleet.ShortestPause(service_, now);
    AnswerFailure("no endpoint", std::max<Duration>(kRetryAfterNoEndpoint, pause), now);
    return;
  }
  const EndpointState* endpoint = context_.fleet.Find(choice->endpoint);
  const AdmissionDecision decision =
      CheckAdmission(*endpoint, choice->expected_latency_s, BuildAdmissionRequest(*endpoint, now));
  NoteDecisionInputs(*endpoint, choice->expected_latency_s, now);
  if (!decision.admitted) {
    AnswerFailure(std::string{"endpoints "} + ToString(decision.refusal), decision.retry_after,
                  now);
    return;
  }
  Send(*endpoint, now);
}

EndpointChoiceRequest RequestRelay::BuildChoiceRequest(Instant now) const {
  EndpointChoiceRequest request{service_,
                                context_.domain,
                                excluded_endpoints_,
                                CrossDomainCostFactor(route_->kind),
                                context_.domains,
                                now,
                                context_.load_age,
                                context_.daemon_count,
                                context_.random(),
                                &context_.cold_limiter};
  if (!routes_->ServiceConfigFor(service_).has_exclusive_keys) {
    const Duration passed = now - arrived_at_;
    request.without_keys = {exchange_->body()->size(), route_->latency_target - passed};
  }
  return request;
}

void RequestRelay::NoteDecisionInputs(const EndpointState& endpoint, double expected_latency_s,
                                      Instant now) {
  if (context_.log.IsEnabled(LogLevel::kInfo)) {
    decision_inputs_ = FormatDecisionInputs(endpoint, expected_latency_s, TimeLeft(now));
  }
}

std::optional<Duration> RequestRelay::TargetLeft(Instant now) const {
  if (route_->latency_target <= Duration{}) {
    return std::nullopt;
  }
  return arrived_at_ + route_->latency_target - now;
}

AdmissionRequest RequestRelay::BuildAdmissionRequest(const EndpointState& endpoint,
                                                     Instant now) const {
  // The other daemons have about as many callers.
  const auto daemons = static_cast<double>(context_.daemon_count);
  AdmissionRequest request;
  request.time_left = TimeLeft(now);
  request.target_left = TargetLeft(now);
  request.priority = route_->priority;
  request.now = now;
  request.random = std::uniform_real_distribution<double>{}(context_.random);
  if (routed_by_key_) {
    request.daemons = context_.daemon_count;
    request.demand_ratio = daemons * context_.fleet.DemandRatio(endpoint.entry.id, now);
  } else {
    // The endpoint chooser already spreads the load, so no daemon is limited to its share of an
    // endpoint.
    request.demand_ratio = daemons * context_.fleet.DemandRatio(service_, now);
  }
  return request;
}

void RequestRelay::DispatchToOwner(Instant now) {
  const auto owner = context_.key_directory.OwnerOf(service_, *attributes_.key, now);
  const EndpointState* endpoint = owner ? context_.fleet.Find(*owner) : nullptr;
  const bool accepts = endpoint != nullptr && endpoint->AcceptsOwnedKeys(now);
  if (endpoint != nullptr && !accepts && endpoint->evacuation) {
    RefuseEvacuated("owner evacuated", kRetryAfterUnreachable, now);
    return;
  }
  if (!accepts || excluded_endpoints_.contains(*owner)) {
    WaitForOwner(now);
    return;
  }
  const Duration pause = endpoint->PauseLeft(now);
  if (pause > Duration{}) {
    AnswerFailure("owner paused", pause, now);
    return;
  }
  if (may_have_run_ && *owner != endpoint_ && arrival_count_ >= route_->max_attempts) {
    AnswerFailure("no tries left", kRetryAfterDeclined, now);
    return;
  }
  if (!context_.domains.AllowRequest(endpoint->entry.domain, now)) {
    AnswerFailure("owner out of reach", kRetryAfterUnreachable, now);
    return;
  }
  context_.fleet.CountDemand(*owner, now);
  const double expected_latency_s =
      ExpectedLatencySeconds(*endpoint, context_.fleet.MeanServiceTimeSeconds(service_), now);
  const AdmissionDecision decision = context_.owner_admission.Admit(
      *endpoint, expected_latency_s, BuildAdmissionRequest(*endpoint, now), context_.load_age);
  NoteDecisionInputs(*endpoint, expected_latency_s, now);
  if (!decision.admitted) {
    AnswerFailure(std::string{"owner "} + ToString(decision.refusal), decision.retry_after, now);
    return;
  }
  const Duration cold = context_.cold_limiter.TimeUntilSend(*endpoint, now);
  if (cold > Duration{}) {
    RefuseCold("owner cold", std::min<Duration>(cold, kColdKeysMoveTime), now);
    return;
  }
  Send(*endpoint, now);
}

void RequestRelay::RefuseCold(const std::string& reason, Duration retry_after, Instant now) {
  context_.metrics.IncrementCounter("cold_endpoint_refusals_total");
  AnswerFailure(reason, std::max<Duration>(retry_after, kRetryAfterDeclined), now);
}

void RequestRelay::RecordConnection(const CallResult& result, Instant now) {
  if (NothingWasSent(result.outcome)) {
    context_.cold_limiter.RecordUnsent(endpoint_, sent_at_);
  }
  if (result.refused) {
    context_.fleet.HandleRefusedConnection(endpoint_, now);
  } else if (!NothingWasSent(result.outcome) &&
             context_.fleet.HandleAcceptedConnection(endpoint_, sent_at_, now)) {
    const EndpointState* endpoint = context_.fleet.Find(endpoint_);
    context_.log.Info("endpoint cold id=" + endpoint_.value() +
                      " ms=" + FormatMilliseconds(endpoint->ColdUntil() - now) +
                      " reason=\"accepts again\"");
  }
}

void RequestRelay::WaitForOwner(Instant now) {
  if (!context_.key_directory.IsOwnerExpectedSoon(service_, *attributes_.key, now)) {
    AnswerFailure("key without owner", kRetryAfterUnreachable, now);
    return;
  }
  if (state_ != State::kWaitingForOwner) {
    state_ = State::kWaitingForOwner;
    owner_wait_began_at_ = now;
    return;
  }
  const auto max_wait =
      std::chrono::duration_cast<Duration>(route_->latency_target * kMaxOwnerWaitShare);
  if (now - owner_wait_began_at_ >= max_wait) {
    context_.key_directory.ReportOwnerWaitTimeout(service_, *attributes_.key, now);
    AnswerFailure("no owner came", kRetryAfterUnreachable, now);
  }
}

void RequestRelay::RefuseEvacuated(const std::string& reason, Duration retry_after, Instant now) {
  if (!may_have_run_) {
    context_.metrics.IncrementCounter("requests_refused_evacuated_total");
  }
  AnswerFailure(reason, retry_after, now);
}

void RequestRelay::StopLateDelivery(Instant now) {
  const EndpointState* endpoint =
      context_.fleet.evacuations().all().empty() ? nullptr : context_.fleet.Find(endpoint_);
  if (endpoint != nullptr && endpoint->evacuation &&
      now >= endpoint->evacuation->requests_end_at() + kMaxDeliveryTime) {
    ConnectionPool::FailIfUndelivered(call_);
  }
}

void RequestRelay::Send(const EndpointState& endpoint, Instant now) {
  state_ = State::kAwaitingAnswer;
  ++send_count_;
  endpoint_ = endpoint.entry.id;
  incarnation_ = endpoint.entry.incarnation;
  sent_at_ = now;
  queueing_factor_when_sent_ = endpoint.queueing_factor();
  OutgoingCall call;
  call.message.head =
      context_.format.FormatRequestHead(exchange_->request(), exchange_->body()->size(), endpoint_,
                                        TimeLeft(now) - kAnswerTransitTime);
  call.message.body = exchange_->body();
  call.request_id = attributes_.id;
  call.matcher = &context_.format;
  call.head_request = exchange_->request().method() == boost::beast::http::verb::head;
  call.connect_timeout = ConnectTimeout(*route_);
  if (endpoint.evacuation) {
    call.connect_timeout =
        std::min(call.connect_timeout, endpoint.evacuation->owned_keys_until - now);
  }
  call.on_sent = [self = weak_from_this()] {
    if (const auto relay = self.lock()) {
      relay->HandleSent();
    }
  };
  context_.fleet.BeginRequest(endpoint_);
  if (now < endpoint.LimitedUntil()) {
    context_.metrics.IncrementCounter("cold_endpoint_requests_total");
  }
  context_.cold_limiter.RecordSend(endpoint, now);
  if (IsAtOtherDomain()) {
    context_.metrics.IncrementCounter("cross_domain_requests_total{service=\"" + service_.value() +
                                      "\"}");
    CountCrossDomainBytes(exchange_->body()->size());
  }
  call_ = context_.pool.Call(endpoint_.value(), endpoint.entry.address, std::move(call), now,
                             [self = shared_from_this()](CallResult result) {
                               self->HandleCallResult(std::move(result), BootNow());
                             });
}

void RequestRelay::FinishAttempt(AttemptResult result, Instant now) {
  context_.fleet.EndRequest(endpoint_, result, now - sent_at_, queueing_factor_when_sent_, now);
  if (const EndpointState* endpoint = context_.fleet.Find(endpoint_)) {
    context_.cross_domain.RecordAttempt(service_, endpoint->entry.domain, exchange_->body()->size(),
                                        result, now - sent_at_, now);
  }
  context_.metrics.RecordEndpointTime(endpoint_.value(), now - sent_at_);
  context_.metrics.IncrementCounter(std::string{"endpoint_answers_total{evidence=\""} +
                                    ToString(result) + "\"}");
  state_ = State::kIdle;
}

bool RequestRelay::IsAtOtherDomain() const {
  const EndpointState* endpoint = context_.fleet.Find(endpoint_);
  return endpoint != nullptr && endpoint->entry.domain != context_.domain;
}

void RequestRelay::CountCrossDomainBytes(std::size_t bytes) {
  context_.metrics.IncrementCounter(
      "cross_domain_bytes_total{service=\"" + service_.value() + "\"}", static_cast<double>(bytes));
}

void RequestRelay::HandleCallResult(CallResult result, Instant now) {
  if (finished_) {
    return;
  }
  last_connection_ = result.connection;
  RecordCrashEvidence(result, now);
  RecordConnection(result, now);
  if (result.skipped_answers > 0) {
    context_.log.Info("answers to earlier requests skipped id=" + attributes_.id + " endpoint=" +
                      endpoint_.value() + " connection=" + std::to_string(last_connection_) +
                      " answers=" + std::to_string(result.skipped_answers));
  }
  switch (result.outcome) {
    case CallOutcome::kAnswered:
      ++arrival_count_;
      MarkDomainReachable(now);
      HandleAnswer(std::move(result), now);
      return;
    case CallOutcome::kConnectTimedOut:
    case CallOutcome::kNotConnected:
      HandleConnectFailure(result, now);
      return;
    case CallOutcome::kAnswerRejected:
      MarkDomainReachable(now);
      break;
    case CallOutcome::kBroken:
    case CallOutcome::kTimedOut:
    case CallOutcome::kTooLarge:
    case CallOutcome::kStaleConnection:
      break;
  }
  ++arrival_count_;
  HandleBrokenCall(result, result.reason, now);
}

void RequestRelay::MarkDomainReachable(Instant now) {
  if (const EndpointState* endpoint = context_.fleet.Find(endpoint_)) {
    context_.domains.RecordEndpointAnswer(endpoint->entry.domain, now);
  }
}

void RequestRelay::HandleConnectFailure(const CallResult& result, Instant now) {
  FinishAttempt(AttemptResult::kUnreachable, now);
  const bool may_be_healthy = result.outcome == CallOutcome::kConnectTimedOut;
  if ((may_be_healthy && ScheduleOwnerRetry(false, now)) || RetryOtherEndpoint(false, now)) {
    return;
  }
  AnswerFailure("no connection: " + result.reason,
                routed_by_key_ ? kRetryAfterUnreachable : kRetryAfterDeclined, now);
}

void RequestRelay::HandleBrokenCall(const CallResult& result, const std::string& reason,
                                    Instant now) {
  context_.reporter.ReportFailedAttempt(Summary(), result, reason, now);
  const bool stale_connection = result.outcome == CallOutcome::kStaleConnection;
  FinishAttempt(stale_connection ? AttemptResult::kDeclined : AttemptResult::kUnreachable, now);
  may_have_run_ = true;
  if (IsSafe() && ScheduleOwnerRetry(true, now)) {
    return;
  }
  // A stale connection says nothing about the health of the endpoint.
  if (!stale_connection) {
    excluded_endpoints_.insert(endpoint_);
  }
  if (IsSafe() && Retry(true, now)) {
    return;
  }
  AnswerLocally(http::kBadGateway, "endpoint broke off: " + reason, std::nullopt, now);
}

void RequestRelay::HandleAnswer(CallResult result, Instant now) {
  if (IsAtOtherDomain()) {
    CountCrossDomainBytes(result.answer.body().size());
  }
  context_.endpoint_observer.HandleNotice(endpoint_, context_.format.ParseNotice(result.answer),
                                          sent_at_, now);
  switch (context_.format.ClassifyAnswer(result.answer, attributes_.id)) {
    case AnswerKind::kRun:
      FinishAttempt(AttemptResult::kServed, now);
      ForwardAnswer(std::move(result.answer), now);
      return;
    case AnswerKind::kFailed:
      FinishAttempt(AttemptResult::kFailed, now);
      may_have_run_ = true;
      if (!IsSafe() || !RetryOtherEndpoint(true, now)) {
        ForwardAnswer(std::move(result.answer), now);
      }
      return;
    case AnswerKind::kNotOwner:
      if (routed_by_key_) {
        context_.key_directory.ReportNotOwner(service_, *attributes_.key, endpoint_);
      }
      // Not resent: the address may meanwhile belong to another service, and each resend
      // would be one more arrival there.
      HandleNotRun(false, now);
      return;
    case AnswerKind::kNotRun:
      HandleNotRun(true, now);
      return;
    case AnswerKind::kOtherRequest:
    case AnswerKind::kInvalid:
      // The connection rejects these before.
      break;
  }
  HandleBrokenCall(result, "answer not valid", now);
}

void RequestRelay::HandleNotRun(bool may_retry_owner, Instant now) {
  FinishAttempt(AttemptResult::kDeclined, now);
  if (may_retry_owner) {
    context_.fleet.RecordRefusal(endpoint_, queueing_factor_when_sent_, now);
  }
  const bool retrying =
      may_retry_owner && OwnerMayTakeAnother(now) && ScheduleOwnerRetry(true, now);
  if (!retrying && !RetryOtherEndpoint(true, now)) {
    const EndpointState* owner = routed_by_key_ ? context_.fleet.Find(endpoint_) : nullptr;
    const Duration pause = owner == nullptr ? Duration{} : owner->PauseLeft(now);
    AnswerFailure("endpoint declined", std::max<Duration>(kRetryAfterDeclined, pause), now);
  }
}

bool RequestRelay::ScheduleOwnerRetry(bool reached_endpoint, Instant now) {
  const bool allowed = routed_by_key_ && send_count_ < kMaxSendsToOwner &&
                       BlockedFor(now) == Duration{} &&
                       TimeLeft(now) > kOwnerRetryDelay + kAnswerTransitTime;
  if (!allowed || (reached_endpoint &&
                   !context_.retry_budget.TryConsumeRetry(service_, context_.daemon_count, now))) {
    return false;
  }
  state_ = State::kWaitingToRetry;
  retry_at_ = reached_endpoint ? now + kOwnerRetryDelay * send_count_ : now;
  return true;
}

bool RequestRelay::OwnerMayTakeAnother(Instant now) const {
  const EndpointState* owner = context_.fleet.Find(endpoint_);
  return owner != nullptr && owner->load() < owner->entry.slots &&
         owner->PauseLeft(now) == Duration{};
}

bool RequestRelay::RetryOtherEndpoint(bool reached_endpoint, Instant now) {
  excluded_endpoints_.insert(endpoint_);
  return Retry(reached_endpoint, now);
}

bool RequestRelay::Retry(bool reached_endpoint, Instant now) {
  if (arrival_count_ >= route_->max_attempts || TimeLeft(now) <= kAnswerTransitTime ||
      BlockedFor(now) > Duration{}) {
    return false;
  }
  if (routed_by_key_) {
    // Only another owner can serve the key; if none is known yet, Dispatch waits for one.
    const auto owner = context_.key_directory.OwnerOf(service_, *attributes_.key, now);
    if (owner && excluded_endpoints_.contains(*owner)) {
      return false;
    }
  }
  if (reached_endpoint &&
      !context_.retry_budget.TryConsumeRetry(service_, context_.daemon_count, now)) {
    return false;
  }
  Dispatch(now);
  return true;
}

void RequestRelay::Tick(Instant now) {
  if (finished_ || route_ == nullptr) {
    return;
  }
  if (now >= deadline_) {
    GiveUp("time is up", now);
    return;
  }
  if (state_ == State::kAwaitingAnswer) {
    StopLateDelivery(now);
    return;
  }
  if (state_ == State::kWaitingForOwner || (state_ == State::kWaitingToRetry && now >= retry_at_)) {
    Dispatch(now);
  }
}

void RequestRelay::GiveUp(const std::string& reason, Instant now) {
  if (finished_) {
    return;
  }
  if (state_ == State::kAwaitingAnswer) {
    ConnectionPool::Cancel(call_);
    if (now >= deadline_) {
      context_.fleet.EndUnanswered(endpoint_, now - sent_at_, queueing_factor_when_sent_, now);
    } else {
      context_.fleet.CancelRequest(endpoint_);
    }
    may_have_run_ = true;
  }
  if (may_have_run_) {
    AnswerLocally(http::kGatewayTimeout, reason, std::nullopt, now);
  } else {
    AnswerFailure(reason, kRetryAfterDeclined, now);
  }
}

void RequestRelay::ForwardAnswer(HttpAnswer answer, Instant now) {
  // The caller would send the request again, though the endpoint may have run it.
  if (!IsSafe() && http::DeniesExecution(answer.result_int())) {
    AnswerLocally(http::kBadGateway,
                  "unproven refusal: status " + std::to_string(answer.result_int()), std::nullopt,
                  now);
    return;
  }
  finished_ = true;
  context_.reporter.ReportOutcome(Summary(), answer.result_int(), "answered", now);
  OutgoingMessage message;
  message.head = context_.format.FormatAnswerHead(answer);
  message.body = std::make_shared<const std::string>(std::move(answer.body()));
  exchange_->Answer(std::move(message));
}

void RequestRelay::AnswerFailure(const std::string& reason, Duration retry_after, Instant now) {
  if (may_have_run_) {
    AnswerLocally(http::kBadGateway, reason, std::nullopt, now);
    return;
  }
  AnswerLocally(http::kServiceUnavailable, reason, retry_after, now);
}

void RequestRelay::AnswerLocally(unsigned status, const std::string& reason,
                                 std::optional<Duration> retry_after, Instant now) {
  finished_ = true;
  context_.reporter.ReportOutcome(Summary(), status, reason, now);
  OutgoingMessage message;
  auto body = std::make_shared<std::string>(R"({"error":{"message":")" + reason + "\"}}");
  message.head =
      context_.format.FormatLocalAnswerHead(status, attributes_.id, body->size(), retry_after);
  message.body = std::move(body);
  exchange_->Answer(std::move(message));
}

void RequestRelay::HandleCallerDisconnect() {
  if (finished_) {
    return;
  }
  finished_ = true;
  if (state_ == State::kAwaitingAnswer) {
    ConnectionPool::Cancel(call_);
    context_.fleet.CancelRequest(endpoint_);
  }
  context_.reporter.ReportOutcome(Summary(), 0, "caller left", BootNow());
}

RequestSummary RequestRelay::Summary() const {
  RequestSummary summary;
  summary.id = attributes_.id;
  summary.key = attributes_.key;
  summary.route = route_;
  summary.service = service_;
  summary.endpoint = endpoint_;
  summary.send_count = send_count_;
  summary.arrival_count = arrival_count_;
  summary.connection = last_connection_;
  summary.may_have_run = may_have_run_;
  summary.arrived_at = arrived_at_;
  summary.sent_at = sent_at_;
  if (routes_) {
    summary.config_version = routes_->config().version;
  }
  summary.decision_inputs = decision_inputs_;
  return summary;
}

}  // namespace sycamorestall

#include "router/request_relay.h"

#include <algorithm>
#include <boost/beast/http/verb.hpp>
#include <utility>

#include "clock/system_clock.h"
#include "http/status.h"

namespace sycamorestall {

namespace {

// A connection may take this share of the aim to be made, within bounds: on a busy
// link the first packet waits behind other requests.
constexpr double kConnectShare = 0.25;
constexpr std::chrono::milliseconds kLeastConnectTimeout{120};
constexpr std::chrono::milliseconds kMostConnectTimeout{400};
// The owner of a key is the only one to ask. One that broke off, or had no place
// though it was not thought to be full, is asked again after a pause that grows.
constexpr std::chrono::milliseconds kOwnerPause{60};
constexpr int kMaxSendingsToOwner = 3;
// The share of the aim for which a request may wait for its key's next owner.
constexpr double kOwnerWaitShare = 0.4;
// What is kept back of the caller's time for the answer's way.
constexpr std::chrono::milliseconds kWayBack{10};
constexpr std::chrono::milliseconds kRetryAfterNoConfig{300};
constexpr std::chrono::milliseconds kRetryAfterNoEndpoint{300};
constexpr std::chrono::milliseconds kRetryAfterDeclined{100};
// An endpoint that is down is replaced as owner within seconds.
constexpr std::chrono::milliseconds kRetryAfterUnreachable{800};

// Uploads carry most of the bytes, and their aims leave time to wait a little.
constexpr double kOtherDomainFactorOfUploads = 2.0;
constexpr double kOtherDomainFactor = 1.2;

double OtherDomainFactor(RequestKind kind) {
  return kind == RequestKind::kUpload ? kOtherDomainFactorOfUploads : kOtherDomainFactor;
}

Duration ConnectTimeout(const Route& route) {
  const auto share = std::chrono::duration_cast<Duration>(route.aim * kConnectShare);
  return std::clamp<Duration>(share, kLeastConnectTimeout, kMostConnectTimeout);
}

std::string Milliseconds(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

RequestRelay::RequestRelay(RelayContext& context, std::shared_ptr<CallerExchange> exchange,
                           std::shared_ptr<RouteTable> routes, Instant now)
    : context_(context),
      exchange_(std::move(exchange)),
      routes_(std::move(routes)),
      facts_(context.format.ReadRequest(exchange_->request())),
      arrived_at_(now) {}

Duration RequestRelay::TimeLeft(Instant now) const { return end_at_ - now; }

void RequestRelay::Begin(Instant now) {
  if (!routes_) {
    Refuse("no configuration", kRetryAfterNoConfig, now);
    return;
  }
  if (facts_.id.empty()) {
    AnswerOwn(http::kBadRequest, "no request id", std::nullopt, now);
    return;
  }
  route_ = routes_->Find(facts_.host, facts_.path);
  if (route_ == nullptr) {
    AnswerOwn(http::kNotFound, "no route", std::nullopt, now);
    return;
  }
  end_at_ = now + route_->timeout;
  if (facts_.patience) {
    end_at_ = std::min(end_at_, now + *facts_.patience);
  }
  service_ = routes_->NextService(*route_);
  keyed_ = routes_->Profile(service_).owns_keys && facts_.key.has_value();
  context_.retries.CountRequest(service_, now);
  if (keyed_) {
    context_.keys.CountRequest(service_, *facts_.key);
  }
  exchange_->OnAbandoned([self = weak_from_this()] {
    if (const auto relay = self.lock()) {
      relay->Abandon();
    }
  });
  Offer(now);
}

void RequestRelay::Offer(Instant now) {
  if (TimeLeft(now) <= kWayBack) {
    Refuse("no time left", kRetryAfterDeclined, now);
    return;
  }
  if (keyed_) {
    OfferToOwner(now);
    return;
  }
  const auto choice = context_.chooser.Choose(
      context_.fleet, ChoiceRequest{service_, context_.domain, tried_,
                                    OtherDomainFactor(route_->kind), context_.domains, now});
  if (!choice) {
    Refuse("no endpoint", kRetryAfterNoEndpoint, now);
    return;
  }
  const EndpointState* endpoint = context_.fleet.Find(choice->endpoint);
  const AdmissionVerdict verdict = Admit(*endpoint, choice->expected_s, Place(now));
  NoteInputs(*endpoint, choice->expected_s, now);
  if (!verdict.admitted) {
    Refuse("endpoints full", verdict.retry_after, now);
    return;
  }
  Send(*endpoint, now);
}

void RequestRelay::NoteInputs(const EndpointState& endpoint, double expected_s, Instant now) {
  if (!context_.log.IsEnabled(LogLevel::kInfo)) {
    return;
  }
  const Duration expected =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(expected_s));
  inputs_ = " considered=" + endpoint.entry.id.value() +
            " load=" + std::to_string(endpoint.in_flight) + "+" +
            std::to_string(endpoint.peers_in_flight) + "/" + std::to_string(endpoint.entry.slots) +
            " expected_ms=" + Milliseconds(expected) + " left_ms=" + Milliseconds(TimeLeft(now));
}

PlaceRequest RequestRelay::Place(Instant now) const {
  // Where any endpoint will do, choosing spreads the load already.
  return {TimeLeft(now), route_->priority, keyed_ ? context_.daemons : 1};
}

void RequestRelay::OfferToOwner(Instant now) {
  const auto owner = context_.keys.OwnerOf(service_, *facts_.key, now);
  const EndpointState* endpoint = owner ? context_.fleet.Find(*owner) : nullptr;
  if (endpoint == nullptr || tried_.contains(*owner) || !endpoint->TakesOwnedKeys(now)) {
    WaitForOwner(now);
    return;
  }
  if (may_have_run_ && *owner != endpoint_ && arrivals_ >= route_->max_attempts) {
    Refuse("no tries left", kRetryAfterDeclined, now);
    return;
  }
  if (!context_.domains.MayTry(endpoint->entry.domain, now)) {
    Refuse("owner out of reach", kRetryAfterUnreachable, now);
    return;
  }
  const double expected_s =
      ExpectedAnswerSeconds(*endpoint, context_.fleet.MeanServiceSeconds(service_), now);
  const AdmissionVerdict verdict = Admit(*endpoint, expected_s, Place(now));
  NoteInputs(*endpoint, expected_s, now);
  if (!verdict.admitted) {
    Refuse("owner full", verdict.retry_after, now);
    return;
  }
  Send(*endpoint, now);
}

void RequestRelay::WaitForOwner(Instant now) {
  if (!context_.keys.IsWorthWaiting(service_, *facts_.key, now)) {
    Refuse("key without owner", kRetryAfterUnreachable, now);
    return;
  }
  if (state_ != State::kWaitingForOwner) {
    state_ = State::kWaitingForOwner;
    waiting_since_ = now;
    return;
  }
  const auto patience = std::chrono::duration_cast<Duration>(route_->aim * kOwnerWaitShare);
  if (now - waiting_since_ >= patience) {
    context_.keys.ReportUnserved(service_, *facts_.key, now);
    Refuse("no owner came", kRetryAfterUnreachable, now);
  }
}

void RequestRelay::Send(const EndpointState& endpoint, Instant now) {
  state_ = State::kAtEndpoint;
  ++sendings_;
  endpoint_ = endpoint.entry.id;
  sent_at_ = now;
  sent_rounds_ = endpoint.rounds();
  OutgoingCall call;
  call.message.head = context_.format.WriteRequest(exchange_->request(), exchange_->body()->size(),
                                                   endpoint_, TimeLeft(now) - kWayBack);
  call.message.body = exchange_->body();
  call.head_request = exchange_->request().method() == boost::beast::http::verb::head;
  call.connect_timeout = ConnectTimeout(*route_);
  context_.fleet.BeginRequest(endpoint_);
  call_ = context_.pool.Call(endpoint_.value(), endpoint.entry.address, std::move(call), now,
                             [self = shared_from_this()](CallResult result) {
                               self->TakeResult(std::move(result), BootNow());
                             });
}

void RequestRelay::EndAttempt(EndpointEvidence evidence, Instant now) {
  context_.fleet.EndRequest(endpoint_, evidence, now - sent_at_, sent_rounds_, now);
  context_.metrics.RecordEndpointTime(endpoint_.value(), now - sent_at_);
  context_.metrics.IncrementCounter(std::string{"endpoint_answers_total{evidence=\""} +
                                    ToString(evidence) + "\"}");
  state_ = State::kNew;
}

void RequestRelay::TakeResult(CallResult result, Instant now) {
  if (finished_) {
    return;
  }
  switch (result.outcome) {
    case CallOutcome::kAnswered:
      ++arrivals_;
      HearDomain(now);
      TakeAnswer(std::move(result.answer), now);
      return;
    case CallOutcome::kConnectTimedOut:
    case CallOutcome::kNotConnected:
      TakeNoConnection(result, now);
      return;
    case CallOutcome::kBroken:
    case CallOutcome::kTimedOut:
    case CallOutcome::kStaleConnection:
      break;
  }
  ++arrivals_;
  TakeBreak(result.reason, result.outcome == CallOutcome::kStaleConnection, now);
}

void RequestRelay::HearDomain(Instant now) {
  if (const EndpointState* endpoint = context_.fleet.Find(endpoint_)) {
    context_.domains.HearAnswer(endpoint->entry.domain, now);
  }
}

void RequestRelay::TakeNoConnection(const CallResult& result, Instant now) {
  EndAttempt(EndpointEvidence::kUnreachable, now);
  const bool may_be_well = result.outcome == CallOutcome::kConnectTimedOut;
  if ((may_be_well && RetryOwner(false, now)) || RetryElsewhere(false, now)) {
    return;
  }
  Refuse("no connection: " + result.reason, keyed_ ? kRetryAfterUnreachable : kRetryAfterDeclined,
         now);
}

void RequestRelay::TakeBreak(const std::string& reason, bool stale, Instant now) {
  EndAttempt(stale ? EndpointEvidence::kDeclined : EndpointEvidence::kUnreachable, now);
  may_have_run_ = true;
  if (IsSafe() && RetryOwner(true, now)) {
    return;
  }
  // After a stale connection the endpoint itself may be well.
  if (!stale) {
    tried_.insert(endpoint_);
  }
  if (IsSafe() && Retry(true, now)) {
    return;
  }
  AnswerOwn(http::kBadGateway, "endpoint broke off: " + reason, std::nullopt, now);
}

void RequestRelay::TakeAnswer(HttpAnswer answer, Instant now) {
  switch (context_.format.ReadAnswer(answer, facts_.id)) {
    case AnswerMeaning::kRun:
      EndAttempt(EndpointEvidence::kServed, now);
      Deliver(std::move(answer), now);
      return;
    case AnswerMeaning::kFailed:
      EndAttempt(EndpointEvidence::kFailed, now);
      may_have_run_ = true;
      if (!IsSafe() || !RetryElsewhere(true, now)) {
        Deliver(std::move(answer), now);
      }
      return;
    case AnswerMeaning::kNotOwner:
      if (keyed_) {
        context_.keys.ReportDenial(service_, *facts_.key, endpoint_);
      }
      // To ask it again would only be another arrival, perhaps at another service.
      TakeRefusal(false, now);
      return;
    case AnswerMeaning::kNotRun:
      TakeRefusal(true, now);
      return;
    case AnswerMeaning::kInvalid:
      break;
  }
  TakeBreak("answer not valid", false, now);
}

void RequestRelay::TakeRefusal(bool by_owner, Instant now) {
  EndAttempt(EndpointEvidence::kDeclined, now);
  const bool again = by_owner && OwnerHasRoom() && RetryOwner(true, now);
  if (!again && !RetryElsewhere(true, now)) {
    Refuse("endpoint declined", kRetryAfterDeclined, now);
  }
}

bool RequestRelay::RetryOwner(bool arrived, Instant now) {
  const bool allowed =
      keyed_ && sendings_ < kMaxSendingsToOwner && TimeLeft(now) > kOwnerPause + kWayBack;
  if (!allowed || (arrived && !context_.retries.TakeRetry(service_, context_.daemons, now))) {
    return false;
  }
  state_ = State::kPausing;
  pausing_until_ = arrived ? now + kOwnerPause * sendings_ : now;
  return true;
}

bool RequestRelay::OwnerHasRoom() const {
  const EndpointState* owner = context_.fleet.Find(endpoint_);
  return owner != nullptr && owner->load() < owner->entry.slots;
}

bool RequestRelay::RetryElsewhere(bool arrived, Instant now) {
  tried_.insert(endpoint_);
  return Retry(arrived, now);
}

bool RequestRelay::Retry(bool arrived, Instant now) {
  if (arrivals_ >= route_->max_attempts || TimeLeft(now) <= kWayBack) {
    return false;
  }
  if (keyed_) {
    // Only another owner can serve it; that one may be known in a moment.
    const auto owner = context_.keys.OwnerOf(service_, *facts_.key, now);
    if (owner && tried_.contains(*owner)) {
      return false;
    }
  }
  if (arrived && !context_.retries.TakeRetry(service_, context_.daemons, now)) {
    return false;
  }
  Offer(now);
  return true;
}

void RequestRelay::Tick(Instant now) {
  if (finished_ || route_ == nullptr) {
    return;
  }
  if (now >= end_at_) {
    if (state_ == State::kAtEndpoint) {
      ConnectionPool::Cancel(call_);
      context_.fleet.CancelRequest(endpoint_);
      may_have_run_ = true;
    }
    if (may_have_run_) {
      AnswerOwn(http::kGatewayTimeout, "time is up", std::nullopt, now);
    } else {
      Refuse("time is up", kRetryAfterDeclined, now);
    }
    return;
  }
  if (state_ == State::kWaitingForOwner || (state_ == State::kPausing && now >= pausing_until_)) {
    Offer(now);
  }
}

void RequestRelay::Deliver(HttpAnswer answer, Instant now) {
  finished_ = true;
  LogOutcome(answer.result_int(), "answered", now);
  OutgoingMessage message;
  message.head = context_.format.WriteAnswer(answer);
  message.body = std::make_shared<const std::string>(std::move(answer.body()));
  exchange_->Answer(std::move(message));
}

void RequestRelay::Refuse(const std::string& reason, Duration retry_after, Instant now) {
  if (may_have_run_) {
    AnswerOwn(http::kBadGateway, reason, std::nullopt, now);
    return;
  }
  AnswerOwn(http::kUnavailable, reason, retry_after, now);
}

void RequestRelay::AnswerOwn(unsigned status, const std::string& reason,
                             std::optional<Duration> retry_after, Instant now) {
  finished_ = true;
  LogOutcome(status, reason, now);
  OutgoingMessage message;
  auto body = std::make_shared<std::string>(R"({"error":{"message":")" + reason + "\"}}");
  message.head = context_.format.WriteOwnAnswer(status, facts_.id, body->size(), retry_after);
  message.body = std::move(body);
  exchange_->Answer(std::move(message));
}

void RequestRelay::Abandon() {
  if (finished_) {
    return;
  }
  finished_ = true;
  if (state_ == State::kAtEndpoint) {
    ConnectionPool::Cancel(call_);
    context_.fleet.CancelRequest(endpoint_);
  }
  LogOutcome(0, "caller left", BootNow());
}

void RequestRelay::CountOutcome(unsigned status, const std::string& reason) {
  const char* kind = route_ == nullptr ? "none" : ToString(route_->kind);
  context_.metrics.IncrementCounter("requests_total{kind=\"" + std::string{kind} + "\",status=\"" +
                                    std::to_string(status) + "\"}");
  if (status < http::kOk || status >= http::kBadRequest) {
    // What follows the colon tells of one case only.
    context_.metrics.IncrementCounter("request_failures_total{cause=\"" +
                                      reason.substr(0, reason.find(':')) + "\"}");
  }
}

void RequestRelay::LogOutcome(unsigned status, const std::string& reason, Instant now) {
  context_.metrics.RecordLatency({route_ == nullptr ? "none" : route_->name,
                                  status >= http::kOk && status < http::kBadRequest ? Outcome::kRun
                                  : may_have_run_ ? Outcome::kUnknown
                                                  : Outcome::kNotRun},
                                 now - arrived_at_);
  CountOutcome(status, reason);
  if (!context_.log.IsEnabled(LogLevel::kInfo)) {
    return;
  }
  std::string line = "id=" + facts_.id + " status=" + std::to_string(status) +
                     " service=" + service_.value() + " endpoint=" + endpoint_.value() +
                     " arrivals=" + std::to_string(arrivals_) +
                     " ms=" + Milliseconds(now - arrived_at_) + " reason=\"" + reason + "\"";
  if (facts_.key) {
    line += " key=" + std::to_string(*facts_.key);
  }
  if (routes_) {
    line += " config=" + std::to_string(routes_->config().version);
  }
  context_.log.Info(line + inputs_);
}

}  // namespace sycamorestall

#include "fakes/key_endpoint.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "clock/system_clock.h"
#include "fakes/json_answer.h"
#include "net/http_format.h"

namespace sycamorestall::fakes {

namespace {

using nlohmann::json;

constexpr char kEmptyJson[] = "{}";
constexpr std::chrono::milliseconds kPollInterval{2};
constexpr double kMillisecondsPerSecond = 1000;

std::string HeaderValue(const CallerExchange& exchange, const char* name) {
  const auto found = exchange.request().find(name);
  return found == exchange.request().end() ? "" : std::string{found->value()};
}

KeyRange ParseRange(const json& body) {
  return {body.at("from").get<KeyNumber>(), body.at("to").get<KeyNumber>()};
}

}  // namespace

KeyEndpoint::KeyEndpoint(std::string id, bool owns_keys)
    : id_(std::move(id)), owns_keys_(owns_keys), address_(FindFreeAddress(context_)) {
  listener_ = std::make_unique<CallerListener>(context_, address_, *this);
  thread_ = std::thread([this] { RunEventLoop(); });
}

KeyEndpoint::~KeyEndpoint() {
  {
    const std::lock_guard lock{mutex_};
    stopping_ = true;
  }
  thread_.join();
}

CallerLimits KeyEndpoint::Limits() const {
  CallerLimits limits;
  limits.max_body_bytes = std::uint64_t{4} << 20;
  return limits;
}

void KeyEndpoint::RunEventLoop() {
  for (;;) {
    context_.restart();
    context_.run_for(kPollInterval);
    const std::lock_guard lock{mutex_};
    if (stopping_) {
      return;
    }
    const Instant now = BootNow();
    EndIfCrashed();
    for (const RunningRequest& request : running_) {
      if (now >= request.done_at) {
        SendAnswer(*request.exchange, request.fault);
      }
    }
    std::erase_if(running_,
                  [now](const RunningRequest& request) { return now >= request.done_at; });
  }
}

void KeyEndpoint::SetFault(EndpointFault fault) {
  const std::lock_guard lock{mutex_};
  fault_ = fault;
}

void KeyEndpoint::SetLeaving(bool leaving) {
  const std::lock_guard lock{mutex_};
  leaving_ = leaving;
}

void KeyEndpoint::SetRetryAfter(const std::string& seconds) {
  const std::lock_guard lock{mutex_};
  retry_after_ = seconds;
}

int KeyEndpoint::ArrivalCount() {
  const std::lock_guard lock{mutex_};
  return arrival_count_;
}

void KeyEndpoint::Restart() {
  const std::lock_guard lock{mutex_};
  grants_.clear();
  std::fill(highest_tokens_.begin(), highest_tokens_.end(), 0);
  last_handover_state_.clear();
  running_.clear();
}

void KeyEndpoint::SetCrashingTarget(const std::string& text) {
  const std::lock_guard lock{mutex_};
  crashing_target_ = text;
}

int KeyEndpoint::CrashCount() {
  const std::lock_guard lock{mutex_};
  return crash_count_;
}

void KeyEndpoint::EndIfCrashed() {
  if (crash_count_ > 0 && listener_) {
    listener_->CloseAll();
    listener_.reset();
    running_.clear();
    grants_.clear();
  }
}

void KeyEndpoint::SetServiceTime(std::chrono::milliseconds service_time) {
  const std::lock_guard lock{mutex_};
  service_time_ = service_time;
}

std::map<std::string, int> KeyEndpoint::ExecutionCounts() {
  const std::lock_guard lock{mutex_};
  return execution_counts_;
}

bool KeyEndpoint::HoldsKey(KeyNumber key) {
  const std::lock_guard lock{mutex_};
  return HoldsKeyLocked(key);
}

std::string KeyEndpoint::LastHandoverState() {
  const std::lock_guard lock{mutex_};
  return last_handover_state_;
}

bool KeyEndpoint::HoldsKeyLocked(KeyNumber key) const {
  const Instant now = BootNow();
  return std::any_of(grants_.begin(), grants_.end(), [&](const Grant& grant) {
    return grant.range.Contains(key) && now < grant.until;
  });
}

void KeyEndpoint::HandleGrant(CallerExchange& exchange) {
  const json body = json::parse(*exchange.body());
  const KeyRange range = ParseRange(body);
  const auto token = body.at("fence").get<std::uint64_t>();
  const auto begin = highest_tokens_.begin() + range.first;
  const auto end = highest_tokens_.begin() + range.last + 1;
  if (std::any_of(begin, end, [token](std::uint64_t seen) { return seen > token; })) {
    SendOrderReply(exchange, 409, "", kEmptyJson);
    return;
  }
  std::fill(begin, end, token);
  if (body.contains("handover")) {
    last_handover_state_ = body["handover"].get<std::string>();
  }
  const std::chrono::milliseconds lifetime{
      static_cast<std::int64_t>(body.at("hold_s").get<double>() * kMillisecondsPerSecond)};
  std::erase_if(grants_, [&](const Grant& grant) {
    return range.first <= grant.range.first && grant.range.last <= range.last;
  });
  grants_.push_back({range, token, BootNow() + lifetime});
  SendOrderReply(exchange, 200, "", kEmptyJson);
}

void KeyEndpoint::HandleRelease(CallerExchange& exchange) {
  const KeyRange range = ParseRange(json::parse(*exchange.body()));
  std::vector<Grant> kept;
  for (const Grant& grant : grants_) {
    if (!grant.range.Overlaps(range)) {
      kept.push_back(grant);
      continue;
    }
    if (grant.range.first < range.first) {
      kept.push_back({{grant.range.first, range.first - 1}, grant.token, grant.until});
    }
    if (grant.range.last > range.last) {
      kept.push_back({{range.last + 1, grant.range.last}, grant.token, grant.until});
    }
  }
  grants_ = std::move(kept);
  std::string handover;
  AppendHeader(handover, "X-Handover", "from-" + id_);
  SendOrderReply(exchange, 200, handover, "");
}

std::string KeyEndpoint::AnswerHead(unsigned status) const {
  std::string head = StatusLine(status);
  if (leaving_) {
    AppendHeader(head, "Server-Leaving", "1");
  }
  if (status == 503 && !retry_after_.empty()) {
    AppendHeader(head, "Retry-After", retry_after_);
  }
  return head;
}

void KeyEndpoint::SendOrderReply(CallerExchange& exchange, unsigned status,
                                 const std::string& headers, const std::string& body) {
  OutgoingMessage message;
  message.head = AnswerHead(status) + headers;
  AppendHeader(message.head, "Content-Length", std::to_string(body.size()));
  message.body = std::make_shared<const std::string>(body);
  exchange.Answer(std::move(message));
}

void KeyEndpoint::SendNotExecuted(CallerExchange& exchange, unsigned status) {
  OutgoingMessage message;
  message.head = AnswerHead(status);
  AppendHeader(message.head, "X-Request-Id", HeaderValue(exchange, "X-Request-Id"));
  AppendHeader(message.head, "X-Not-Executed", "1");
  AppendHeader(message.head, "Content-Length", "0");
  exchange.Answer(std::move(message));
}

EndpointFault KeyEndpoint::ChooseFault(const std::string& id) {
  const bool first = seen_request_ids_.insert(id).second;
  if (fault_ == EndpointFault::kFullOnFirstAttempt) {
    return first ? EndpointFault::kFull : EndpointFault::kNone;
  }
  if (fault_ == EndpointFault::kWrongIdOnFirstAttempt) {
    return first ? EndpointFault::kWrongRequestId : EndpointFault::kNone;
  }
  return fault_;
}

void KeyEndpoint::AnswerHealthCheck(CallerExchange& exchange) {
  OutgoingMessage message;
  message.head = AnswerHead(leaving_ ? 503 : 200);
  AppendHeader(message.head, "X-Instance-Id", id_);
  AppendHeader(message.head, "Content-Length", "0");
  exchange.Answer(std::move(message));
}

void KeyEndpoint::HandleRequest(std::shared_ptr<CallerExchange> exchange) {
  const std::lock_guard lock{mutex_};
  const std::string target{exchange->request().target()};
  if (target == kHealthPath) {
    AnswerHealthCheck(*exchange);
    return;
  }
  const std::string expected = HeaderValue(*exchange, "X-Expect-Instance");
  const bool is_for_another_instance = !expected.empty() && expected != id_;
  const bool is_order = target == "/v1/grant" || target == "/v1/release";
  const EndpointFault fault =
      is_order ? EndpointFault::kNone : ChooseFault(HeaderValue(*exchange, "X-Request-Id"));
  const bool is_full = fault == EndpointFault::kFull;
  arrival_count_ += is_order ? 0 : 1;
  const auto key = static_cast<KeyNumber>(std::stoul("0" + HeaderValue(*exchange, "X-Shard-Key")));
  const bool key_is_not_held = owns_keys_ && !is_order && !is_full && !HoldsKeyLocked(key);
  if (is_for_another_instance || key_is_not_held || fault == EndpointFault::kMisdirected) {
    SendNotExecuted(*exchange, 421);
  } else if (is_full) {
    SendNotExecuted(*exchange, 503);
  } else if (target == "/v1/grant") {
    HandleGrant(*exchange);
  } else if (target == "/v1/release") {
    HandleRelease(*exchange);
  } else {
    ++execution_counts_[HeaderValue(*exchange, "X-Request-Id")];
    if (!crashing_target_.empty() && target.find(crashing_target_) != std::string::npos) {
      ++crash_count_;
    }
    running_.push_back({std::move(exchange), fault, BootNow() + service_time_});
  }
}

void KeyEndpoint::SendAnswer(CallerExchange& exchange, EndpointFault fault) {
  if (fault == EndpointFault::kSilent || exchange.abandoned()) {
    return;
  }
  const bool wrong_id = fault == EndpointFault::kWrongRequestId;
  OutgoingMessage message;
  message.body =
      std::make_shared<const std::string>("ran " + HeaderValue(exchange, "X-Request-Id"));
  message.head = AnswerHead(fault == EndpointFault::kFailing ? 500 : 200);
  AppendHeader(message.head, "X-Request-Id",
               wrong_id ? "another" : HeaderValue(exchange, "X-Request-Id"));
  AppendHeader(message.head, "X-Server-Stamp", "stamp-" + id_);
  AppendHeader(message.head, "Content-Length", std::to_string(message.body->size()));
  exchange.Answer(std::move(message));
}

}  // namespace sycamorestall::fakes

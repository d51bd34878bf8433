#include "fakes/key_endpoint.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "clock/system_clock.h"
#include "fakes/json_answer.h"
#include "net/http_format.h"

namespace sycamorestall::fakes {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kTick{2};
constexpr double kMillisecondsPerSecond = 1000;

std::string Value(const CallerExchange& exchange, const char* name) {
  const auto found = exchange.request().find(name);
  return found == exchange.request().end() ? "" : std::string{found->value()};
}

KeyRange RangeOf(const json& body) {
  return {body.at("from").get<KeyNumber>(), body.at("to").get<KeyNumber>()};
}

}  // namespace

KeyEndpoint::KeyEndpoint(std::string id, bool owns_keys)
    : id_(std::move(id)), owns_keys_(owns_keys), address_(FreeAddress(context_)) {
  listener_ = std::make_unique<CallerListener>(context_, address_, *this);
  thread_ = std::thread([this] { Run(); });
}

KeyEndpoint::~KeyEndpoint() {
  {
    const std::lock_guard lock{mutex_};
    ending_ = true;
  }
  thread_.join();
}

CallerLimits KeyEndpoint::Limits() const {
  CallerLimits limits;
  limits.max_body_bytes = std::uint64_t{4} << 20;
  return limits;
}

void KeyEndpoint::Run() {
  for (;;) {
    context_.restart();
    context_.run_for(kTick);
    const std::lock_guard lock{mutex_};
    if (ending_) {
      return;
    }
    const Instant now = BootNow();
    for (const Work& each : work_) {
      if (now >= each.done_at) {
        Finish(*each.exchange, each.trouble);
      }
    }
    std::erase_if(work_, [now](const Work& each) { return now >= each.done_at; });
  }
}

void KeyEndpoint::SetTrouble(EndpointTrouble trouble) {
  const std::lock_guard lock{mutex_};
  trouble_ = trouble;
}

void KeyEndpoint::Restart() {
  const std::lock_guard lock{mutex_};
  grants_.clear();
  std::fill(seen_tokens_.begin(), seen_tokens_.end(), 0);
  last_handover_.clear();
  work_.clear();
}

void KeyEndpoint::SetWork(std::chrono::milliseconds work) {
  const std::lock_guard lock{mutex_};
  work_time_ = work;
}

std::map<std::string, int> KeyEndpoint::Runs() {
  const std::lock_guard lock{mutex_};
  return runs_;
}

bool KeyEndpoint::Holds(KeyNumber key) {
  const std::lock_guard lock{mutex_};
  return HoldsNow(key);
}

std::string KeyEndpoint::LastHandover() {
  const std::lock_guard lock{mutex_};
  return last_handover_;
}

bool KeyEndpoint::HoldsNow(KeyNumber key) const {
  const Instant now = BootNow();
  return std::any_of(grants_.begin(), grants_.end(), [&](const Grant& each) {
    return each.range.Contains(key) && now < each.until;
  });
}

void KeyEndpoint::TakeGrant(CallerExchange& exchange) {
  const json body = json::parse(*exchange.body());
  const KeyRange range = RangeOf(body);
  const auto token = body.at("fence").get<std::uint64_t>();
  const auto begin = seen_tokens_.begin() + range.first;
  const auto end = seen_tokens_.begin() + range.last + 1;
  if (std::any_of(begin, end, [token](std::uint64_t seen) { return seen > token; })) {
    AnswerJson(exchange, 409, json::object());
    return;
  }
  std::fill(begin, end, token);
  if (body.contains("handover")) {
    last_handover_ = body["handover"].get<std::string>();
  }
  const std::chrono::milliseconds hold{
      static_cast<std::int64_t>(body.at("hold_s").get<double>() * kMillisecondsPerSecond)};
  std::erase_if(grants_, [&](const Grant& each) {
    return range.first <= each.range.first && each.range.last <= range.last;
  });
  grants_.push_back({range, token, BootNow() + hold});
  AnswerJson(exchange, 200, json::object());
}

void KeyEndpoint::TakeRelease(CallerExchange& exchange) {
  const KeyRange range = RangeOf(json::parse(*exchange.body()));
  std::vector<Grant> kept;
  for (const Grant& each : grants_) {
    if (!each.range.Overlaps(range)) {
      kept.push_back(each);
      continue;
    }
    if (each.range.first < range.first) {
      kept.push_back({{each.range.first, range.first - 1}, each.token, each.until});
    }
    if (each.range.last > range.last) {
      kept.push_back({{range.last + 1, each.range.last}, each.token, each.until});
    }
  }
  grants_ = std::move(kept);
  OutgoingMessage message;
  message.head = StatusLine(200);
  AppendHeader(message.head, "X-Handover", "from-" + id_);
  AppendHeader(message.head, "Content-Length", "0");
  exchange.Answer(std::move(message));
}

void KeyEndpoint::Refuse(CallerExchange& exchange, unsigned status) {
  OutgoingMessage message;
  message.head = StatusLine(status);
  AppendHeader(message.head, "X-Request-Id", Value(exchange, "X-Request-Id"));
  AppendHeader(message.head, "X-Not-Executed", "1");
  AppendHeader(message.head, "Content-Length", "0");
  exchange.Answer(std::move(message));
}

EndpointTrouble KeyEndpoint::TroubleOf(const std::string& id) {
  const bool first = seen_.insert(id).second;
  if (trouble_ == EndpointTrouble::kFullAtFirst) {
    return first ? EndpointTrouble::kFull : EndpointTrouble::kNone;
  }
  if (trouble_ == EndpointTrouble::kForeignIdAtFirst) {
    return first ? EndpointTrouble::kForeignId : EndpointTrouble::kNone;
  }
  return trouble_;
}

void KeyEndpoint::HandleRequest(std::shared_ptr<CallerExchange> exchange) {
  const std::lock_guard lock{mutex_};
  const std::string target{exchange->request().target()};
  const std::string expected = Value(*exchange, "X-Expect-Instance");
  const bool is_foreign = !expected.empty() && expected != id_;
  const bool is_order = target == "/v1/grant" || target == "/v1/release";
  const EndpointTrouble trouble =
      is_order ? EndpointTrouble::kNone : TroubleOf(Value(*exchange, "X-Request-Id"));
  const bool is_full = trouble == EndpointTrouble::kFull;
  const auto key = static_cast<KeyNumber>(std::stoul("0" + Value(*exchange, "X-Shard-Key")));
  const bool is_not_held = owns_keys_ && !is_order && !is_full && !HoldsNow(key);
  if (is_foreign || is_not_held || trouble == EndpointTrouble::kMisdirected) {
    Refuse(*exchange, 421);
  } else if (is_full) {
    Refuse(*exchange, 503);
  } else if (target == "/v1/grant") {
    TakeGrant(*exchange);
  } else if (target == "/v1/release") {
    TakeRelease(*exchange);
  } else {
    ++runs_[Value(*exchange, "X-Request-Id")];
    work_.push_back({std::move(exchange), trouble, BootNow() + work_time_});
  }
}

void KeyEndpoint::Finish(CallerExchange& exchange, EndpointTrouble trouble) {
  if (trouble == EndpointTrouble::kSilent || exchange.abandoned()) {
    return;
  }
  const bool foreign = trouble == EndpointTrouble::kForeignId;
  OutgoingMessage message;
  message.body = std::make_shared<const std::string>("ran " + Value(exchange, "X-Request-Id"));
  message.head = StatusLine(trouble == EndpointTrouble::kFailing ? 500 : 200);
  AppendHeader(message.head, "X-Request-Id", foreign ? "another" : Value(exchange, "X-Request-Id"));
  AppendHeader(message.head, "X-Server-Stamp", "stamp-" + id_);
  AppendHeader(message.head, "Content-Length", std::to_string(message.body->size()));
  exchange.Answer(std::move(message));
}

}  // namespace sycamorestall::fakes

#include "app/group_runner.h"

#include <algorithm>
#include <utility>

#include "app/caller_request.h"
#include "clock/system_clock.h"
#include "http/status.h"
#include "platform/record_json.h"

namespace sycamorestall {

namespace {

constexpr std::uint32_t kRetryAfterS = 1;
constexpr int kMostTries = 3;
constexpr double kRetryShare = 0.1;
constexpr double kRetryBurst = 20;
constexpr std::chrono::seconds kExpiryPeriod{5};
constexpr std::chrono::milliseconds kLeastTimeLeft{1};
// Weight of the newest measurement in the moving average of service times.
constexpr int kAverageSpan = 16;
// A request is dispatched only if it would end in time even when it takes this
// many mean deviations longer than the mean.
constexpr int kDeviationsAllowed = 4;

GroupSettings Complete(const GroupSettings& incomplete, const Settings& settings) {
  GroupSettings group = incomplete;
  group.time_to_live = settings.leases.time_to_live;
  group.clock_margin = settings.leases.clock_margin;
  group.renew_interval = settings.leases.renew_interval;
  group.order_timeout = settings.leases.order_timeout;
  return group;
}

Answer Overloaded(std::uint16_t status, const char* reason, const char* message) {
  Answer answer = MakeRefusal(status, Outcome::kNotRun, reason, message);
  answer.retry_after_s = kRetryAfterS;
  return answer;
}

}  // namespace

GroupRunner::GroupRunner(Tools tools, const Settings& settings, const GroupSettings& group,
                         ProcessId self)
    : tools_(tools),
      service_(settings.services.at(group.group.service)),
      rank_name_(settings.ranks[service_.rank].name),
      leader_(Complete(group, settings), std::move(self),
              std::make_unique<BoundedPlacement>(BoundedPlacementSettings{})),
      dispatcher_(DispatchSettings{service_.slots, service_.queue}),
      commands_(IdempotencySettings{settings.command_age_limit, settings.command_clock_margin}),
      retries_(kRetryShare, kRetryBurst),
      log_("group " + ToString(group.group)) {}

Dispatcher::RouteLookup GroupRunner::Routes() const {
  return [this, now = BootNow()](ShardId shard) { return leader_.FindRoute(shard, now); };
}

void GroupRunner::Claim(Instant now) {
  leader_.Claim(now);
  RunActions();
}

void GroupRunner::Resign(Instant now, std::optional<ProcessId> next) {
  leader_.Resign(now, std::move(next));
  RunActions();
}

void GroupRunner::HearOfTerm(Instant now, const LeaderNotice& notice) {
  leader_.ObserveTerm(now, notice.term, notice.leader);
  RunActions();
}

void GroupRunner::TakeInstances(Instant now, const InstanceList& list) {
  leader_.UpdateInstances(now, list);
  RunActions();
}

void GroupRunner::TakeStepDown(Instant now, const ProcessId& earlier) {
  leader_.HandleStepDown(now, earlier);
  RunActions();
}

void GroupRunner::ClaimIfReached(const InstanceList& list) {
  const GroupId& group = leader_.settings().group;
  if (probing_ || !idle()) {
    return;
  }
  for (const Instance& instance : list.instances) {
    const std::string address = tools_.host.EndpointAddress(instance.id);
    if (instance.service != group.service || instance.domain != group.domain || address.empty()) {
      continue;
    }
    probing_ = true;
    tools_.endpoints.Probe(address, leader_.settings().order_timeout, [this](bool reached) {
      probing_ = false;
      if (reached) {
        Claim(BootNow());
      }
    });
  }
}

void GroupRunner::Tick(Instant now) {
  leader_.Tick(now);
  RunActions();
  AbandonStranded(now);
  if (now >= next_expiry_) {
    next_expiry_ = now + kExpiryPeriod;
    commands_.Expire(WallNow());
  }
  const Instant served_by = now + ExpectedServiceTime();
  for (const QueuedRequest& each : dispatcher_.TakeDropped(served_by, Routes())) {
    const auto found = work_.find(each.number);
    const bool late = found != work_.end() && found->second.deadline <= served_by;
    if (late) {
      Drop(each, "too-late", "the request could not be run before its deadline");
    } else {
      Drop(each, "queue-full", "too many requests wait for the endpoint");
    }
  }
  Pump();
}

Duration GroupRunner::ExpectedServiceTime() const {
  return service_time_ + kDeviationsAllowed * service_deviation_;
}

void GroupRunner::AbandonStranded(Instant now) {
  if (!leads()) {
    return;
  }
  for (auto& [number, work] : work_) {
    const bool stranded = work.call != 0 && !work.request.command &&
                          !leader_.HasValidLease(work.route->endpoint, now);
    if (stranded) {
      // The endpoint no longer answers orders either; a read may run elsewhere.
      tools_.endpoints.Abandon(service_.rank, std::exchange(work.call, 0));
    }
  }
}

void GroupRunner::RunActions() {
  for (const GroupAction& action : leader_.TakeActions()) {
    std::visit([this](const auto& each) { Run(each); }, action);
  }
}

void GroupRunner::Run(const ReadRecord&) {
  tools_.metrics.Count("store_calls_total{cause=\"group read\"}");
  tools_.platform.Read(RecordKey(leader_.settings().group),
                       [this](std::error_code error, const StoreValue& value) {
                         tools_.loop.Post([this, error, value] {
                           std::optional<StoredRecord> stored;
                           if (value.revision.value != 0) {
                             std::optional<GroupRecord> record = ParseRecord(value.text);
                             if (!record) {
                               log_.Error("the group's record in the store cannot be read");
                               leader_.HandleReadFailure(BootNow());
                               return;
                             }
                             stored = StoredRecord{value.revision, std::move(*record)};
                           }
                           if (error) {
                             log_.Warning("reading the record failed: " + error.message());
                             leader_.HandleReadFailure(BootNow());
                           } else {
                             leader_.HandleReadResult(BootNow(), stored);
                           }
                           RunActions();
                         });
                       });
}

void GroupRunner::Run(const struct WriteRecord& action) {
  tools_.metrics.Count("store_calls_total{cause=\"group write\"}");
  tools_.platform.Swap(
      RecordKey(action.record.group), WriteRecord(action.record), action.expected,
      [this](const SwapResult& result) {
        tools_.loop.Post([this, result] {
          leader_.HandleWriteResult(BootNow(), result.verdict, result.value.revision);
          if (leader_.phase() == LeaderPhase::kLeading) {
            tools_.host.AnnounceLeader(
                {leader_.settings().group, leader_.term(), leader_.record().leader});
          }
          RunActions();
          Pump();
        });
      });
}

void GroupRunner::Run(const SendOrder& action) {
  const std::string address = tools_.host.EndpointAddress(action.endpoint);
  const std::uint64_t sequence = action.order.sequence;
  if (address.empty()) {
    tools_.loop.Post([this, endpoint = action.endpoint, sequence] {
      leader_.HandleOrderFailure(BootNow(), endpoint, sequence);
      RunActions();
    });
    return;
  }
  tools_.metrics.Count("orders_total");
  tools_.endpoints.SendOrder(
      address, action.order, leader_.settings().order_timeout,
      [this, endpoint = action.endpoint, sequence](const std::optional<EndpointReply>& reply) {
        if (reply) {
          leader_.HandleOrderReply(BootNow(), endpoint, sequence, *reply);
        } else {
          leader_.HandleOrderFailure(BootNow(), endpoint, sequence);
        }
        RunActions();
        Pump();
      });
}

void GroupRunner::Run(const struct AskStepDown& action) {
  tools_.host.AskStepDown(leader_.settings().group, action);
}

void GroupRunner::Run(const LogMessage& action) { log_.Info(action.text); }

void GroupRunner::Run(const Resigned&) {
  std::vector<RequestNumber> waiting;
  for (const auto& [number, work] : work_) {
    if (!work.route) {
      waiting.push_back(number);
    }
  }
  for (const RequestNumber number : waiting) {
    dispatcher_.Cancel(number);
    Finish(number,
           Overloaded(http::kServiceUnavailable, "not-leader", "the group's leader has changed"));
  }
}

CommandId GroupRunner::IdOf(const ForwardRequest& request) const {
  return {request.service, request.customer, *request.command};
}

std::optional<Answer> GroupRunner::JudgeCommand(const ForwardRequest& request) {
  switch (commands_.Judge(IdOf(request), WallNow())) {
    case IdempotencyTable::Verdict::kNew:
      return std::nullopt;
    case IdempotencyTable::Verdict::kAnswered:
      return *commands_.Find(IdOf(request));
    case IdempotencyTable::Verdict::kOpen:
      return MakeRefusal(http::kConflict, Outcome::kUnknown, "command-open",
                         "the command was sent before and is still open");
    case IdempotencyTable::Verdict::kTooOld:
      return MakeRefusal(http::kBadRequest, Outcome::kUnknown, "idempotency-key-too-old",
                         "the Idempotency-Key is too old for it to be known whether it has run");
    case IdempotencyTable::Verdict::kTooNew:
      return MakeRefusal(http::kBadRequest, Outcome::kNotRun, "idempotency-key-in-future",
                         "the Idempotency-Key's time lies in the future");
    case IdempotencyTable::Verdict::kFull:
      break;
  }
  return Overloaded(http::kServiceUnavailable, "commands-full", "too many commands are remembered");
}

bool GroupRunner::PerhapsRunBefore(const ForwardRequest& request, Instant now) const {
  const std::optional<Instant> since = leader_.ExclusiveSince(request.shard);
  if (!since) {
    return true;
  }
  const WallMilliseconds age = std::chrono::duration_cast<WallMilliseconds>(now - *since);
  return commands_.PerhapsRunBefore(IdOf(request), WallNow() - age);
}

RequestNumber GroupRunner::Take(ForwardRequest request, ReplyFunction reply) {
  const RequestNumber number = next_number_;
  next_number_.value += 1;
  if (!leads()) {
    reply(
        Overloaded(http::kServiceUnavailable, "not-leader", "this daemon does not lead the group"));
    return number;
  }
  if (request.command) {
    std::optional<Answer> answer = JudgeCommand(request);
    if (answer) {
      log_.Info("request " + request.request_id + " not dispatched: " + answer->reason);
      reply(std::move(*answer));
      return number;
    }
    commands_.Open(IdOf(request));
  }
  const Instant now = BootNow();
  leader_.CountRequest(request.shard);
  retries_.CountFirstTry();
  Work work;
  work.arrived = now;
  work.deadline = now + std::chrono::milliseconds{request.timeout_ms};
  work.request = std::move(request);
  work.reply = std::move(reply);
  work_.emplace(number, std::move(work));
  Enqueue(number);
  Pump();
  return number;
}

void GroupRunner::Enqueue(RequestNumber number) {
  Work& work = work_.at(number);
  work.route.reset();
  QueuedRequest queued{number, work.request.shard, work.request.customer, work.request.weight,
                       work.deadline};
  const std::optional<QueuedRequest> left = dispatcher_.Enqueue(std::move(queued), Routes());
  if (left) {
    Drop(*left, "queue-full", "too many requests wait for the endpoint");
  }
}

void GroupRunner::Drop(const QueuedRequest& request, const char* reason, const char* message) {
  const bool full = std::string_view(reason) == "queue-full";
  Finish(request.number,
         Overloaded(full ? http::kTooManyRequests : http::kServiceUnavailable, reason, message));
}

void GroupRunner::Cancel(RequestNumber number) {
  const auto found = work_.find(number);
  if (found == work_.end()) {
    return;
  }
  Work& work = found->second;
  work.reply = [](const Answer&) {};
  if (dispatcher_.Cancel(number)) {
    Finish(number, Overloaded(http::kServiceUnavailable, "caller-left", "the caller has left"));
    return;
  }
  work.caller_left = true;
  if (!work.request.command && !work.address.empty()) {
    tools_.endpoints.Cancel(work.address, work.request.request_id);
  }
}

void GroupRunner::Pump() {
  for (const struct Dispatch& dispatch :
       dispatcher_.TakeDispatches(BootNow() + ExpectedServiceTime(), Routes())) {
    Dispatch(dispatch);
  }
}

void GroupRunner::Dispatch(const struct Dispatch& dispatch) {
  Work& work = work_.at(dispatch.number);
  const Instant now = BootNow();
  if (work.request.command && PerhapsRunBefore(work.request, now)) {
    dispatcher_.Finish(dispatch.route.endpoint);
    Finish(dispatch.number, MakeRefusal(http::kConflict, Outcome::kUnknown, "command-may-have-run",
                                        "an earlier leader may have run the command"));
    return;
  }
  work.route = dispatch.route;
  work.dispatched = now;
  work.tries += 1;
  work.address = tools_.host.EndpointAddress(dispatch.route.endpoint);
  const auto left = std::max(
      std::chrono::duration_cast<std::chrono::milliseconds>(work.deadline - now), kLeastTimeLeft);
  if (log_.Enabled(LogLevel::kInfo)) {
    log_.Info("request " + work.request.request_id + " of shard " +
              std::to_string(dispatch.shard.value) + " goes to " + dispatch.route.endpoint.value() +
              " under epoch " + std::to_string(dispatch.route.epoch.value) + ", try " +
              std::to_string(work.tries));
  }
  tools_.metrics.RecordQueueTime(work.request.service.value(), now - work.arrived);
  const RequestNumber number = dispatch.number;
  if (work.address.empty()) {
    EndpointResult result;
    result.proved_not_run = true;
    result.connection_failed = true;
    result.answer =
        Overloaded(http::kServiceUnavailable, "endpoint-not-reached", "the endpoint is cut off");
    tools_.loop.Post([this, number, result] { TakeResult(number, result); });
    return;
  }
  work.call = tools_.endpoints.SendRequest(
      service_.rank, work.address, dispatch.route, work.request, left, work.fresh_connection,
      [this, number](EndpointResult result) { TakeResult(number, std::move(result)); });
}

bool GroupRunner::MayTryAgain(const Work& work, const EndpointResult& result, Instant now) {
  const bool in_time = now + ExpectedServiceTime() < work.deadline;
  if (result.proved_not_run && result.connection_failed) {
    // It waits until the endpoint answers again or another one owns the shard,
    // so this is no second load on anything.
    return in_time && leads() && !work.caller_left;
  }
  const bool harmless = result.proved_not_run || !work.request.command;
  const bool worthwhile = result.answer.outcome != Outcome::kRun && !work.caller_left &&
                          work.tries < kMostTries && in_time;
  return harmless && worthwhile && leads() && retries_.TakeRetry();
}

void GroupRunner::TakeResult(RequestNumber number, EndpointResult result) {
  const auto found = work_.find(number);
  if (found == work_.end()) {
    return;
  }
  Work& work = found->second;
  const Instant now = BootNow();
  work.call = 0;
  dispatcher_.Finish(work.route->endpoint);
  if (result.answer.outcome == Outcome::kRun) {
    const Duration error = now - work.dispatched - service_time_;
    service_time_ += error / kAverageSpan;
    service_deviation_ += (std::chrono::abs(error) - service_deviation_) / kAverageSpan;
  }
  if (result.connection_failed && result.proved_not_run) {
    leader_.SuspectEndpoint(now, work.route->endpoint);
  }
  if (MayTryAgain(work, result, now)) {
    work.fresh_connection = result.connection_failed;
    tools_.metrics.Count("retries_total{service=\"" + work.request.service.value() + "\"}");
    Enqueue(number);
  } else if (result.proved_not_run && !leads()) {
    Finish(number,
           Overloaded(http::kServiceUnavailable, "not-leader", "the group's leader has changed"));
  } else {
    Finish(number, std::move(result.answer));
  }
  Pump();
}

void GroupRunner::Finish(RequestNumber number, Answer answer) {
  const auto found = work_.find(number);
  if (found == work_.end()) {
    return;
  }
  const Work work = std::move(found->second);
  work_.erase(found);
  if (work.request.command) {
    if (answer.outcome == Outcome::kNotRun) {
      commands_.Forget(IdOf(work.request));
    } else {
      commands_.Close(IdOf(work.request), answer);
    }
  }
  if (!answer.reason.empty()) {
    log_.Info("request " + work.request.request_id + " ends " + ToString(answer.outcome) + ": " +
              answer.reason);
  }
  work.reply(std::move(answer));
}

}  // namespace sycamorestall

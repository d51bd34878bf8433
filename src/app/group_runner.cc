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
constexpr int kMaxAttempts = 3;
constexpr double kRetryRatio = 0.1;
constexpr double kRetryBurst = 20;
constexpr std::chrono::seconds kCommandExpiryInterval{5};
constexpr std::chrono::milliseconds kMinTimeout{1};
// Moving averages give the newest service time a weight of 1 / kAveragingSpan.
constexpr int kAveragingSpan = 16;
// A request is dispatched only if it would finish before its deadline even if it
// takes this many mean deviations longer than the mean service time.
constexpr int kServiceTimeMarginDeviations = 4;

// Adds the lease settings to the settings of a group.
GroupSettings WithLeaseSettings(const GroupSettings& base, const Settings& settings) {
  GroupSettings group = base;
  group.time_to_live = settings.leases.time_to_live;
  group.clock_margin = settings.leases.clock_margin;
  group.renew_interval = settings.leases.renew_interval;
  group.order_timeout = settings.leases.order_timeout;
  return group;
}

Answer MakeRetryableRefusal(std::uint16_t status, const char* reason, const char* message) {
  Answer answer = MakeErrorAnswer(status, Outcome::kNotRun, reason, message);
  answer.retry_after_s = kRetryAfterS;
  return answer;
}

}  // namespace

GroupRunner::GroupRunner(Dependencies dependencies, const Settings& settings,
                         const GroupSettings& group, ProcessId self)
    : dependencies_(dependencies),
      service_settings_(settings.services.at(group.group.service)),
      rank_name_(settings.ranks[service_settings_.rank].name),
      leader_(WithLeaseSettings(group, settings), std::move(self),
              std::make_unique<BoundedPlacement>(BoundedPlacementSettings{})),
      dispatcher_(DispatchSettings{service_settings_.slots, service_settings_.queue}),
      commands_(IdempotencySettings{settings.command_age_limit, settings.command_clock_margin}),
      retry_budget_(kRetryRatio, kRetryBurst),
      log_("group " + ToString(group.group)) {}

Dispatcher::RouteLookup GroupRunner::MakeRouteLookup() const {
  return [this, now = BootNow()](ShardId shard) { return leader_.FindRoute(shard, now); };
}

void GroupRunner::Claim(Instant now) {
  leader_.Claim(now);
  ExecuteActions();
}

void GroupRunner::Resign(Instant now, std::optional<ProcessId> successor) {
  leader_.Resign(now, std::move(successor));
  ExecuteActions();
}

void GroupRunner::ObserveTerm(Instant now, const LeaderNotice& notice) {
  leader_.ObserveTerm(now, notice.term, notice.leader);
  ExecuteActions();
}

void GroupRunner::UpdateInstances(Instant now, const InstanceList& list) {
  leader_.UpdateInstances(now, list);
  ExecuteActions();
}

void GroupRunner::HandleStepDown(Instant now, const ProcessId& earlier) {
  leader_.HandleStepDown(now, earlier);
  ExecuteActions();
}

void GroupRunner::ClaimIfReachable(const InstanceList& list) {
  const GroupId& group = leader_.settings().group;
  if (probing_ || !idle()) {
    return;
  }
  for (const Instance& instance : list.instances) {
    const std::string address = dependencies_.host.EndpointAddress(instance.id);
    if (instance.service != group.service || instance.domain != group.domain || address.empty()) {
      continue;
    }
    probing_ = true;
    dependencies_.endpoints.Probe(address, leader_.settings().order_timeout, [this](bool reached) {
      probing_ = false;
      if (reached) {
        Claim(BootNow());
      }
    });
  }
}

void GroupRunner::Tick(Instant now) {
  leader_.Tick(now);
  ExecuteActions();
  AbandonCallsWithoutLease(now);
  if (now >= next_command_expiry_) {
    next_command_expiry_ = now + kCommandExpiryInterval;
    commands_.EraseExpired(WallNow());
  }
  const Instant latest_end = now + MaxExpectedServiceTime();
  for (const QueuedRequest& dropped : dispatcher_.CollectDropped(latest_end, MakeRouteLookup())) {
    const auto found = pending_.find(dropped.number);
    const bool past_deadline = found != pending_.end() && found->second.deadline <= latest_end;
    if (past_deadline) {
      RefuseDropped(dropped, "too-late", "the request could not be run before its deadline");
    } else {
      RefuseDropped(dropped, "queue-full", "too many requests wait for the endpoint");
    }
  }
  DispatchWaiting();
}

Duration GroupRunner::MaxExpectedServiceTime() const {
  return mean_service_time_ + kServiceTimeMarginDeviations * service_time_deviation_;
}

void GroupRunner::AbandonCallsWithoutLease(Instant now) {
  if (!leads()) {
    return;
  }
  for (auto& [number, pending] : pending_) {
    const bool should_abandon = pending.call_number != 0 && !pending.request.command &&
                                !leader_.HasValidLease(pending.route->endpoint, now);
    if (should_abandon) {
      // The endpoint does not answer orders either. An idempotent request may run
      // again on another one.
      dependencies_.endpoints.Abandon(service_settings_.rank,
                                      std::exchange(pending.call_number, 0));
    }
  }
}

void GroupRunner::ExecuteActions() {
  for (const GroupAction& action : leader_.TakeActions()) {
    std::visit([this](const auto& each) { Execute(each); }, action);
  }
}

void GroupRunner::Execute(const ReadRecord&) {
  dependencies_.metrics.IncrementCounter("store_calls_total{cause=\"group read\"}");
  dependencies_.platform.Read(RecordKey(leader_.settings().group),
                              [this](std::error_code error, const StoreValue& value) {
                                dependencies_.loop.Post([this, error, value] {
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
                                  ExecuteActions();
                                });
                              });
}

void GroupRunner::Execute(const struct WriteRecord& action) {
  dependencies_.metrics.IncrementCounter("store_calls_total{cause=\"group write\"}");
  dependencies_.platform.CompareAndSwap(
      RecordKey(action.record.group), FormatRecord(action.record), action.expected,
      [this](const SwapResult& result) {
        dependencies_.loop.Post([this, result] {
          leader_.HandleWriteResult(BootNow(), result.outcome, result.value.revision);
          if (leader_.phase() == LeaderPhase::kLeading) {
            dependencies_.host.AnnounceLeader(
                {leader_.settings().group, leader_.term(), leader_.record().leader});
          }
          ExecuteActions();
          DispatchWaiting();
        });
      });
}

void GroupRunner::Execute(const SendOrder& action) {
  const std::string address = dependencies_.host.EndpointAddress(action.endpoint);
  const std::uint64_t sequence = action.order.sequence;
  if (address.empty()) {
    dependencies_.loop.Post([this, endpoint = action.endpoint, sequence] {
      leader_.HandleOrderFailure(BootNow(), endpoint, sequence);
      ExecuteActions();
    });
    return;
  }
  dependencies_.metrics.IncrementCounter("orders_total");
  dependencies_.endpoints.SendOrder(
      address, action.order, leader_.settings().order_timeout,
      [this, endpoint = action.endpoint, sequence](const std::optional<EndpointReply>& reply) {
        if (reply) {
          leader_.HandleOrderReply(BootNow(), endpoint, sequence, *reply);
        } else {
          leader_.HandleOrderFailure(BootNow(), endpoint, sequence);
        }
        ExecuteActions();
        DispatchWaiting();
      });
}

void GroupRunner::Execute(const struct AskStepDown& action) {
  dependencies_.host.RequestStepDown(leader_.settings().group, action);
}

void GroupRunner::Execute(const LogMessage& action) { log_.Info(action.text); }

void GroupRunner::Execute(const Resigned&) {
  std::vector<RequestNumber> not_dispatched;
  for (const auto& [number, pending] : pending_) {
    if (!pending.route) {
      not_dispatched.push_back(number);
    }
  }
  for (const RequestNumber number : not_dispatched) {
    dispatcher_.RemoveWaiting(number);
    Finish(number, MakeRetryableRefusal(http::kServiceUnavailable, "not-leader",
                                        "the group's leader has changed"));
  }
}

CommandId GroupRunner::CommandIdOf(const ForwardRequest& request) const {
  return {request.service, request.customer, *request.command};
}

std::optional<Answer> GroupRunner::CheckCommand(const ForwardRequest& request) {
  switch (commands_.Classify(CommandIdOf(request), WallNow())) {
    case IdempotencyTable::CommandStatus::kNew:
      return std::nullopt;
    case IdempotencyTable::CommandStatus::kAnswered:
      return *commands_.FindAnswer(CommandIdOf(request));
    case IdempotencyTable::CommandStatus::kInProgress:
      return MakeErrorAnswer(http::kConflict, Outcome::kUnknown, "command-open",
                             "the command was sent before and is still open");
    case IdempotencyTable::CommandStatus::kTooOld:
      return MakeErrorAnswer(
          http::kBadRequest, Outcome::kUnknown, "idempotency-key-too-old",
          "the Idempotency-Key is too old for it to be known whether it has run");
    case IdempotencyTable::CommandStatus::kTooNew:
      return MakeErrorAnswer(http::kBadRequest, Outcome::kNotRun, "idempotency-key-in-future",
                             "the Idempotency-Key's time lies in the future");
    case IdempotencyTable::CommandStatus::kFull:
      break;
  }
  return MakeRetryableRefusal(http::kServiceUnavailable, "commands-full",
                              "too many commands are remembered");
}

bool GroupRunner::MayHaveRunUnderEarlierLeader(const ForwardRequest& request, Instant now) const {
  const std::optional<Instant> exclusive_since = leader_.ExclusiveSince(request.shard);
  if (!exclusive_since) {
    return true;
  }
  const WallMilliseconds age = std::chrono::duration_cast<WallMilliseconds>(now - *exclusive_since);
  return commands_.MayHaveRunUnderEarlierLeader(CommandIdOf(request), WallNow() - age);
}

RequestNumber GroupRunner::HandleRequest(ForwardRequest request, ReplyCallback reply) {
  const RequestNumber number = next_number_;
  next_number_.value += 1;
  if (!leads()) {
    reply(MakeRetryableRefusal(http::kServiceUnavailable, "not-leader",
                               "this daemon does not lead the group"));
    return number;
  }
  if (request.command) {
    std::optional<Answer> answer = CheckCommand(request);
    if (answer) {
      log_.Info("request " + request.request_id + " not dispatched: " + answer->reason);
      reply(std::move(*answer));
      return number;
    }
    commands_.Insert(CommandIdOf(request));
  }
  const Instant now = BootNow();
  leader_.CountRequest(request.shard);
  retry_budget_.CountFirstAttempt();
  PendingRequest pending;
  pending.arrived_at = now;
  pending.deadline = now + std::chrono::milliseconds{request.timeout_ms};
  pending.request = std::move(request);
  pending.reply = std::move(reply);
  pending_.emplace(number, std::move(pending));
  Enqueue(number);
  DispatchWaiting();
  return number;
}

void GroupRunner::Enqueue(RequestNumber number) {
  PendingRequest& pending = pending_.at(number);
  pending.route.reset();
  QueuedRequest queued{number, pending.request.shard, pending.request.customer,
                       pending.request.weight, pending.deadline};
  const std::optional<QueuedRequest> evicted =
      dispatcher_.Enqueue(std::move(queued), MakeRouteLookup());
  if (evicted) {
    RefuseDropped(*evicted, "queue-full", "too many requests wait for the endpoint");
  }
}

void GroupRunner::RefuseDropped(const QueuedRequest& request, const char* reason,
                                const char* message) {
  const bool queue_full = std::string_view(reason) == "queue-full";
  Finish(request.number,
         MakeRetryableRefusal(queue_full ? http::kTooManyRequests : http::kServiceUnavailable,
                              reason, message));
}

void GroupRunner::Cancel(RequestNumber number) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  PendingRequest& pending = found->second;
  pending.reply = [](const Answer&) {};
  if (dispatcher_.RemoveWaiting(number)) {
    Finish(number,
           MakeRetryableRefusal(http::kServiceUnavailable, "caller-left", "the caller has left"));
    return;
  }
  pending.caller_left = true;
  if (!pending.request.command && !pending.address.empty()) {
    dependencies_.endpoints.Cancel(pending.address, pending.request.request_id);
  }
}

void GroupRunner::DispatchWaiting() {
  for (const struct Dispatch& dispatch :
       dispatcher_.DispatchReady(BootNow() + MaxExpectedServiceTime(), MakeRouteLookup())) {
    SendToEndpoint(dispatch);
  }
}

void GroupRunner::SendToEndpoint(const struct Dispatch& dispatch) {
  PendingRequest& pending = pending_.at(dispatch.number);
  const Instant now = BootNow();
  if (pending.request.command && MayHaveRunUnderEarlierLeader(pending.request, now)) {
    dispatcher_.ReleaseSlot(dispatch.route.endpoint);
    Finish(dispatch.number,
           MakeErrorAnswer(http::kConflict, Outcome::kUnknown, "command-may-have-run",
                           "an earlier leader may have run the command"));
    return;
  }
  pending.route = dispatch.route;
  pending.dispatched_at = now;
  pending.attempts += 1;
  pending.address = dependencies_.host.EndpointAddress(dispatch.route.endpoint);
  const auto time_left = std::max(
      std::chrono::duration_cast<std::chrono::milliseconds>(pending.deadline - now), kMinTimeout);
  if (log_.IsEnabled(LogLevel::kInfo)) {
    log_.Info("request " + pending.request.request_id + " of shard " +
              std::to_string(dispatch.shard.value) + " sent to " + dispatch.route.endpoint.value() +
              " under epoch " + std::to_string(dispatch.route.epoch.value) + ", attempt " +
              std::to_string(pending.attempts));
  }
  dependencies_.metrics.RecordQueueTime(pending.request.service.value(), now - pending.arrived_at);
  const RequestNumber number = dispatch.number;
  if (pending.address.empty()) {
    EndpointResult result;
    result.proved_not_run = true;
    result.connection_failed = true;
    result.answer = MakeRetryableRefusal(http::kServiceUnavailable, "endpoint-not-reached",
                                         "the endpoint is cut off");
    dependencies_.loop.Post([this, number, result] { HandleResult(number, result); });
    return;
  }
  pending.call_number = dependencies_.endpoints.SendRequest(
      service_settings_.rank, pending.address, dispatch.route, pending.request, time_left,
      pending.fresh_connection,
      [this, number](EndpointResult result) { HandleResult(number, std::move(result)); });
}

bool GroupRunner::ShouldRetry(const PendingRequest& pending, const EndpointResult& result,
                              Instant now) {
  const bool in_time = now + MaxExpectedServiceTime() < pending.deadline;
  if (result.proved_not_run && result.connection_failed) {
    // The request waits until the endpoint answers again or another one owns the
    // shard, so the retry adds no load and needs no retry budget.
    return in_time && leads() && !pending.caller_left;
  }
  const bool safe_to_retry = result.proved_not_run || !pending.request.command;
  const bool worth_retrying = result.answer.outcome != Outcome::kRun && !pending.caller_left &&
                              pending.attempts < kMaxAttempts && in_time;
  return safe_to_retry && worth_retrying && leads() && retry_budget_.TryConsumeRetry();
}

void GroupRunner::HandleResult(RequestNumber number, EndpointResult result) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  PendingRequest& pending = found->second;
  const Instant now = BootNow();
  pending.call_number = 0;
  dispatcher_.ReleaseSlot(pending.route->endpoint);
  if (result.answer.outcome == Outcome::kRun) {
    const Duration deviation = now - pending.dispatched_at - mean_service_time_;
    mean_service_time_ += deviation / kAveragingSpan;
    service_time_deviation_ +=
        (std::chrono::abs(deviation) - service_time_deviation_) / kAveragingSpan;
  }
  if (result.connection_failed && result.proved_not_run) {
    leader_.SuspectEndpoint(now, pending.route->endpoint);
  }
  if (ShouldRetry(pending, result, now)) {
    pending.fresh_connection = result.connection_failed;
    dependencies_.metrics.IncrementCounter("retries_total{service=\"" +
                                           pending.request.service.value() + "\"}");
    Enqueue(number);
  } else if (result.proved_not_run && !leads()) {
    Finish(number, MakeRetryableRefusal(http::kServiceUnavailable, "not-leader",
                                        "the group's leader has changed"));
  } else {
    Finish(number, std::move(result.answer));
  }
  DispatchWaiting();
}

void GroupRunner::Finish(RequestNumber number, Answer answer) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) {
    return;
  }
  const PendingRequest pending = std::move(found->second);
  pending_.erase(found);
  if (pending.request.command) {
    if (answer.outcome == Outcome::kNotRun) {
      commands_.Erase(CommandIdOf(pending.request));
    } else {
      commands_.SetAnswer(CommandIdOf(pending.request), answer);
    }
  }
  if (!answer.reason.empty()) {
    log_.Info("request " + pending.request.request_id + " finished with outcome " +
              ToString(answer.outcome) + ": " + answer.reason);
  }
  pending.reply(std::move(answer));
}

}  // namespace sycamorestall

#include "app/ingress.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "clock/system_clock.h"
#include "core/shard_map.h"
#include "http/status.h"

namespace sycamorestall {

namespace {

constexpr double kRetryRatio = 0.1;
constexpr double kRetryBurst = 50;
// An answer is sent at least timeout / kMarginDivisor (within the bounds below)
// before the caller's timeout ends. The leader has to answer earlier by the same
// margin, since it knows more precisely whether a request was run.
constexpr int kMarginDivisor = 40;
constexpr Duration kMinMargin = std::chrono::milliseconds{1};
constexpr Duration kMaxMargin = std::chrono::milliseconds{20};

Duration AnswerMargin(std::chrono::milliseconds timeout) {
  return std::clamp<Duration>(Duration{timeout} / kMarginDivisor, kMinMargin, kMaxMargin);
}

Answer MakeRetryableRefusal(std::uint16_t status, const char* reason, const char* message) {
  Answer answer = MakeErrorAnswer(status, Outcome::kNotRun, reason, message);
  answer.retry_after_s = 1;
  return answer;
}

std::vector<RankLimits> CollectRankLimits(const Settings& settings) {
  std::vector<RankLimits> rank_limits;
  for (const RankSettings& rank : settings.ranks) {
    rank_limits.push_back(rank.limits);
  }
  return rank_limits;
}

}  // namespace

Ingress::Ingress(Dependencies dependencies)
    : dependencies_(dependencies),
      rank_limiter_(dependencies.settings.max_in_flight, CollectRankLimits(dependencies.settings)),
      retry_budget_(kRetryRatio, kRetryBurst) {}

GroupId Ingress::GroupOf(const CallerRequest& request) const {
  const ServiceSettings& service = dependencies_.settings.services.at(request.service);
  return {request.service, DomainOfShard(request.shard, service.domains)};
}

std::optional<Answer> Ingress::Admit(const CallerRequest& request, std::size_t rank,
                                     double& weight) {
  if (refusing_) {
    return MakeRetryableRefusal(http::kServiceUnavailable, "leaving",
                                "this daemon is being stopped");
  }
  const Plan* plan = dependencies_.config.customer_plans().FindPlan(request.customer);
  if (plan == nullptr) {
    return MakeErrorAnswer(http::kForbidden, Outcome::kNotRun, "unknown-customer",
                           "there is no customer of that name, or its plan does not exist");
  }
  if (!plan->services.empty() && !plan->services.contains(request.service)) {
    return MakeErrorAnswer(http::kForbidden, Outcome::kNotRun, "service-not-in-plan",
                           "the customer's plan does not include the service");
  }
  if (open_by_customer_[request.customer] >= plan->max_in_flight) {
    return MakeRetryableRefusal(http::kTooManyRequests, "customer-limit",
                                "the customer has too many requests open");
  }
  if (!rank_limiter_.TryAcquire(rank)) {
    return MakeRetryableRefusal(http::kServiceUnavailable, "overloaded",
                                "the daemon is overloaded");
  }
  weight = plan->weight;
  return std::nullopt;
}

void Ingress::HandleRequest(CallerRequest request, const http::Responder& responder) {
  const std::size_t rank = dependencies_.settings.services.at(request.service).rank;
  double weight = 1;
  std::optional<Answer> refusal = Admit(request, rank, weight);
  if (refusal) {
    dependencies_.metrics.IncrementCounter("refused_total{rank=\"" +
                                           dependencies_.settings.ranks[rank].name +
                                           "\",reason=\"" + refusal->reason + "\"}");
    responder.Send(MakeResponse(std::move(*refusal)));
    return;
  }
  open_by_customer_[request.customer] += 1;
  const std::uint64_t number = responder.number();
  OpenRequest entry;
  entry.responder = responder;
  entry.id = dependencies_.settings.instance.value() + "-" + std::to_string(number);
  entry.rank = rank;
  entry.weight = weight;
  entry.arrived_at = BootNow();
  entry.margin = AnswerMargin(request.timeout);
  entry.deadline = entry.arrived_at + request.timeout - entry.margin;
  entry.request = std::move(request);
  open_requests_.emplace(number, std::move(entry));
  retry_budget_.CountFirstAttempt();
  ForwardToLeader(number);
}

ForwardRequest Ingress::MakeForwardRequest(std::uint64_t number, const OpenRequest& entry,
                                           Instant now) const {
  const auto time_left =
      std::chrono::duration_cast<std::chrono::milliseconds>(entry.deadline - entry.margin - now);
  ForwardRequest forward;
  forward.number = number;
  forward.service = entry.request.service;
  forward.shard = entry.request.shard;
  forward.key = entry.request.key;
  forward.method = static_cast<std::uint8_t>(entry.request.method);
  forward.customer = entry.request.customer;
  forward.weight = entry.weight;
  forward.timeout_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(time_left.count(), 1));
  forward.command = entry.request.command;
  forward.request_id = entry.id;
  forward.content_type = entry.request.content_type;
  forward.body = entry.request.body;
  return forward;
}

void Ingress::ForwardToLeader(std::uint64_t number) {
  OpenRequest& entry = open_requests_.at(number);
  waiting_for_leader_.insert(number);
  const GroupId group = GroupOf(entry.request);
  const auto runner = dependencies_.runners.find(group);
  if (runner != dependencies_.runners.end() && runner->second->leads()) {
    PassToRunner(number, *runner->second);
    return;
  }
  const LeaderNotice* notice = dependencies_.leadership.Find(group);
  if (notice == nullptr || !dependencies_.membership.IsAlive(notice->leader)) {
    return;
  }
  const Member* leader = dependencies_.membership.Find(notice->leader.instance);
  const bool leader_known = leader != nullptr && leader->process == notice->leader;
  if (!leader_known) {
    return;
  }
  const ForwardRequest forward = MakeForwardRequest(number, entry, BootNow());
  if (!dependencies_.network.Send(leader->address, ChannelOfRank(entry.rank), forward)) {
    return;
  }
  if (log_.IsEnabled(LogLevel::kInfo)) {
    log_.Info("request " + entry.id + " of " + ToString(group) + " forwarded to leader " +
              notice->leader.instance.value() + " of term " + std::to_string(notice->term.value));
  }
  entry.leader_address = leader->address;
  entry.forwarded = true;
  entry.may_have_reached_leader = true;
  waiting_for_leader_.erase(number);
}

void Ingress::PassToRunner(std::uint64_t number, GroupRunner& runner) {
  OpenRequest& entry = open_requests_.at(number);
  waiting_for_leader_.erase(number);
  entry.forwarded = true;
  entry.may_have_reached_leader = true;
  entry.leader_address.clear();
  if (log_.IsEnabled(LogLevel::kInfo)) {
    log_.Info("request " + entry.id + " is handled by the leader in this daemon");
  }
  const RequestNumber runner_number = runner.HandleRequest(
      MakeForwardRequest(number, entry, BootNow()),
      [this, number](Answer answer) { HandleAnswer(number, std::move(answer)); });
  const auto still_open = open_requests_.find(number);
  if (still_open != open_requests_.end()) {
    still_open->second.runner_number = runner_number;
  }
}

void Ingress::HandleReply(const ForwardReply& reply) { HandleAnswer(reply.number, reply.answer); }

void Ingress::HandleAnswer(std::uint64_t number, Answer answer) {
  const auto found = open_requests_.find(number);
  if (found == open_requests_.end() || !found->second.forwarded) {
    return;
  }
  OpenRequest& entry = found->second;
  const bool leader_changed = answer.outcome == Outcome::kNotRun && answer.reason == "not-leader";
  if (leader_changed && BootNow() < entry.deadline) {
    // The request was certainly not run. It is forwarded again at the next tick,
    // when the new leader may be known.
    entry.forwarded = false;
    waiting_for_leader_.insert(number);
    return;
  }
  Finish(number, std::move(answer));
}

void Ingress::HandleConnectionLost(const std::string& address, PeerChannel channel,
                                   bool never_connected) {
  std::vector<std::uint64_t> affected;
  for (const auto& [number, entry] : open_requests_) {
    if (entry.forwarded && entry.leader_address == address &&
        ChannelOfRank(entry.rank) == channel) {
      affected.push_back(number);
    }
  }
  for (const std::uint64_t number : affected) {
    OpenRequest& entry = open_requests_.at(number);
    const bool may_retry =
        never_connected || (entry.request.idempotent() && retry_budget_.TryConsumeRetry());
    if (may_retry) {
      entry.forwarded = false;
      entry.may_have_reached_leader = entry.may_have_reached_leader && !never_connected;
      waiting_for_leader_.insert(number);
      continue;
    }
    Finish(number,
           MakeErrorAnswer(http::kServiceUnavailable, Outcome::kUnknown, "leader-lost",
                           "the connection to the leader broke; the request may have been run"));
  }
}

void Ingress::HandleCallerDisconnect(std::uint64_t number) {
  const auto found = open_requests_.find(number);
  if (found == open_requests_.end()) {
    return;
  }
  const OpenRequest& entry = found->second;
  if (entry.forwarded && !entry.leader_address.empty()) {
    dependencies_.network.Send(entry.leader_address, ChannelOfRank(entry.rank),
                               CancelForward{number});
  } else if (entry.forwarded) {
    const auto runner = dependencies_.runners.find(GroupOf(entry.request));
    runner->second->Cancel(entry.runner_number);
  }
  dependencies_.metrics.IncrementCounter("callers_left_total{rank=\"" +
                                         dependencies_.settings.ranks[entry.rank].name + "\"}");
  Finish(number,
         MakeErrorAnswer(http::kGatewayTimeout, Outcome::kUnknown, "caller-left", "nobody waits"));
}

void Ingress::Tick(Instant now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [number, entry] : open_requests_) {
    if (now >= entry.deadline) {
      expired.push_back(number);
    }
  }
  for (const std::uint64_t number : expired) {
    const OpenRequest& entry = open_requests_.at(number);
    const bool proved_not_run =
        !entry.may_have_reached_leader || waiting_for_leader_.contains(number);
    if (proved_not_run && (entry.request.command || !entry.may_have_reached_leader)) {
      Finish(number, MakeRetryableRefusal(http::kServiceUnavailable, "no-leader",
                                          "no leader of the key's group is reached"));
      continue;
    }
    if (!entry.leader_address.empty()) {
      dependencies_.network.Send(entry.leader_address, ChannelOfRank(entry.rank),
                                 CancelForward{number});
    }
    Finish(number, MakeErrorAnswer(http::kGatewayTimeout, Outcome::kUnknown, "no-answer-in-time",
                                   "no answer came in time; the request may have been run"));
  }
  const std::vector<std::uint64_t> waiting(waiting_for_leader_.begin(), waiting_for_leader_.end());
  for (const std::uint64_t number : waiting) {
    ForwardToLeader(number);
  }
}

void Ingress::Finish(std::uint64_t number, Answer answer) {
  const auto found = open_requests_.find(number);
  const OpenRequest entry = std::move(found->second);
  open_requests_.erase(found);
  waiting_for_leader_.erase(number);
  rank_limiter_.Release(entry.rank);
  const auto customer = open_by_customer_.find(entry.request.customer);
  if (--customer->second == 0) {
    open_by_customer_.erase(customer);
  }
  dependencies_.metrics.RecordLatency(
      {dependencies_.settings.ranks[entry.rank].name, answer.outcome},
      BootNow() - entry.arrived_at);
  if (answer.outcome != Outcome::kRun) {
    log_.Info("request " + entry.id + " finished with outcome " + ToString(answer.outcome) + ": " +
              answer.reason);
  }
  entry.responder.Send(MakeResponse(std::move(answer)));
}

}  // namespace sycamorestall

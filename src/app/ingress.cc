#include "app/ingress.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "clock/system_clock.h"
#include "core/shard_map.h"
#include "http/status.h"

namespace sycamorestall {

namespace {

constexpr double kRetryShare = 0.1;
constexpr double kRetryBurst = 50;
// An answer has to be on its way before the caller's patience is over, and the
// leader's, which knows more precisely whether a request was run, before that.
constexpr int kMarginShare = 40;
constexpr Duration kLeastMargin = std::chrono::milliseconds{1};
constexpr Duration kMostMargin = std::chrono::milliseconds{20};

Duration AnswerMargin(std::chrono::milliseconds timeout) {
  return std::clamp<Duration>(Duration{timeout} / kMarginShare, kLeastMargin, kMostMargin);
}

Answer RetryLater(std::uint16_t status, const char* reason, const char* message) {
  Answer answer = MakeRefusal(status, Outcome::kNotRun, reason, message);
  answer.retry_after_s = 1;
  return answer;
}

std::vector<RankShare> SharesOf(const Settings& settings) {
  std::vector<RankShare> shares;
  for (const RankSettings& rank : settings.ranks) {
    shares.push_back(rank.share);
  }
  return shares;
}

}  // namespace

Ingress::Ingress(Tools tools)
    : tools_(tools),
      budget_(tools.settings.max_in_flight, SharesOf(tools.settings)),
      retries_(kRetryShare, kRetryBurst) {}

GroupId Ingress::GroupOf(const CallerRequest& request) const {
  const ServiceSettings& service = tools_.settings.services.at(request.service);
  return {request.service, DomainOfShard(request.shard, service.domains)};
}

std::optional<Answer> Ingress::Admit(const CallerRequest& request, std::size_t rank,
                                     double& weight) {
  if (closed_) {
    return RetryLater(http::kServiceUnavailable, "leaving", "this daemon is being stopped");
  }
  const Plan* plan = tools_.config.book().Find(request.customer);
  if (plan == nullptr) {
    return MakeRefusal(http::kForbidden, Outcome::kNotRun, "unknown-customer",
                       "there is no customer of that name, or its plan does not exist");
  }
  if (!plan->services.empty() && !plan->services.contains(request.service)) {
    return MakeRefusal(http::kForbidden, Outcome::kNotRun, "service-not-in-plan",
                       "the customer's plan does not include the service");
  }
  if (by_customer_[request.customer] >= plan->max_in_flight) {
    return RetryLater(http::kTooManyRequests, "customer-limit",
                      "the customer has too many requests open");
  }
  if (!budget_.Admit(rank)) {
    return RetryLater(http::kServiceUnavailable, "overloaded", "the daemon is overloaded");
  }
  weight = plan->weight;
  return std::nullopt;
}

void Ingress::Take(CallerRequest request, const http::Responder& responder) {
  const std::size_t rank = tools_.settings.services.at(request.service).rank;
  double weight = 1;
  std::optional<Answer> refusal = Admit(request, rank, weight);
  if (refusal) {
    tools_.metrics.Count("refused_total{rank=\"" + tools_.settings.ranks[rank].name +
                         "\",reason=\"" + refusal->reason + "\"}");
    responder.Send(MakeResponse(std::move(*refusal)));
    return;
  }
  by_customer_[request.customer] += 1;
  const std::uint64_t number = responder.number();
  Open open;
  open.responder = responder;
  open.id = tools_.settings.instance.value() + "-" + std::to_string(number);
  open.rank = rank;
  open.weight = weight;
  open.arrived = BootNow();
  open.margin = AnswerMargin(request.timeout);
  open.deadline = open.arrived + request.timeout - open.margin;
  open.request = std::move(request);
  open_.emplace(number, std::move(open));
  retries_.CountFirstTry();
  Forward(number);
}

ForwardRequest Ingress::MakeForward(std::uint64_t number, const Open& open, Instant now) const {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(open.deadline - open.margin - now);
  ForwardRequest forward;
  forward.number = number;
  forward.service = open.request.service;
  forward.shard = open.request.shard;
  forward.key = open.request.key;
  forward.method = static_cast<std::uint8_t>(open.request.method);
  forward.customer = open.request.customer;
  forward.weight = open.weight;
  forward.timeout_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 1));
  forward.command = open.request.command;
  forward.request_id = open.id;
  forward.content_type = open.request.content_type;
  forward.body = open.request.body;
  return forward;
}

void Ingress::Forward(std::uint64_t number) {
  Open& open = open_.at(number);
  waiting_.insert(number);
  const GroupId group = GroupOf(open.request);
  const auto runner = tools_.runners.find(group);
  if (runner != tools_.runners.end() && runner->second->leads()) {
    ForwardLocally(number, *runner->second);
    return;
  }
  const LeaderNotice* notice = tools_.leadership.Find(group);
  if (notice == nullptr || !tools_.membership.IsAlive(notice->leader)) {
    return;
  }
  const Member* leader = tools_.membership.Find(notice->leader.instance);
  const bool elsewhere = leader != nullptr && leader->process == notice->leader;
  if (!elsewhere) {
    return;
  }
  const ForwardRequest forward = MakeForward(number, open, BootNow());
  if (!tools_.network.Send(leader->address, ChannelOfRank(open.rank), forward)) {
    return;
  }
  if (log_.Enabled(LogLevel::kInfo)) {
    log_.Info("request " + open.id + " of " + ToString(group) + " goes to leader " +
              notice->leader.instance.value() + " of term " + std::to_string(notice->term.value));
  }
  open.address = leader->address;
  open.forwarded = true;
  open.was_sent = true;
  waiting_.erase(number);
}

void Ingress::ForwardLocally(std::uint64_t number, GroupRunner& runner) {
  Open& open = open_.at(number);
  waiting_.erase(number);
  open.forwarded = true;
  open.was_sent = true;
  open.address.clear();
  if (log_.Enabled(LogLevel::kInfo)) {
    log_.Info("request " + open.id + " is led here");
  }
  const RequestNumber local =
      runner.Take(MakeForward(number, open, BootNow()),
                  [this, number](Answer answer) { TakeAnswer(number, std::move(answer)); });
  const auto still_open = open_.find(number);
  if (still_open != open_.end()) {
    still_open->second.local = local;
  }
}

void Ingress::TakeReply(const ForwardReply& reply) { TakeAnswer(reply.number, reply.answer); }

void Ingress::TakeAnswer(std::uint64_t number, Answer answer) {
  const auto found = open_.find(number);
  if (found == open_.end() || !found->second.forwarded) {
    return;
  }
  Open& open = found->second;
  const bool moved = answer.outcome == Outcome::kNotRun && answer.reason == "not-leader";
  if (moved && BootNow() < open.deadline) {
    // Proved not run: it waits for the next tick, by when the new leader may
    // be known.
    open.forwarded = false;
    waiting_.insert(number);
    return;
  }
  Finish(number, std::move(answer));
}

void Ingress::LinkLost(const std::string& address, PeerChannel channel, bool refused) {
  std::vector<std::uint64_t> lost;
  for (const auto& [number, open] : open_) {
    if (open.forwarded && open.address == address && ChannelOfRank(open.rank) == channel) {
      lost.push_back(number);
    }
  }
  for (const std::uint64_t number : lost) {
    Open& open = open_.at(number);
    const bool may_retry = refused || (open.request.idempotent() && retries_.TakeRetry());
    if (may_retry) {
      open.forwarded = false;
      open.was_sent = open.was_sent && !refused;
      waiting_.insert(number);
      continue;
    }
    Finish(number,
           MakeRefusal(http::kServiceUnavailable, Outcome::kUnknown, "leader-lost",
                       "the connection to the leader broke; the request may have been run"));
  }
}

void Ingress::CallerLeft(std::uint64_t number) {
  const auto found = open_.find(number);
  if (found == open_.end()) {
    return;
  }
  const Open& open = found->second;
  if (open.forwarded && !open.address.empty()) {
    tools_.network.Send(open.address, ChannelOfRank(open.rank), CancelForward{number});
  } else if (open.forwarded) {
    const auto runner = tools_.runners.find(GroupOf(open.request));
    runner->second->Cancel(open.local);
  }
  tools_.metrics.Count("callers_left_total{rank=\"" + tools_.settings.ranks[open.rank].name +
                       "\"}");
  Finish(number,
         MakeRefusal(http::kGatewayTimeout, Outcome::kUnknown, "caller-left", "nobody waits"));
}

void Ingress::Tick(Instant now) {
  std::vector<std::uint64_t> late;
  for (const auto& [number, open] : open_) {
    if (now >= open.deadline) {
      late.push_back(number);
    }
  }
  for (const std::uint64_t number : late) {
    const Open& open = open_.at(number);
    const bool proved_not_run = !open.was_sent || waiting_.contains(number);
    if (proved_not_run && (open.request.command || !open.was_sent)) {
      Finish(number, RetryLater(http::kServiceUnavailable, "no-leader",
                                "no leader of the key's group is reached"));
      continue;
    }
    if (!open.address.empty()) {
      tools_.network.Send(open.address, ChannelOfRank(open.rank), CancelForward{number});
    }
    Finish(number, MakeRefusal(http::kGatewayTimeout, Outcome::kUnknown, "no-answer-in-time",
                               "no answer came in time; the request may have been run"));
  }
  const std::vector<std::uint64_t> waiting(waiting_.begin(), waiting_.end());
  for (const std::uint64_t number : waiting) {
    Forward(number);
  }
}

void Ingress::Finish(std::uint64_t number, Answer answer) {
  const auto found = open_.find(number);
  const Open open = std::move(found->second);
  open_.erase(found);
  waiting_.erase(number);
  budget_.Release(open.rank);
  const auto customer = by_customer_.find(open.request.customer);
  if (--customer->second == 0) {
    by_customer_.erase(customer);
  }
  tools_.metrics.RecordLatency({tools_.settings.ranks[open.rank].name, answer.outcome},
                               BootNow() - open.arrived);
  if (answer.outcome != Outcome::kRun) {
    log_.Info("request " + open.id + " ends " + ToString(answer.outcome) + ": " + answer.reason);
  }
  open.responder.Send(MakeResponse(std::move(answer)));
}

}  // namespace sycamorestall

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "app/caller_request.h"
#include "app/config_manager.h"
#include "app/group_runner.h"
#include "core/leadership.h"
#include "core/membership.h"
#include "core/rank_concurrency_limiter.h"
#include "core/retry_budget.h"
#include "http/http_server.h"
#include "peer/peer_network.h"

namespace sycamorestall {

// Admits callers' requests by rank and plan, forwards each to the leader of its
// shard's group, and sends the answer to the caller. Runs on the event loop.
class Ingress {
 public:
  // References that must outlive the ingress.
  struct Dependencies {
    const Settings& settings;
    const ConfigManager& config;
    const Membership& membership;
    const LeadershipTable& leadership;
    PeerNetwork& network;
    std::map<GroupId, std::unique_ptr<GroupRunner>>& runners;
    Metrics& metrics;
  };

  explicit Ingress(Dependencies dependencies);

  // Admits or refuses a request that has been parsed.
  void HandleRequest(CallerRequest request, const http::Responder& responder);
  // Cancels the request of a caller that has disconnected.
  void HandleCallerDisconnect(std::uint64_t number);
  // Handles the answer of a leader on another daemon.
  void HandleReply(const ForwardReply& reply);
  // Retries or answers the requests that were in flight on a lost connection to
  // another daemon; never_connected says that the connection was never established.
  void HandleConnectionLost(const std::string& address, PeerChannel channel, bool never_connected);
  // Answers requests past their deadline and forwards those that wait for a leader.
  void Tick(Instant now);
  // Refuses new requests from now on.
  void RefuseNewRequests() { refusing_ = true; }

  std::size_t open_count() const { return open_requests_.size(); }

 private:
  // A request that has not been answered yet.
  struct OpenRequest {
    CallerRequest request;
    http::Responder responder;
    std::string id;
    std::size_t rank = 0;
    double weight = 1;
    Instant arrived_at;
    // Time by which an answer has to be sent.
    Instant deadline;
    // Time before the deadline by which the leader has to answer.
    Duration margin{};
    // Address of the daemon that the request was last forwarded to; empty for none
    // and for this daemon.
    std::string leader_address;
    // Number of the request at this daemon's GroupRunner.
    RequestNumber runner_number;
    // Whether a leader has the request; otherwise it waits for one.
    bool forwarded = false;
    // Whether any leader may have received the request.
    bool may_have_reached_leader = false;
  };

  // Reserves capacity for a request and sets its weight, or returns the refusal.
  std::optional<Answer> Admit(const CallerRequest& request, std::size_t rank, double& weight);
  void ForwardToLeader(std::uint64_t number);
  void PassToRunner(std::uint64_t number, GroupRunner& runner);
  void HandleAnswer(std::uint64_t number, Answer answer);
  void Finish(std::uint64_t number, Answer answer);
  GroupId GroupOf(const CallerRequest& request) const;
  ForwardRequest MakeForwardRequest(std::uint64_t number, const OpenRequest& entry,
                                    Instant now) const;

  Dependencies dependencies_;
  RankConcurrencyLimiter rank_limiter_;
  RetryBudget retry_budget_;
  std::map<std::uint64_t, OpenRequest> open_requests_;
  std::map<CustomerName, std::size_t> open_by_customer_;
  std::set<std::uint64_t> waiting_for_leader_;
  bool refusing_ = false;
  ComponentLog log_{"ingress"};
};

}  // namespace sycamorestall

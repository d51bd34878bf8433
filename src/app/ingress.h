#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "app/caller_request.h"
#include "app/config_keeper.h"
#include "app/group_runner.h"
#include "core/leadership.h"
#include "core/membership.h"
#include "core/rank_budget.h"
#include "core/retry_budget.h"
#include "http/http_server.h"
#include "peer/peer_network.h"

namespace sycamorestall {

// Takes callers' requests, admits them by rank and plan, and brings each to the
// leader of its shard's group and the answer back. Runs on the loop.
class Ingress {
 public:
  // What the ingress works with; all of it outlives it.
  struct Tools {
    const Settings& settings;
    const ConfigKeeper& config;
    const Membership& membership;
    const LeadershipTable& leadership;
    PeerNetwork& network;
    std::map<GroupId, std::unique_ptr<GroupRunner>>& runners;
    Metrics& metrics;
  };

  explicit Ingress(Tools tools);

  // Takes a request that is well formed.
  void Take(CallerRequest request, const http::Responder& responder);
  // The caller of a request has left.
  void CallerLeft(std::uint64_t number);
  // A leader has answered.
  void TakeReply(const ForwardReply& reply);
  // A connection to a leader is gone, with what was under way on it.
  void LinkLost(const std::string& address, PeerChannel channel, bool refused);
  // Answers what is late and tries again what waits for a leader.
  void Tick(Instant now);
  // Refuses new requests from now on.
  void Close() { closed_ = true; }

  std::size_t open() const { return open_.size(); }

 private:
  struct Open {
    CallerRequest request;
    http::Responder responder;
    std::string id;
    std::size_t rank = 0;
    double weight = 1;
    Instant arrived;
    // When an answer has to be sent at the latest.
    Instant deadline;
    Duration margin{};
    // Where the request is; empty while it waits for a leader.
    std::string address;
    RequestNumber local;
    bool forwarded = false;
    bool was_sent = false;
  };

  std::optional<Answer> Admit(const CallerRequest& request, std::size_t rank, double& weight);
  void Forward(std::uint64_t number);
  void ForwardLocally(std::uint64_t number, GroupRunner& runner);
  void TakeAnswer(std::uint64_t number, Answer answer);
  void Finish(std::uint64_t number, Answer answer);
  GroupId GroupOf(const CallerRequest& request) const;
  ForwardRequest MakeForward(std::uint64_t number, const Open& open, Instant now) const;

  Tools tools_;
  RankBudget budget_;
  RetryBudget retries_;
  std::map<std::uint64_t, Open> open_;
  std::map<CustomerName, std::size_t> by_customer_;
  std::set<std::uint64_t> waiting_;
  bool closed_ = false;
  ComponentLog log_{"ingress"};
};

}  // namespace sycamorestall

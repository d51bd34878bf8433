#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/key_leader.h"

namespace sycamorestall::testing {

// A single daemon whose writes succeed at once. Listed endpoints carry out its orders;
// for other endpoints the reply comes from the endpoint that has their address now, if any.
struct SingleLeaderSetup {
  SingleLeaderSetup();

  // Adds an endpoint at port 80 of the host, or replaces its entry.
  void AddEndpoint(const std::string& id, const std::string& host,
                   const std::string& service = "soil", const std::string& domain = "",
                   bool draining = false);
  // Runs the daemon for the time, and one step more.
  void RunFor(Duration time);
  // Runs until this daemon leads, for some seconds at most. Returns whether it does.
  bool RunUntilLeading();
  OrderReply ReplyOf(const InstanceId& endpoint) const;
  // The owners that the record names.
  std::set<InstanceId> Owners() const;
  static KeyLeaderSettings Settings();

  // Returns whether it took over the result of the write, which then does not succeed at once.
  std::function<bool(const WriteOwnership&)> take_write;
  std::vector<HandOver> hand_overs;
  bool store_reachable = true;
  // Returns whether it took over the result of the grant, which is then not answered at once.
  std::function<bool(const SendGrant&)> take_grant;
  // The same for a release.
  std::function<bool(const SendRelease&)> take_release;
  Instant now = Instant{} + std::chrono::hours{1};
  Instant reachable_since = now;
  EndpointFleet fleet;
  OwnershipRecord record;
  Revision revision;
  KeyLeader leader{Settings(), std::make_unique<DensePiecePlacement>()};

 private:
  void Execute(const KeyLeaderAction& action);
};

// Answers the leader's orders to the endpoint "a" as a test says, and watches when the first key is
// granted to another endpoint. It takes the orders of the setup, which must outlive it.
class ScriptedOwner {
 public:
  // An answer to an order; without a reply the order fails then.
  struct Answer {
    std::optional<OrderReply::Outcome> outcome;
    Duration after{};
  };

  ScriptedOwner(SingleLeaderSetup& setup, std::function<Answer(const SendGrant&)> answer_grant,
                std::function<Answer(const SendRelease&)> answer_release);

  static InstanceId Id() { return InstanceId{"a"}; }
  // Runs the daemon and answers its orders when that is due.
  void RunFor(Duration time);
  // When the first key was granted to another endpoint; empty if it has not been.
  std::optional<Instant> given_on_at() const { return given_on_at_; }

 private:
  struct PendingAnswer {
    Instant at;
    std::uint64_t order = 0;
    std::optional<OrderReply::Outcome> outcome;
  };

  void Deliver(const PendingAnswer& answer);

  SingleLeaderSetup& setup_;
  std::vector<PendingAnswer> pending_;
  std::optional<Instant> given_on_at_;
};

}  // namespace sycamorestall::testing

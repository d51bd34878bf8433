#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/endpoint_order.h"

namespace sycamorestall::fakes {

// Period during which an endpoint owned a shard, on the endpoint's clock.
struct OwnershipPeriod {
  ShardId shard;
  Epoch epoch;
  std::int64_t from_ns = 0;
  std::int64_t until_ns = 0;

  friend bool operator==(const OwnershipPeriod&, const OwnershipPeriod&) = default;
};

// Grants held by a fake endpoint. A grant expires at the stamp of its last renewal plus the
// time to live, on the endpoint's own clock. With checks_token, orders of older terms and
// orders overtaken by a newer one are refused.
class GrantTable {
 public:
  GrantTable(Incarnation incarnation, bool checks_token)
      : incarnation_(incarnation), checks_token_(checks_token) {}

  // Applies or refuses an order; the reply lists the grants held afterwards.
  EndpointReply ApplyOrder(std::int64_t now_ns, const EndpointOrder& order);
  // Whether a request sent under this grant may run now.
  bool MayRun(std::int64_t now_ns, ShardId shard, Epoch epoch, Term term) const;
  // Track the running requests of each shard.
  void BeginRequest(ShardId shard) { ++running_requests_[shard]; }
  void EndRequest(ShardId shard);
  // Sets whether replies report that the endpoint is leaving.
  void SetLeaving(bool leaving) { leaving_ = leaving; }

  // Grants that have not expired.
  std::vector<ShardGrant> HeldGrants(std::int64_t now_ns) const;
  // Periods neither revoked nor replaced by a new grant; they may have expired.
  std::vector<OwnershipPeriod> CurrentPeriods() const;
  // All ownership periods so far, with the current ones ending now.
  std::vector<OwnershipPeriod> OwnershipHistory(std::int64_t now_ns) const;

 private:
  EndpointReply MakeReply(std::int64_t now_ns, OrderOutcome outcome) const;

  Incarnation incarnation_;
  bool checks_token_;
  bool leaving_ = false;
  Term term_;
  std::uint64_t sequence_ = 0;
  std::map<ShardId, OwnershipPeriod> periods_;
  std::map<ShardId, int> running_requests_;
  std::vector<OwnershipPeriod> ended_periods_;
};

}  // namespace sycamorestall::fakes

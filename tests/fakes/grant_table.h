#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/endpoint_order.h"

namespace sycamorestall::fakes {

// A stretch of time, on the endpoint's clock, in which it owned a shard.
struct Ownership {
  ShardId shard;
  Epoch epoch;
  std::int64_t from_ns = 0;
  std::int64_t until_ns = 0;

  friend bool operator==(const Ownership&, const Ownership&) = default;
};

// The grants that a stand-in endpoint holds, with their rules: a grant lives
// until the stamp it was renewed by plus the time to live, on the endpoint's own
// clock. The kind that checks refuses older terms and overtaken orders.
class GrantTable {
 public:
  GrantTable(Incarnation incarnation, bool checks_token)
      : incarnation_(incarnation), checks_token_(checks_token) {}

  // Obeys or refuses an order and reports what is held afterwards.
  EndpointReply Take(std::int64_t now_ns, const EndpointOrder& order);
  // Whether a request for the shard may run now.
  bool MayRun(std::int64_t now_ns, ShardId shard, Epoch epoch, Term term) const;
  // Counts the requests in flight of a shard.
  void Begin(ShardId shard) { ++running_[shard]; }
  void End(ShardId shard);
  // Says in replies that the endpoint leaves.
  void SetLeaving(bool leaving) { leaving_ = leaving; }

  // The grants that are live now.
  std::vector<ShardGrant> Held(std::int64_t now_ns) const;
  // The stretches of ownership that may go on.
  std::vector<Ownership> Current() const;
  // Every stretch of ownership so far.
  std::vector<Ownership> History(std::int64_t now_ns) const;

 private:
  EndpointReply Report(std::int64_t now_ns, OrderOutcome verdict) const;

  Incarnation incarnation_;
  bool checks_token_;
  bool leaving_ = false;
  Term term_;
  std::uint64_t sequence_ = 0;
  std::map<ShardId, Ownership> held_;
  std::map<ShardId, int> running_;
  std::vector<Ownership> past_;
};

}  // namespace sycamorestall::fakes

#pragma once

#include <cstdint>
#include <map>

#include "core/group_leader.h"
#include "fakes/grant_table.h"

namespace sycamorestall::bench {

// A group with one leader, simulated in memory: the store and the endpoints answer
// immediately. Counts orders and the bytes of orders and replies.
class SimulatedGroup {
 public:
  SimulatedGroup(std::uint32_t shards, int endpoints);

  // Advances the simulated time in ticks of 10 ms.
  void Run(std::chrono::milliseconds duration);

  GroupLeader& leader() { return leader_; }
  Instant now() const { return now_; }
  std::uint64_t orders() const { return orders_; }
  std::uint64_t order_bytes() const { return order_bytes_; }
  std::uint64_t reply_bytes() const { return reply_bytes_; }

 private:
  // Executes the actions of the leader until it has no more.
  void ExecuteActions();

  GroupLeader leader_;
  std::map<InstanceId, fakes::GrantTable> endpoints_;
  Instant now_{std::chrono::seconds{1}};
  std::uint64_t revision_ = 0;
  std::uint64_t orders_ = 0;
  std::uint64_t order_bytes_ = 0;
  std::uint64_t reply_bytes_ = 0;
};

}  // namespace sycamorestall::bench

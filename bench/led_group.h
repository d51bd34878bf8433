#pragma once

#include <cstdint>
#include <map>

#include "core/group_leader.h"
#include "fakes/grant_table.h"

namespace sycamorestall::bench {

// A group that one leader serves, all in memory: the store and the endpoints
// answer at once. Counts the bytes that would travel.
class SimulatedGroup {
 public:
  SimulatedGroup(std::uint32_t shards, int endpoints);

  // Lets time pass in ticks of 10 ms.
  void Run(std::chrono::milliseconds duration);

  GroupLeader& leader() { return leader_; }
  Instant now() const { return now_; }
  std::uint64_t orders() const { return orders_; }
  std::uint64_t order_bytes() const { return order_bytes_; }
  std::uint64_t reply_bytes() const { return reply_bytes_; }

 private:
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

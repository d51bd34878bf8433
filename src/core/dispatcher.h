#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/fair_queue.h"
#include "core/group_leader.h"

namespace sycamorestall {

// How many requests an endpoint runs and keeps waiting.
struct DispatchSettings {
  std::size_t slots = 6;
  std::size_t queue_capacity = 256;
};

// A request that may be sent to an endpoint now.
struct Dispatch {
  RequestNumber number;
  ShardId shard;
  ShardRoute route;
};

// Gives the slots of a group's endpoints to the requests that wait for them. It
// counts slots exactly, since every request of the group passes through here.
class Dispatcher {
 public:
  // Says where a shard is served now; empty when nowhere.
  using RouteLookup = std::function<std::optional<ShardRoute>(ShardId)>;

  explicit Dispatcher(DispatchSettings settings)
      : settings_(settings), parked_(settings.queue_capacity) {}

  // Queues a request; gives the one that had to leave for it, possibly itself.
  std::optional<QueuedRequest> Enqueue(QueuedRequest request, const RouteLookup& route);
  // Takes a waiting request out; false when it does not wait here.
  bool Cancel(RequestNumber number);
  // Frees the slot of a request that was dispatched.
  void Finish(const InstanceId& endpoint);
  // Takes the requests that may be sent now; each occupies a slot until Finish.
  // Requests whose deadline is before served_by are left for TakeDropped.
  std::vector<Dispatch> TakeDispatches(Instant served_by, const RouteLookup& route);
  // Takes requests that have to leave: past their deadline, or squeezed out
  // when the shard they wait for moved to a fuller endpoint.
  std::vector<QueuedRequest> TakeDropped(Instant now, const RouteLookup& route);

  std::size_t waiting() const;
  std::size_t running() const { return running_; }

 private:
  struct EndpointSlots {
    std::size_t busy = 0;
    FairQueue queue;
  };

  FairQueue& QueueFor(const std::optional<ShardRoute>& route);

  DispatchSettings settings_;
  std::map<InstanceId, EndpointSlots> endpoints_;
  // Requests for shards that no endpoint serves at the moment.
  FairQueue parked_;
  std::vector<QueuedRequest> left_out_;
  std::size_t running_ = 0;
};

}  // namespace sycamorestall

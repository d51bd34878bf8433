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

// Limits per endpoint: requests that run and requests that wait.
struct DispatchSettings {
  std::size_t slots = 6;
  std::size_t queue_capacity = 256;
};

// A request to be sent to an endpoint, whose slot it occupies.
struct Dispatch {
  RequestNumber number;
  ShardId shard;
  ShardRoute route;
};

// Assigns the slots of a group's endpoints to waiting requests. The count of used
// slots is exact because all requests of the group pass through the dispatcher.
class Dispatcher {
 public:
  // Returns where a shard is served now, or nullopt if no endpoint serves it.
  using RouteLookup = std::function<std::optional<ShardRoute>(ShardId)>;

  explicit Dispatcher(DispatchSettings settings)
      : settings_(settings), unrouted_(settings.queue_capacity) {}

  // Queues a request. Returns the request evicted from a full queue, possibly the
  // new one.
  std::optional<QueuedRequest> Enqueue(QueuedRequest request, const RouteLookup& route);
  // Removes a waiting request; returns false if it is not waiting.
  bool RemoveWaiting(RequestNumber number);
  // Frees the slot of a dispatched request.
  void ReleaseSlot(const InstanceId& endpoint);
  // Removes and returns the requests that can be sent now; each occupies a slot until
  // ReleaseSlot. Those with a deadline before min_deadline are not sent, but returned
  // by the next CollectDropped.
  std::vector<Dispatch> DispatchReady(Instant min_deadline, const RouteLookup& route);
  // Removes and returns the requests that are past their deadline, or were evicted
  // when their shard moved to an endpoint with a full queue. Also moves requests of
  // shards that are served again to their endpoint's queue.
  std::vector<QueuedRequest> CollectDropped(Instant now, const RouteLookup& route);

  std::size_t waiting() const;
  std::size_t running() const { return running_; }

 private:
  struct EndpointSlots {
    std::size_t running = 0;
    FairQueue queue;
  };

  FairQueue& QueueFor(const std::optional<ShardRoute>& route);

  DispatchSettings settings_;
  std::map<InstanceId, EndpointSlots> endpoints_;
  // Requests for shards that no endpoint serves at the moment.
  FairQueue unrouted_;
  std::vector<QueuedRequest> pending_drops_;
  std::size_t running_ = 0;
};

}  // namespace sycamorestall

#include "core/dispatcher.h"

#include <utility>

#include "core/invariant.h"

namespace sycamorestall {

FairQueue& Dispatcher::QueueFor(const std::optional<ShardRoute>& route) {
  if (!route) {
    return parked_;
  }
  const auto found = endpoints_.find(route->endpoint);
  if (found != endpoints_.end()) {
    return found->second.queue;
  }
  EndpointSlots slots{0, FairQueue{settings_.queue_capacity}};
  return endpoints_.emplace(route->endpoint, std::move(slots)).first->second.queue;
}

std::optional<QueuedRequest> Dispatcher::Enqueue(QueuedRequest request, const RouteLookup& route) {
  FairQueue& queue = QueueFor(route(request.shard));
  return queue.Push(std::move(request));
}

bool Dispatcher::Cancel(RequestNumber number) {
  if (parked_.Remove(number)) {
    return true;
  }
  for (auto& [id, slots] : endpoints_) {
    if (slots.queue.Remove(number)) {
      return true;
    }
  }
  return false;
}

void Dispatcher::Finish(const InstanceId& endpoint) {
  const auto found = endpoints_.find(endpoint);
  RequireInvariant(found != endpoints_.end() && found->second.busy > 0,
                   "a finished request occupied a slot");
  --found->second.busy;
  --running_;
}

std::vector<Dispatch> Dispatcher::TakeDispatches(Instant served_by, const RouteLookup& route) {
  std::vector<Dispatch> dispatches;
  for (auto& [id, slots] : endpoints_) {
    while (slots.busy < settings_.slots) {
      std::optional<QueuedRequest> next = slots.queue.Pop();
      if (!next) {
        break;
      }
      if (next->deadline < served_by) {
        left_out_.push_back(std::move(*next));
        continue;
      }
      const std::optional<ShardRoute> now_at = route(next->shard);
      if (!now_at || now_at->endpoint != id) {
        std::optional<QueuedRequest> dropped = QueueFor(now_at).Push(std::move(*next));
        if (dropped) {
          left_out_.push_back(std::move(*dropped));
        }
        continue;
      }
      ++slots.busy;
      ++running_;
      dispatches.push_back(Dispatch{next->number, next->shard, *now_at});
    }
    RequireInvariant(slots.busy <= settings_.slots, "no endpoint gets more than its slots");
  }
  return dispatches;
}

std::vector<QueuedRequest> Dispatcher::TakeDropped(Instant now, const RouteLookup& route) {
  std::vector<QueuedRequest> dropped = std::exchange(left_out_, {});
  const auto take = [&dropped, now](FairQueue& queue) {
    for (QueuedRequest& each : queue.TakeExpired(now)) {
      dropped.push_back(std::move(each));
    }
  };
  take(parked_);
  for (auto& [id, slots] : endpoints_) {
    take(slots.queue);
  }
  // Requests of shards that are served again go to their endpoint's queue.
  const std::size_t parked = parked_.size();
  for (std::size_t i = 0; i < parked; ++i) {
    std::optional<QueuedRequest> request = parked_.Pop();
    if (!request) {
      break;
    }
    FairQueue& queue = QueueFor(route(request->shard));
    std::optional<QueuedRequest> left = queue.Push(std::move(*request));
    if (left) {
      dropped.push_back(std::move(*left));
    }
  }
  return dropped;
}

std::size_t Dispatcher::waiting() const {
  std::size_t count = parked_.size();
  for (const auto& [id, slots] : endpoints_) {
    count += slots.queue.size();
  }
  return count;
}

}  // namespace sycamorestall

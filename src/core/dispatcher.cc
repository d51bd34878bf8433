#include "core/dispatcher.h"

#include <utility>

#include "core/invariant.h"

namespace sycamorestall {

FairQueue& Dispatcher::QueueFor(const std::optional<ShardRoute>& route) {
  if (!route) {
    return unrouted_;
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

bool Dispatcher::RemoveWaiting(RequestNumber number) {
  if (unrouted_.Remove(number)) {
    return true;
  }
  for (auto& [id, slots] : endpoints_) {
    if (slots.queue.Remove(number)) {
      return true;
    }
  }
  return false;
}

void Dispatcher::ReleaseSlot(const InstanceId& endpoint) {
  const auto found = endpoints_.find(endpoint);
  RequireInvariant(found != endpoints_.end() && found->second.running > 0,
                   "a released slot was in use");
  --found->second.running;
  --running_;
}

std::vector<Dispatch> Dispatcher::DispatchReady(Instant min_deadline, const RouteLookup& route) {
  std::vector<Dispatch> dispatches;
  for (auto& [id, slots] : endpoints_) {
    while (slots.running < settings_.slots) {
      std::optional<QueuedRequest> next = slots.queue.Pop();
      if (!next) {
        break;
      }
      if (next->deadline < min_deadline) {
        pending_drops_.push_back(std::move(*next));
        continue;
      }
      const std::optional<ShardRoute> current_route = route(next->shard);
      if (!current_route || current_route->endpoint != id) {
        std::optional<QueuedRequest> evicted = QueueFor(current_route).Push(std::move(*next));
        if (evicted) {
          pending_drops_.push_back(std::move(*evicted));
        }
        continue;
      }
      ++slots.running;
      ++running_;
      dispatches.push_back(Dispatch{next->number, next->shard, *current_route});
    }
    RequireInvariant(slots.running <= settings_.slots,
                     "no endpoint runs more requests than its slots");
  }
  return dispatches;
}

std::vector<QueuedRequest> Dispatcher::CollectDropped(Instant now, const RouteLookup& route) {
  std::vector<QueuedRequest> dropped = std::exchange(pending_drops_, {});
  const auto collect_expired = [&dropped, now](FairQueue& queue) {
    for (QueuedRequest& each : queue.TakeExpired(now)) {
      dropped.push_back(std::move(each));
    }
  };
  collect_expired(unrouted_);
  for (auto& [id, slots] : endpoints_) {
    collect_expired(slots.queue);
  }
  // Requests for shards that are served again move to their endpoint's queue.
  const std::size_t unrouted_count = unrouted_.size();
  for (std::size_t i = 0; i < unrouted_count; ++i) {
    std::optional<QueuedRequest> request = unrouted_.Pop();
    if (!request) {
      break;
    }
    FairQueue& queue = QueueFor(route(request->shard));
    std::optional<QueuedRequest> evicted = queue.Push(std::move(*request));
    if (evicted) {
      dropped.push_back(std::move(*evicted));
    }
  }
  return dropped;
}

std::size_t Dispatcher::waiting() const {
  std::size_t count = unrouted_.size();
  for (const auto& [id, slots] : endpoints_) {
    count += slots.queue.size();
  }
  return count;
}

}  // namespace sycamorestall

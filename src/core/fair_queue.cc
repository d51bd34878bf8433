#include "core/fair_queue.h"

#include <algorithm>
#include <utility>

namespace sycamorestall {

std::optional<QueuedRequest> FairQueue::Push(QueuedRequest request) {
  CustomerQueue& queue = customers_[request.customer];
  if (queue.waiting.empty()) {
    queue.next_start = std::max(queue.next_start, virtual_time_);
  }
  queue.weight = request.weight;
  queue.waiting.push_back(std::move(request));
  ++size_;
  if (size_ <= capacity_) {
    return std::nullopt;
  }
  const auto heaviest = customers_.find(Heaviest());
  QueuedRequest dropped = std::move(heaviest->second.waiting.back());
  heaviest->second.waiting.pop_back();
  --size_;
  return dropped;
}

CustomerName FairQueue::Heaviest() const {
  const auto load = [](const auto& entry) {
    return static_cast<double>(entry.second.waiting.size()) / entry.second.weight;
  };
  const auto heaviest =
      std::max_element(customers_.begin(), customers_.end(),
                       [load](const auto& a, const auto& b) { return load(a) < load(b); });
  return heaviest->first;
}

std::optional<QueuedRequest> FairQueue::Pop() {
  auto best = customers_.end();
  for (auto each = customers_.begin(); each != customers_.end();) {
    if (each->second.waiting.empty() && each->second.next_start <= virtual_time_) {
      each = customers_.erase(each);
      continue;
    }
    const bool earlier =
        best == customers_.end() || each->second.next_start < best->second.next_start;
    if (!each->second.waiting.empty() && earlier) {
      best = each;
    }
    ++each;
  }
  if (best == customers_.end()) {
    return std::nullopt;
  }
  CustomerQueue& queue = best->second;
  QueuedRequest next = std::move(queue.waiting.front());
  queue.waiting.pop_front();
  --size_;
  virtual_time_ = queue.next_start;
  queue.next_start += 1 / queue.weight;
  return next;
}

bool FairQueue::Remove(RequestNumber number) {
  for (auto& [name, queue] : customers_) {
    const std::size_t removed = std::erase_if(
        queue.waiting, [number](const QueuedRequest& each) { return each.number == number; });
    size_ -= removed;
    if (removed > 0) {
      return true;
    }
  }
  return false;
}

std::deque<QueuedRequest> FairQueue::TakeExpired(Instant before) {
  std::deque<QueuedRequest> expired;
  for (auto& [name, queue] : customers_) {
    std::deque<QueuedRequest> kept;
    for (QueuedRequest& each : queue.waiting) {
      (each.deadline < before ? expired : kept).push_back(std::move(each));
    }
    queue.waiting = std::move(kept);
  }
  size_ -= expired.size();
  return expired;
}

}  // namespace sycamorestall

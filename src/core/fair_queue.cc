#include "core/fair_queue.h"

#include <algorithm>
#include <utility>

namespace sycamorestall {

std::optional<QueuedRequest> FairQueue::Push(QueuedRequest request) {
  CustomerQueue& queue = customers_[request.customer];
  if (queue.waiting.empty()) {
    queue.next_virtual_start = std::max(queue.next_virtual_start, virtual_time_);
  }
  queue.weight = request.weight;
  queue.waiting.push_back(std::move(request));
  ++size_;
  if (size_ <= capacity_) {
    return std::nullopt;
  }
  const auto largest = customers_.find(CustomerWithLargestBacklog());
  QueuedRequest evicted = std::move(largest->second.waiting.back());
  largest->second.waiting.pop_back();
  --size_;
  return evicted;
}

CustomerName FairQueue::CustomerWithLargestBacklog() const {
  const auto weighted_backlog = [](const auto& entry) {
    return static_cast<double>(entry.second.waiting.size()) / entry.second.weight;
  };
  const auto largest = std::max_element(customers_.begin(), customers_.end(),
                                        [weighted_backlog](const auto& a, const auto& b) {
                                          return weighted_backlog(a) < weighted_backlog(b);
                                        });
  return largest->first;
}

std::optional<QueuedRequest> FairQueue::Pop() {
  auto best = customers_.end();
  for (auto each = customers_.begin(); each != customers_.end();) {
    if (each->second.waiting.empty() && each->second.next_virtual_start <= virtual_time_) {
      each = customers_.erase(each);
      continue;
    }
    const bool earlier = best == customers_.end() ||
                         each->second.next_virtual_start < best->second.next_virtual_start;
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
  virtual_time_ = queue.next_virtual_start;
  queue.next_virtual_start += 1 / queue.weight;
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
    std::deque<QueuedRequest> remaining;
    for (QueuedRequest& each : queue.waiting) {
      (each.deadline < before ? expired : remaining).push_back(std::move(each));
    }
    queue.waiting = std::move(remaining);
  }
  size_ -= expired.size();
  return expired;
}

}  // namespace sycamorestall

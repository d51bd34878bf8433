#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include "core/boot_clock.h"
#include "core/identifiers.h"

namespace sycamorestall {

// Identifies a request within one daemon.
using RequestNumber = Number<struct RequestTag, std::uint64_t>;

// A request that waits for a slot of an endpoint.
struct QueuedRequest {
  RequestNumber number;
  ShardId shard;
  CustomerName customer;
  // The customer's weight from its plan; greater than 0.
  double weight = 1;
  Instant deadline;

  friend bool operator==(const QueuedRequest&, const QueuedRequest&) = default;
};

// A bounded weighted fair queue: customers with waiting requests are served in
// proportion to their weights, and when the queue is full, the customer with the
// largest backlog relative to its weight loses its newest request.
class FairQueue {
 public:
  explicit FairQueue(std::size_t capacity) : capacity_(capacity) {}

  // Adds a request. Returns the request evicted from a full queue, possibly the new
  // one.
  std::optional<QueuedRequest> Push(QueuedRequest request);
  // Removes and returns the next request; nullopt if the queue is empty.
  std::optional<QueuedRequest> Pop();
  // Removes a request; returns false if it is not in the queue.
  bool Remove(RequestNumber number);
  // Removes and returns all requests with an earlier deadline.
  std::deque<QueuedRequest> TakeExpired(Instant before);

  std::size_t size() const { return size_; }

 private:
  struct CustomerQueue {
    std::deque<QueuedRequest> waiting;
    double weight = 1;
    // Virtual time at which the customer's next request starts.
    double next_virtual_start = 0;
  };

  // The customer with the most waiting requests relative to its weight.
  CustomerName CustomerWithLargestBacklog() const;

  std::size_t capacity_;
  std::size_t size_ = 0;
  double virtual_time_ = 0;
  std::map<CustomerName, CustomerQueue> customers_;
};

}  // namespace sycamorestall

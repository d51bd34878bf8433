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

// Numbers a request within one daemon.
using RequestNumber = Number<struct RequestTag, std::uint64_t>;

// A request that waits for a slot of an endpoint.
struct QueuedRequest {
  RequestNumber number;
  ShardId shard;
  CustomerName customer;
  // The customer's share, by its plan; greater than 0.
  double weight = 1;
  Instant deadline;

  friend bool operator==(const QueuedRequest&, const QueuedRequest&) = default;
};

// A bounded queue in which customers share by weight: each gets slots in
// proportion to its weight while it has requests waiting, and when the queue is
// full the customer that is furthest above its share loses its newest request.
class FairQueue {
 public:
  explicit FairQueue(std::size_t capacity) : capacity_(capacity) {}

  // Adds a request; gives the one that had to leave for it, possibly itself.
  std::optional<QueuedRequest> Push(QueuedRequest request);
  // Takes the next request whose turn it is; empty when none waits.
  std::optional<QueuedRequest> Pop();
  // Takes a request out; false when it does not wait here.
  bool Remove(RequestNumber number);
  // Takes out all whose deadline is before the given moment.
  std::deque<QueuedRequest> TakeExpired(Instant before);

  std::size_t size() const { return size_; }

 private:
  struct CustomerQueue {
    std::deque<QueuedRequest> waiting;
    double weight = 1;
    // Virtual time at which the customer's next request starts.
    double next_start = 0;
  };

  CustomerName Heaviest() const;

  std::size_t capacity_;
  std::size_t size_ = 0;
  double virtual_time_ = 0;
  std::map<CustomerName, CustomerQueue> customers_;
};

}  // namespace sycamorestall

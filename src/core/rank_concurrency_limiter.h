#pragma once

#include <cstddef>
#include <vector>

namespace sycamorestall {

// Limits on the requests of one rank at a daemon.
struct RankLimits {
  // Requests that this rank can always have in flight, whatever the load of others.
  std::size_t reserved = 0;
  // Maximum number of its requests in flight.
  std::size_t limit = 0;

  friend bool operator==(const RankLimits&, const RankLimits&) = default;
};

// Limits the number of requests that a daemon has in flight, in total and per rank.
// A rank may use all capacity that is not reserved for others, so a flood of requests
// of one rank leaves the other ranks what is reserved for them.
class RankConcurrencyLimiter {
 public:
  // A rank is identified by its index in ranks, which starts with the highest priority.
  RankConcurrencyLimiter(std::size_t capacity, std::vector<RankLimits> ranks);

  // Takes capacity for a request; returns false if there is none left.
  bool TryAcquire(std::size_t rank);
  // Frees the capacity that a request has taken.
  void Release(std::size_t rank);

  std::size_t in_flight(std::size_t rank) const { return in_flight_[rank]; }

 private:
  std::size_t capacity_;
  std::vector<RankLimits> ranks_;
  std::vector<std::size_t> in_flight_;
};

}  // namespace sycamorestall

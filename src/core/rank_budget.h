#pragma once

#include <cstddef>
#include <vector>

namespace sycamorestall {

// What one rank may occupy of a daemon.
struct RankShare {
  // Requests that this rank can always have in flight, whatever floods.
  std::size_t reserved = 0;
  // Requests that it may have in flight at most.
  std::size_t limit = 0;

  friend bool operator==(const RankShare&, const RankShare&) = default;
};

// Bounds the requests that a daemon holds at a time, rank by rank. A
// rank may use what is free beyond the reservations of the others, so a flood of
// one rank leaves each other one its minimum.
class RankBudget {
 public:
  // Ranks are meant by their place in the order, the most urgent first.
  RankBudget(std::size_t total, std::vector<RankShare> ranks);

  // Takes room for a request; false when there is none.
  bool Admit(std::size_t rank);
  // Gives the room of a request back.
  void Release(std::size_t rank);

  std::size_t in_flight(std::size_t rank) const { return in_flight_[rank]; }

 private:
  std::size_t total_;
  std::vector<RankShare> ranks_;
  std::vector<std::size_t> in_flight_;
};

}  // namespace sycamorestall

#include "core/rank_concurrency_limiter.h"

#include <utility>

#include "core/invariant.h"

namespace sycamorestall {

RankConcurrencyLimiter::RankConcurrencyLimiter(std::size_t capacity, std::vector<RankLimits> ranks)
    : capacity_(capacity), ranks_(std::move(ranks)), in_flight_(ranks_.size(), 0) {}

bool RankConcurrencyLimiter::TryAcquire(std::size_t rank) {
  if (in_flight_[rank] >= ranks_[rank].limit) {
    return false;
  }
  std::size_t occupied = 0;
  for (std::size_t other = 0; other < ranks_.size(); ++other) {
    const std::size_t reserved = other == rank ? 0 : ranks_[other].reserved;
    occupied += in_flight_[other] > reserved ? in_flight_[other] : reserved;
  }
  if (occupied >= capacity_) {
    return false;
  }
  ++in_flight_[rank];
  return true;
}

void RankConcurrencyLimiter::Release(std::size_t rank) {
  RequireInvariant(in_flight_[rank] > 0, "released capacity was in use");
  --in_flight_[rank];
}

}  // namespace sycamorestall

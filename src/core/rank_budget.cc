#include "core/rank_budget.h"

#include <utility>

#include "core/invariant.h"

namespace sycamorestall {

RankBudget::RankBudget(std::size_t total, std::vector<RankShare> ranks)
    : total_(total), ranks_(std::move(ranks)), in_flight_(ranks_.size(), 0) {}

bool RankBudget::Admit(std::size_t rank) {
  if (in_flight_[rank] >= ranks_[rank].limit) {
    return false;
  }
  std::size_t taken = 0;
  for (std::size_t other = 0; other < ranks_.size(); ++other) {
    const std::size_t reserved = other == rank ? 0 : ranks_[other].reserved;
    taken += in_flight_[other] > reserved ? in_flight_[other] : reserved;
  }
  if (taken >= total_) {
    return false;
  }
  ++in_flight_[rank];
  return true;
}

void RankBudget::Release(std::size_t rank) {
  RequireInvariant(in_flight_[rank] > 0, "released room was taken");
  --in_flight_[rank];
}

}  // namespace sycamorestall

#include "core/evacuation_batches.h"

namespace sycamorestall {

namespace {

constexpr double kLoadOfIdleKey = 0.001;
// How long after the leader learned of the evacuation the last batch is released. Requests for the
// keys are refused 3 s after daemons learned of it; until then they have to have new owners.
constexpr std::chrono::milliseconds kReleaseTime{1750};

}  // namespace

double KeyLoad(const KeyRange& range, const KeyDemand& demand) {
  return demand.Rate(range) + range.size() * kLoadOfIdleKey;
}

std::vector<KeyRange> SplitByLoad(const KeyRange& range, const KeyDemand& demand, double max_load) {
  std::vector<KeyRange> pieces;
  KeyNumber first = range.first;
  double load = 0;
  auto next = demand.rates().lower_bound(range.first);
  for (KeyNumber key = range.first; key <= range.last; ++key) {
    double key_load = kLoadOfIdleKey;
    if (next != demand.rates().end() && next->first == key) {
      key_load += next->second;
      ++next;
    }
    if (key > first && load + key_load > max_load) {
      pieces.push_back({first, key - 1});
      first = key;
      load = 0;
    }
    load += key_load;
  }
  pieces.push_back({first, range.last});
  return pieces;
}

std::size_t EvacuationBatchSize(std::size_t pieces_left, Instant learned_at, Instant now) {
  const Duration time_left = learned_at + kReleaseTime - now;
  if (time_left <= Duration{}) {
    return pieces_left;
  }
  // This batch and those to come, the last one when the time is over.
  const auto batches = static_cast<std::size_t>(time_left / kEvacuationBatchInterval) + 1;
  return (pieces_left + batches - 1) / batches;
}

}  // namespace sycamorestall

#include "core/key_demand.h"

#include <cmath>

namespace sycamorestall {

namespace {

// The time after which the weight of a request has fallen to 1/e.
constexpr double kDecayTimeSeconds = 2.0;
// Keys below this rate, in requests per second, are dropped.
constexpr double kMinTrackedRate = 0.02;
// Decaying all keys more often would only cost time.
constexpr std::chrono::milliseconds kDecayInterval{200};

}  // namespace

void KeyDemand::Add(const std::vector<KeyCount>& counts) {
  for (const KeyCount& each : counts) {
    rates_[each.key] += each.count / kDecayTimeSeconds;
  }
}

void KeyDemand::Decay(Instant now) {
  if (now - decayed_at_ < kDecayInterval) {
    return;
  }
  const double elapsed = std::chrono::duration<double>(now - decayed_at_).count();
  decayed_at_ = now;
  const double factor = std::exp(-elapsed / kDecayTimeSeconds);
  for (auto each = rates_.begin(); each != rates_.end();) {
    each->second *= factor;
    each = each->second < kMinTrackedRate ? rates_.erase(each) : std::next(each);
  }
}

double KeyDemand::SampleCount(double rate) { return rate * kDecayTimeSeconds; }

double KeyDemand::Rate(KeyNumber key) const {
  const auto found = rates_.find(key);
  return found == rates_.end() ? 0 : found->second;
}

double KeyDemand::Rate(const KeyRange& range) const {
  double sum = 0;
  for (auto each = rates_.lower_bound(range.first);
       each != rates_.end() && each->first <= range.last; ++each) {
    sum += each->second;
  }
  return sum;
}

}  // namespace sycamorestall

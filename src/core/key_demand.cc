#include "core/key_demand.h"

#include <cmath>

namespace sycamorestall {

namespace {

// After this time a request counts for 1/e.
constexpr double kMemorySeconds = 2.0;
// Keys asked for less often than this are forgotten.
constexpr double kForgottenRate = 0.02;
// To age all keys more often would only cost time.
constexpr std::chrono::milliseconds kAgeInterval{200};

}  // namespace

void KeyDemand::Add(const std::vector<KeyCount>& counts) {
  for (const KeyCount& each : counts) {
    rates_[each.key] += each.count / kMemorySeconds;
  }
}

void KeyDemand::Decay(Instant now) {
  if (now - aged_at_ < kAgeInterval) {
    return;
  }
  const double elapsed = std::chrono::duration<double>(now - aged_at_).count();
  aged_at_ = now;
  const double factor = std::exp(-elapsed / kMemorySeconds);
  for (auto each = rates_.begin(); each != rates_.end();) {
    each->second *= factor;
    each = each->second < kForgottenRate ? rates_.erase(each) : std::next(each);
  }
}

double KeyDemand::SampleCount(double rate) { return rate * kMemorySeconds; }

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

#include "core/key_demand.h"

#include <algorithm>
#include <cmath>

namespace sycamorestall {

namespace {

// The time after which the weight of a request has fallen to 1/e.
constexpr double kDecayTimeSeconds = 2.0;
// The same just after the first requests, when there are none of earlier seconds.
constexpr double kMinDecayTimeSeconds = 0.5;
// Keys below this rate, in requests per second, are dropped.
constexpr double kMinTrackedRate = 0.02;
// Decaying all keys more often would only cost time.
constexpr std::chrono::milliseconds kDecayInterval{200};

}  // namespace

void KeyDemand::Add(const std::vector<KeyCount>& counts) {
  if (rates_.empty()) {
    began_at_ = decayed_at_;
  }
  const double decay_time = DecayTimeSeconds();
  for (const KeyCount& each : counts) {
    rates_[each.key] += each.count / decay_time;
  }
}

double KeyDemand::DecayTimeSeconds() const {
  const double seconds = std::chrono::duration<double>(decayed_at_ - began_at_).count();
  return std::clamp(seconds, kMinDecayTimeSeconds, kDecayTimeSeconds);
}

void KeyDemand::Decay(Instant now) {
  if (now - decayed_at_ < kDecayInterval) {
    return;
  }
  const double elapsed = std::chrono::duration<double>(now - decayed_at_).count();
  decayed_at_ = now;
  const double factor = std::exp(-elapsed / DecayTimeSeconds());
  for (auto each = rates_.begin(); each != rates_.end();) {
    each->second *= factor;
    each = each->second < kMinTrackedRate ? rates_.erase(each) : std::next(each);
  }
}

double KeyDemand::SampleCount(double rate) const { return rate * DecayTimeSeconds(); }

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

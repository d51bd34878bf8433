#include "core/sliding_window_retry_budget.h"

#include <algorithm>

namespace sycamorestall {

namespace {

constexpr std::int64_t kBucketsPerWindow = 20;
// The rest is left unused because the daemons' windows do not start together.
constexpr double kUsableFraction = 0.8;

}  // namespace

Duration SlidingWindowRetryBudget::BucketDuration() const {
  return limits_.window / kBucketsPerWindow;
}

SlidingWindowRetryBudget::Bucket& SlidingWindowRetryBudget::CurrentBucket(
    const ServiceName& service, Instant now) {
  std::deque<Bucket>& buckets = counts_[service].buckets;
  const std::int64_t index = now.time_since_epoch() / BucketDuration();
  if (buckets.empty() || buckets.back().index != index) {
    buckets.push_back({index, 0, 0});
  }
  while (buckets.front().index <= index - kBucketsPerWindow) {
    buckets.pop_front();
  }
  return buckets.back();
}

void SlidingWindowRetryBudget::CountRequest(const ServiceName& service, Instant now) {
  ++CurrentBucket(service, now).requests;
}

bool SlidingWindowRetryBudget::TryConsumeRetry(const ServiceName& service, std::size_t daemons,
                                               Instant now) {
  Bucket& current = CurrentBucket(service, now);
  double requests = 0;
  double retries = 0;
  for (const Bucket& bucket : counts_[service].buckets) {
    requests += bucket.requests;
    retries += bucket.retries;
  }
  const auto daemon_count = static_cast<double>(std::max<std::size_t>(daemons, 1));
  const double allowed =
      kUsableFraction * (limits_.share * requests + limits_.extra / daemon_count);
  if (retries + 1 > allowed) {
    return false;
  }
  ++current.retries;
  return true;
}

}  // namespace sycamorestall

#include "core/retry_allowance.h"

#include <algorithm>

namespace sycamorestall {

namespace {

constexpr std::int64_t kSlicesPerWindow = 20;
// What is left unused, since windows of all daemons do not begin together.
constexpr double kUsedPart = 0.8;

}  // namespace

Duration RetryAllowance::SliceLength() const { return limits_.window / kSlicesPerWindow; }

RetryAllowance::Slice& RetryAllowance::Current(const ServiceName& service, Instant now) {
  std::deque<Slice>& slices = counts_[service].slices;
  const std::int64_t number = now.time_since_epoch() / SliceLength();
  if (slices.empty() || slices.back().number != number) {
    slices.push_back({number, 0, 0});
  }
  while (slices.front().number <= number - kSlicesPerWindow) {
    slices.pop_front();
  }
  return slices.back();
}

void RetryAllowance::CountRequest(const ServiceName& service, Instant now) {
  ++Current(service, now).requests;
}

bool RetryAllowance::TakeRetry(const ServiceName& service, std::size_t daemons, Instant now) {
  Slice& current = Current(service, now);
  double requests = 0;
  double retries = 0;
  for (const Slice& slice : counts_[service].slices) {
    requests += slice.requests;
    retries += slice.retries;
  }
  const auto parts = static_cast<double>(std::max<std::size_t>(daemons, 1));
  const double allowed = kUsedPart * (limits_.share * requests + limits_.extra / parts);
  if (retries + 1 > allowed) {
    return false;
  }
  ++current.retries;
  return true;
}

}  // namespace sycamorestall

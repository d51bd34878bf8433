#include "core/cold_start_limiter.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <tuple>
#include <utility>

namespace sycamorestall {

namespace {

// By how much the numbers of daemons that daemons know may differ.
constexpr double kMaxViewFactor = 3;
// A request arrives later by up to this time if its connection has to be opened first.
constexpr std::chrono::milliseconds kMaxDeliveryDelay{400};
// Daemons that start together know each other after this time. It is longer than the period in
// which requests of an earlier run of this daemon count.
constexpr std::chrono::milliseconds kStartDelay{2000};

Duration SecondsToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::uint64_t Score(const InstanceId& endpoint, const InstanceId& daemon) {
  const std::string text = endpoint.value() + "\n" + daemon.value();
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

ColdAllowance AllowanceFor(double cold_rate, const ColdRateLimit& limit) {
  const double max_rate = (cold_rate * limit.factor + limit.slack) / kMaxViewFactor;
  const double rate = std::min(cold_rate, max_rate);
  if (rate >= 1) {
    return {static_cast<std::size_t>(rate), std::chrono::seconds{1}};
  }
  // One request must not exceed the limit either if several daemons send it.
  return {max_rate >= 1 ? std::size_t{1} : std::size_t{0}, SecondsToDuration(1 / cold_rate)};
}

ColdStartLimiter::ColdStartLimiter(InstanceId self, const ColdRateLimit& limit)
    : self_(std::move(self)), limit_(limit) {}

void ColdStartLimiter::SetDaemons(std::map<InstanceId, DomainName> daemons, Instant now) {
  if (!begun_at_) {
    begun_at_ = now;
  }
  if (daemons != daemons_) {
    daemons_ = std::move(daemons);
    ranks_.clear();
  }
}

ColdAllowance ColdStartLimiter::Allowance(const EndpointState& endpoint) const {
  ColdAllowance allowance = AllowanceFor(endpoint.cold_terms.rate, limit_);
  // Requests that are sent in a longer period arrive in the period.
  allowance.period += kMaxDeliveryDelay;
  return allowance;
}

std::size_t ColdStartLimiter::RankFor(const EndpointEntry& endpoint) const {
  const auto known = ranks_.find(endpoint.id);
  if (known != ranks_.end()) {
    return known->second;
  }
  const auto order = [&endpoint](const InstanceId& id, const DomainName& domain) {
    return std::tuple{domain != endpoint.domain, Score(endpoint.id, id), id};
  };
  const auto self = daemons_.find(self_);
  std::size_t rank = 0;
  if (self != daemons_.end()) {
    const auto own = order(self_, self->second);
    rank = static_cast<std::size_t>(
        std::count_if(daemons_.begin(), daemons_.end(),
                      [&](const auto& each) { return order(each.first, each.second) < own; }));
  }
  ranks_[endpoint.id] = rank;
  return rank;
}

std::size_t ColdStartLimiter::OwnShare(const EndpointEntry& endpoint, std::size_t requests) const {
  const std::size_t daemons = std::max<std::size_t>(daemons_.size(), 1);
  const std::size_t each = requests / daemons;
  return RankFor(endpoint) < requests % daemons ? each + 1 : each;
}

bool ColdStartLimiter::MaySend(const EndpointState& endpoint, Instant now) const {
  return TimeUntilSend(endpoint, now) == Duration{};
}

void ColdStartLimiter::RecordSend(const EndpointState& endpoint, Instant now) {
  if (!enabled() || endpoint.cold_terms.rate == 0) {
    return;
  }
  std::deque<Instant>& sent = sent_[endpoint.entry.id];
  const Duration period = Allowance(endpoint).period;
  while (!sent.empty() && now - sent.front() >= period) {
    sent.pop_front();
  }
  sent.push_back(now);
}

void ColdStartLimiter::RecordUnsent(const InstanceId& endpoint, Instant sent_at) {
  const auto found = sent_.find(endpoint);
  if (found == sent_.end()) {
    return;
  }
  const auto sent = std::find(found->second.begin(), found->second.end(), sent_at);
  if (sent != found->second.end()) {
    found->second.erase(sent);
  }
}

Duration ColdStartLimiter::TimeUntilSend(const EndpointState& endpoint, Instant now) const {
  const Duration until_warm = std::max(endpoint.LimitedUntil() - now, Duration{});
  if (!enabled() || until_warm == Duration{}) {
    return {};
  }
  const ColdAllowance allowance = Allowance(endpoint);
  const std::size_t share = OwnShare(endpoint.entry, allowance.requests);
  if (!begun_at_ || share == 0) {
    return until_warm;
  }
  Duration wait = std::max<Duration>(*begun_at_ + kStartDelay - now, Duration{});
  const auto sent = sent_.find(endpoint.entry.id);
  if (sent != sent_.end() && sent->second.size() >= share) {
    // The earliest of the last sends that fill the share.
    const Instant blocking = *std::prev(sent->second.end(), static_cast<std::ptrdiff_t>(share));
    wait = std::max(wait, blocking + allowance.period - now);
  }
  return std::min(wait, until_warm);
}

Duration ColdStartLimiter::TimeUntilSend(const EndpointFleet& fleet, const ServiceName& service,
                                         Instant now) const {
  std::optional<Duration> shortest;
  for (const auto& [id, endpoint] : fleet.EndpointsOfService(service)) {
    if (!endpoint->draining()) {
      const Duration wait = TimeUntilSend(*endpoint, now);
      shortest = shortest ? std::min(*shortest, wait) : wait;
    }
  }
  return shortest.value_or(Duration{});
}

}  // namespace sycamorestall

#include "core/cross_domain_policy.h"

#include <algorithm>
#include <cmath>

namespace sycamorestall {

namespace {

// Bodies of this size or more count as large: their bytes outweigh the heads of a request and an
// answer many times.
constexpr std::size_t kLargeBodyBytes = std::size_t{8} * 1024;
// The load per slot up to which a domain runs requests of its own daemons. Above it, requests
// queue because the load is spread unevenly over the endpoints.
constexpr double kFullLoadPerSlot = 0.95;
// Above the first load per slot requests begin to leave, below the second they cease.
constexpr double kBeginLoadPerSlot = 1.0;
constexpr double kEndLoadPerSlot = 0.85;
// The load per slot up to which a domain is filled by others. It lies below the load at which it
// would pass requests on itself.
constexpr double kSpareLoadPerSlot = 0.8;
// When other domains are as full, requests leave only if the own domain is fuller by this much.
constexpr double kMinLoadDifference = 0.2;
// The part of the spare capacity that is claimed at once: other domains may claim it too.
constexpr double kClaimedSpare = 0.5;
// With loads reported later than this, a queue builds up at home before a shortage is noticed, and
// the share of what leaves is right only for a load that has passed. 130 daemons report so late.
constexpr std::chrono::milliseconds kMaxLoadAge{1000};
// Time constant of smoothing, also as a multiple of the age of the other daemons' loads: the effect
// of a change shows only then.
constexpr double kMinSmoothingSeconds = 0.2;
constexpr double kSmoothingAges = 0.5;
constexpr double kOccupancyDecaySeconds = 5;
constexpr double kLinkDecaySeconds = 3;
// A domain with more failures than this per attempt counts as lossy.
constexpr double kMaxFailuresPerAttempt = 0.1;
constexpr double kMinFailures = 1.5;
// Slots of an endpoint that is slow after its start count as this many.
constexpr double kColdSlotShare = 0.3;
// More requests in flight than this per slot of an endpoint show that the load is spread unevenly
// rather than that it is too high.
constexpr double kMaxCountedLoad = 1.1;
// A request looks elsewhere if its expected latency exceeds this share of the time that is left of
// its latency target: some requests take several times as long as expected.
constexpr double kMaxTargetShare = 0.5;
// Then an endpoint elsewhere has to be faster by this factor.
constexpr double kMinGain = 0.8;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

double Decay(Instant from, Instant to, double time_constant_s) {
  return std::exp(-Seconds(to - from) / time_constant_s);
}

// A number from 0 up to 1 that is independent of other uses of the random number.
double Fraction(std::uint64_t random) {
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15;
  constexpr int kUnusedBits = 11;
  constexpr double kRange = 9007199254740992.0;  // 2^53
  return static_cast<double>((random * kMultiplier) >> kUnusedBits) / kRange;
}

double UsableSlots(const EndpointState& endpoint, const DomainReachability& domains, Instant now) {
  const bool usable = endpoint.AcceptsRequests(now) && now >= endpoint.avoid_until &&
                      !domains.IsUnreachable(endpoint.entry.domain, now);
  const double share = now < endpoint.warm_up_ends_at ? kColdSlotShare : 1.0;
  return usable ? share * static_cast<double>(endpoint.entry.slots) : 0;
}

// The requests in flight at an endpoint, without those that queue there while others are idle.
double CountedLoad(const EndpointState& endpoint) {
  return std::min(static_cast<double>(endpoint.load()),
                  kMaxCountedLoad * static_cast<double>(endpoint.entry.slots));
}

}  // namespace

void CrossDomainPolicy::Update(const EndpointFleet& fleet, const DomainReachability& domains,
                               Duration load_age, Instant now) {
  load_age_ = load_age;
  std::map<ServiceName, DomainLoads> services;
  for (const auto& [id, endpoint] : fleet.all()) {
    DomainLoad& load = services[endpoint.entry.service][endpoint.entry.domain];
    load.slots += UsableSlots(endpoint, domains, now);
    load.load += CountedLoad(endpoint);
    load.in_flight += static_cast<double>(endpoint.in_flight);
  }
  std::erase_if(services_, [&](const auto& each) { return !services.contains(each.first); });
  for (const auto& [service, loads] : services) {
    UpdateService(service, loads, domains, now);
  }
}

void CrossDomainPolicy::UpdateService(const ServiceName& service, const DomainLoads& loads,
                                      const DomainReachability& domains, Instant now) {
  ServiceState& state = services_[service];
  const CrossDomainLoad& peers = peers_[service];
  DomainLoad own;
  auto outside = static_cast<double>(peers.leaving);
  for (const auto& [domain, load] : loads) {
    if (domain == domain_) {
      own = load;
    } else {
      outside += load.in_flight;
    }
  }
  state.share.targets = FindTargets(own, loads, domains, now);
  if (own.slots == 0) {
    state.excess = 1;
    state.leaving = true;
    state.updated_at = now;
    SplitByBody(state, 1);
    return;
  }
  // The load that the domain would have if all requests of its daemons ran there.
  const double load_per_slot = (own.load + outside) / own.slots;
  const double smoothing_s = std::max(kMinSmoothingSeconds, kSmoothingAges * Seconds(load_age_));
  const double kept = Decay(state.updated_at, now, smoothing_s);
  state.excess = kept * state.excess + (1 - kept) * (load_per_slot - kFullLoadPerSlot);
  state.updated_at = now;
  state.leaving =
      state.excess > (state.leaving ? kEndLoadPerSlot : kBeginLoadPerSlot) - kFullLoadPerSlot;
  if (!state.leaving || state.excess <= 0) {
    SplitByBody(state, 0);
    return;
  }
  double spare = 0;
  for (const DomainName& target : state.share.targets) {
    const DomainLoad& load = loads.at(target);
    spare += MaxLoadElsewhere(own) * load.slots - load.load;
  }
  const double claim = std::min(state.excess * own.slots, outside + kClaimedSpare * spare);
  const double total = own.load - static_cast<double>(peers.entering) + outside;
  SplitByBody(state, std::clamp(claim / std::max(total, 1.0), 0.0, 1.0));
}

std::set<DomainName> CrossDomainPolicy::FindTargets(const DomainLoad& own, const DomainLoads& loads,
                                                    const DomainReachability& domains,
                                                    Instant now) const {
  std::set<DomainName> targets;
  for (const auto& [domain, load] : loads) {
    const bool has_room = load.slots > 0 && load.load < MaxLoadElsewhere(own) * load.slots;
    if (domain != domain_ && (has_room || own.slots == 0) && !domains.IsUnreachable(domain, now) &&
        !IsLossy(domain, now)) {
      targets.insert(domain);
    }
  }
  return targets;
}

double CrossDomainPolicy::MaxLoadElsewhere(const DomainLoad& own) {
  const double own_load_per_slot = own.load / std::max(own.slots, 1.0);
  return std::max(kSpareLoadPerSlot, own_load_per_slot - kMinLoadDifference);
}

void CrossDomainPolicy::SplitByBody(ServiceState& state, double leaving) {
  const Occupancy& occupancy = state.occupancy;
  const double total = occupancy.small_bodies_s + occupancy.large_bodies_s;
  const double small = total > 0 ? occupancy.small_bodies_s / total : 0;
  if (leaving == 0 || leaving == 1) {
    state.share.small_bodies = leaving;
    state.share.large_bodies = leaving;
  } else if (leaving < small) {
    state.share.small_bodies = leaving / small;
    state.share.large_bodies = 0;
  } else {
    state.share.small_bodies = 1;
    state.share.large_bodies = small < 1 ? (leaving - small) / (1 - small) : 0;
  }
}

void CrossDomainPolicy::RecordAttempt(const ServiceName& service, const DomainName& domain,
                                      std::size_t body_bytes, AttemptResult result,
                                      Duration elapsed, Instant now) {
  Occupancy& occupancy = services_[service].occupancy;
  const double kept = Decay(occupancy.updated_at, now, kOccupancyDecaySeconds);
  occupancy.small_bodies_s *= kept;
  occupancy.large_bodies_s *= kept;
  occupancy.updated_at = now;
  (body_bytes < kLargeBodyBytes ? occupancy.small_bodies_s : occupancy.large_bodies_s) +=
      Seconds(elapsed);
  if (domain == domain_) {
    return;
  }
  LinkQuality& link = links_[domain];
  const double link_kept = Decay(link.updated_at, now, kLinkDecaySeconds);
  link.attempts = link.attempts * link_kept + 1;
  link.failures = link.failures * link_kept + (result == AttemptResult::kUnreachable ? 1 : 0);
  link.updated_at = now;
}

bool CrossDomainPolicy::IsLossy(const DomainName& domain, Instant now) const {
  const auto found = links_.find(domain);
  if (found == links_.end()) {
    return false;
  }
  const LinkQuality& link = found->second;
  return link.failures * Decay(link.updated_at, now, kLinkDecaySeconds) > kMinFailures &&
         link.failures > kMaxFailuresPerAttempt * link.attempts;
}

bool CrossDomainPolicy::IsInForce() const { return load_age_ <= kMaxLoadAge; }

const CrossDomainShare& CrossDomainPolicy::ShareOf(const ServiceName& service) const {
  static const CrossDomainShare kNone;
  const auto found = services_.find(service);
  return found == services_.end() ? kNone : found->second.share;
}

bool CrossDomainPolicy::Leaves(const ServiceName& service, std::size_t body_bytes,
                               std::uint64_t random) const {
  const CrossDomainShare& share = ShareOf(service);
  const double leaving = body_bytes < kLargeBodyBytes ? share.small_bodies : share.large_bodies;
  return !share.targets.empty() && Fraction(random) < leaving;
}

std::optional<EndpointChoice> CrossDomainChooser::Choose(
    const EndpointFleet& fleet, const EndpointChoiceRequest& request) const {
  if (!request.without_keys || !request.tried.empty() || !policy_.IsInForce()) {
    return least_latency_.Choose(fleet, request);
  }
  const CrossDomainShare& share = policy_.ShareOf(request.service);
  EndpointChoiceRequest elsewhere = request;
  elsewhere.preferred_domains = &share.targets;
  if (policy_.Leaves(request.service, request.without_keys->body_bytes, request.random)) {
    return least_latency_.Choose(fleet, elsewhere);
  }
  EndpointChoiceRequest at_home = request;
  at_home.preferred_domains = &policy_.own_domain();
  auto choice = least_latency_.Choose(fleet, at_home);
  const double target_s = Seconds(request.without_keys->latency_target);
  if (!choice || share.targets.empty() ||
      choice->expected_latency_s <= kMaxTargetShare * target_s) {
    return choice;
  }
  const auto other = least_latency_.Choose(fleet, elsewhere);
  const bool gains = other && other->expected_latency_s <= kMaxTargetShare * target_s &&
                     other->expected_latency_s < kMinGain * choice->expected_latency_s;
  return gains ? other : choice;
}

}  // namespace sycamorestall

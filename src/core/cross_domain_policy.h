#pragma once

#include <map>
#include <set>

#include "core/domain_reachability.h"
#include "core/endpoint_choice.h"
#include "core/endpoint_fleet.h"

namespace sycamorestall {

// Requests of one service that other daemons have in flight across the border of the own failure
// domain.
struct CrossDomainLoad {
  // From daemons of the own domain to endpoints of other domains.
  std::size_t leaving = 0;
  // From daemons of other domains to endpoints of the own domain.
  std::size_t entering = 0;

  friend bool operator==(const CrossDomainLoad&, const CrossDomainLoad&) = default;
};

// How much of a service's load leaves the failure domain, as last computed.
struct CrossDomainShare {
  // The share of the requests with small and with large bodies that leave, 0 to 1.
  double small_bodies = 0;
  double large_bodies = 0;
  // The other domains that can take requests.
  std::set<DomainName> targets;

  friend bool operator==(const CrossDomainShare&, const CrossDomainShare&) = default;
};

// Decides which share of the requests without keys leaves the daemon's own failure domain: none
// while the endpoints of the domain can run all requests of its daemons, else the excess, as far as
// other domains have spare capacity. Requests with large bodies leave last.
//
// The excess follows from the number of requests that all daemons of the domain have in flight, in
// and outside the domain. That number hardly depends on where they run, so the share does not swing
// even though each daemon learns late what the others do, and all daemons arrive at about the same
// share.
class CrossDomainPolicy {
 public:
  explicit CrossDomainPolicy(DomainName domain) : domain_(std::move(domain)) {}

  // Sets what the other daemons last reported.
  void SetPeerLoads(std::map<ServiceName, CrossDomainLoad> loads) { peers_ = std::move(loads); }
  // Computes the shares of all services anew. load_age tells how old the loads may be that the
  // other daemons reported.
  void Update(const EndpointFleet& fleet, const DomainReachability& domains, Duration load_age,
              Instant now);
  // Records how an attempt of a request at an endpoint of a domain ended and how long it took.
  void RecordAttempt(const ServiceName& service, const DomainName& domain, std::size_t body_bytes,
                     AttemptResult result, Duration elapsed, Instant now);

  // Whether the loads are known soon enough for the policy to decide.
  bool IsInForce() const;
  // Returns the share of a service; that of an unknown one is 0.
  const CrossDomainShare& ShareOf(const ServiceName& service) const;
  // Whether a request leaves the domain. random differs between requests.
  bool Leaves(const ServiceName& service, std::size_t body_bytes, std::uint64_t random) const;
  const DomainName& domain() const { return domain_; }
  // The domain as a set of one.
  const std::set<DomainName>& own_domain() const { return own_domain_; }

 private:
  // The endpoints of a service in one domain.
  struct DomainLoad {
    // What they can run at once; those that accept no requests count nothing.
    double slots = 0;
    // Requests in flight at them, of all daemons and of this one.
    double load = 0;
    double in_flight = 0;
  };
  using DomainLoads = std::map<DomainName, DomainLoad>;

  // Time that endpoints spent on a daemon's requests, decaying.
  struct Occupancy {
    double small_bodies_s = 0;
    double large_bodies_s = 0;
    Instant updated_at;
  };

  struct ServiceState {
    // The load beyond the capacity of the domain, as a multiple of that; smoothed.
    double excess = 0;
    bool leaving = false;
    Occupancy occupancy;
    CrossDomainShare share;
    Instant updated_at;
  };

  // Attempts at endpoints of another domain, decaying.
  struct LinkQuality {
    double attempts = 0;
    double failures = 0;
    Instant updated_at;
  };

  void UpdateService(const ServiceName& service, const DomainLoads& loads,
                     const DomainReachability& domains, Instant now);
  // The domains that can take requests: reachable ones with spare capacity, or all reachable ones
  // if the own domain has no endpoint that accepts requests.
  std::set<DomainName> FindTargets(const DomainLoad& own, const DomainLoads& loads,
                                   const DomainReachability& domains, Instant now) const;
  // The load per slot up to which other domains are filled.
  static double MaxLoadElsewhere(const DomainLoad& own);
  // Splits the share of the load that leaves between small and large bodies.
  static void SplitByBody(ServiceState& state, double leaving);
  bool IsLossy(const DomainName& domain, Instant now) const;

  const DomainName domain_;
  const std::set<DomainName> own_domain_{domain_};
  std::map<ServiceName, CrossDomainLoad> peers_;
  Duration load_age_ = Duration::max();
  std::map<ServiceName, ServiceState> services_;
  std::map<DomainName, LinkQuality> links_;
};

// Chooses the endpoint with the lowest cost in the domain that CrossDomainPolicy selects for the
// request. A request that would miss its latency target there, and probably not elsewhere, goes
// elsewhere; so does a request for which the domain has no endpoint. A retry, and any request while
// the policy is not in force, goes to the endpoint with the lowest cost of all.
class CrossDomainChooser : public EndpointChooser {
 public:
  // The policy has to outlive the chooser.
  explicit CrossDomainChooser(const CrossDomainPolicy& policy) : policy_(policy) {}

  std::optional<EndpointChoice> Choose(const EndpointFleet& fleet,
                                       const EndpointChoiceRequest& request) const override;

 private:
  const CrossDomainPolicy& policy_;
  LeastLatencyChooser least_latency_;
};

}  // namespace sycamorestall

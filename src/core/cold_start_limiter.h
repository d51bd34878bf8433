#pragma once

#include <deque>
#include <map>

#include "core/endpoint_fleet.h"

namespace sycamorestall {

// The limit of requests at a cold endpoint, from all daemons together: in any second the rate that
// its service names, times the factor, plus the slack.
struct ColdRateLimit {
  // 0 if there is no limit.
  double factor = 0;
  double slack = 0;

  friend bool operator==(const ColdRateLimit&, const ColdRateLimit&) = default;
};

// The requests that all daemons together may send to a cold endpoint in any period of this length.
struct ColdAllowance {
  std::size_t requests = 0;
  Duration period{};

  friend bool operator==(const ColdAllowance&, const ColdAllowance&) = default;
};

// Returns the allowance of an endpoint that bears so many requests per second when cold. Three
// times the allowance is within the limit, as daemons that know different daemons may each use all
// of it.
ColdAllowance AllowanceFor(double cold_rate, const ColdRateLimit& limit);

// Decides whether this daemon may send a request to a cold endpoint, without messages between
// daemons: rendezvous hashing chooses a few of the known daemons, those of the endpoint's own
// domain first, each of which may send a fixed number of requests in a period. The others send
// nothing.
class ColdStartLimiter {
 public:
  ColdStartLimiter(InstanceId self, const ColdRateLimit& limit);

  // Whether cold endpoints are limited at all.
  bool enabled() const { return limit_.factor > 0; }
  // Sets the daemons known to accept requests, with their domains. Nothing is sent to cold
  // endpoints for some time after the first call, as an earlier run of this daemon may just have
  // done so.
  void SetDaemons(std::map<InstanceId, DomainName> daemons, Instant now);

  // Whether a request may be sent to the endpoint now. Always true if it is not limited.
  bool MaySend(const EndpointState& endpoint, Instant now) const;
  // Counts a request that is sent to the endpoint, limited or not: it may become cold at any
  // moment.
  void RecordSend(const EndpointState& endpoint, Instant now);
  // Takes back a request recorded at that time, of which no byte was sent.
  void RecordUnsent(const InstanceId& endpoint, Instant sent_at);

  // How long until this daemon may send the endpoint a request, as it is warm or an earlier request
  // does not count any more; zero if it may now.
  Duration TimeUntilSend(const EndpointState& endpoint, Instant now) const;
  // The shortest such time of the endpoints of a service that are not draining; zero if there are
  // none.
  Duration TimeUntilSend(const EndpointFleet& fleet, const ServiceName& service, Instant now) const;

 private:
  // The part of an allowance that is this daemon's.
  std::size_t OwnShare(const EndpointEntry& endpoint, std::size_t requests) const;
  // How many of the daemons precede this one in the order for the endpoint.
  std::size_t RankFor(const EndpointEntry& endpoint) const;
  // The allowance of all daemons for an endpoint, in a period with room for late delivery.
  ColdAllowance Allowance(const EndpointState& endpoint) const;

  const InstanceId self_;
  const ColdRateLimit limit_;
  std::map<InstanceId, DomainName> daemons_;
  std::optional<Instant> begun_at_;
  // When requests were sent to each endpoint, as far as they still count.
  std::map<InstanceId, std::deque<Instant>> sent_;
  // The rank of this daemon for each endpoint, until the known daemons change.
  mutable std::map<InstanceId, std::size_t> ranks_;
};

}  // namespace sycamorestall

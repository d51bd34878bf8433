#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/endpoint_entry.h"

namespace sycamorestall {

// How a request ended at an endpoint, as far as that tells of the endpoint.
enum class EndpointEvidence {
  // It ran the request.
  kServed,
  // It answered that it has no room, or does not own the key.
  kDeclined,
  // It failed a request that it could have run.
  kFailed,
  // No connection, no answer, or an answer that cannot be read.
  kUnreachable,
};

// The evidence's name in figures.
const char* ToString(EndpointEvidence evidence);

// What a daemon knows of an endpoint.
struct EndpointState {
  EndpointEntry entry;
  // When the entry was first seen, and since when the endpoint is leaving.
  Instant listed_at;
  // Until when it is slow after its start.
  Instant warm_at;
  std::optional<Instant> leaving_since;
  // Requests of this daemon that it runs or has queued.
  std::size_t in_flight = 0;
  // The same of all other daemons, by what each of them said last.
  std::size_t peers_in_flight = 0;
  // Mean time that it works on a request, in seconds; 0 while unknown.
  double service_s = 0;
  // Share of requests that failed lately, 0 to 1.
  double failure_share = 0;
  std::uint32_t unreachable_in_a_row = 0;
  Instant unreachable_at;
  // Before then the endpoint is passed over if another one can serve.
  Instant avoid_until;

  // Requests of all daemons that it has.
  std::size_t load() const { return in_flight + peers_in_flight; }
  // Whether requests for keys that it owns may go there. One that leaves is sent
  // requests for a moment only, while its keys move; not longer, even if they do
  // not, as when their leader does not hear of it.
  bool TakesOwnedKeys(Instant now) const;
  // How many times its slots one request more would fill, at least 1.
  double rounds() const;
};

// All listed endpoints, and what requests have shown of each.
class EndpointFleet {
 public:
  // Adds an endpoint, or replaces what the list says of it. A new incarnation
  // starts with a clean record.
  void Put(const EndpointEntry& entry, Instant now);
  // Forgets an endpoint that the list no longer names.
  void Remove(const InstanceId& id);

  // The endpoint; null when it is not listed.
  const EndpointState* Find(const InstanceId& id) const;
  // All endpoints of a service.
  const std::map<InstanceId, const EndpointState*>& OfService(const ServiceName& service) const;
  const std::map<InstanceId, EndpointState>& all() const { return endpoints_; }
  // Mean time that a service's endpoints work on a request, in seconds; 0 while
  // unknown.
  double MeanServiceSeconds(const ServiceName& service) const;

  // Counts a request on its way to an endpoint.
  void BeginRequest(const InstanceId& id);
  // Counts its end. If it was served, the time that it took is learnt from; what
  // it waited is taken out by the rounds at the moment when it was sent.
  void EndRequest(const InstanceId& id, EndpointEvidence evidence, Duration elapsed, double rounds,
                  Instant now);
  // Counts the end of a request that says nothing of the endpoint.
  void CancelRequest(const InstanceId& id);
  // Sets how many requests the other daemons have at an endpoint.
  void SetPeersInFlight(const InstanceId& id, std::size_t count);

 private:
  // The endpoints of one service, and the sum of the times that they are known to
  // work on a request.
  struct ServiceIndex {
    std::map<InstanceId, const EndpointState*> endpoints;
    double service_s_sum = 0;
    std::size_t known = 0;
  };

  EndpointState* FindMutable(const InstanceId& id);
  // Takes an endpoint into the index of its service, or out of it.
  void Index(const EndpointState& state);
  void Unindex(const EndpointState& state);
  void SetServiceSeconds(EndpointState& state, double seconds);

  std::map<InstanceId, EndpointState> endpoints_;
  std::map<ServiceName, ServiceIndex> services_;
};

}  // namespace sycamorestall

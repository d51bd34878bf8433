#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/decaying_rate.h"
#include "core/domain_evacuations.h"
#include "core/endpoint_entry.h"
#include "core/endpoint_notice.h"
#include "core/learned_room.h"
#include "core/reported_load.h"
#include "core/slowdown_estimate.h"

namespace sycamorestall {

// How an attempt at an endpoint ended, as a measure of the endpoint's health.
enum class AttemptResult {
  // The endpoint ran the request.
  kServed,
  // The endpoint answered that it is full or does not own the key.
  kDeclined,
  // The endpoint accepted the request but failed to serve it.
  kFailed,
  // No connection, no answer, or an invalid answer.
  kUnreachable,
};

// The result's name as the label of a metric.
const char* ToString(AttemptResult result);

// How long an endpoint took to run requests, without the time that they waited there.
struct ServiceTimes {
  std::uint32_t count = 0;
  double mean_s = 0;

  friend bool operator==(const ServiceTimes&, const ServiceTimes&) = default;
};

// What the endpoints of a service bear after a start.
struct ColdTerms {
  // How long an endpoint is cold after its start.
  Duration time{};
  // The requests per second that it bears during that time; 0 if it bears any rate.
  double rate = 0;

  friend bool operator==(const ColdTerms&, const ColdTerms&) = default;
};

// A daemon's view of one endpoint: its list entry, load and measurements.
struct EndpointState {
  EndpointEntry entry;
  // When this incarnation was first seen in the list.
  Instant listed_at;
  // When the slow phase after its start ends.
  Instant warm_up_ends_at;
  // The terms of its service; the times below have no effect while their rate is 0.
  ColdTerms cold_terms;
  // Whether this incarnation appeared in the list while this daemon was running: it has just
  // started, even if its entry names no warm-up.
  bool appeared_in_operation = false;
  // Until then it counts as cold, whatever its entry says.
  Instant assumed_cold_until;
  // When it last refused a connection; empty once it has accepted one since.
  std::optional<Instant> refused_at;
  // Whether it said in an answer to this or another daemon that it is being removed from service.
  // That holds until it restarts, whatever its entry says.
  bool announced_draining = false;
  // Until then it wants no requests from this daemon, as it said in an answer.
  Instant paused_until;
  // Until when it accepts requests for its keys as it drains; empty while it does not drain.
  std::optional<Instant> owned_keys_deadline;
  // The evacuation of its failure domain; empty if that is not evacuated.
  std::optional<Evacuation> evacuation;
  // Requests from this daemon that it runs or has queued.
  std::size_t in_flight = 0;
  // The same for all other daemons, as each of them last reported.
  std::size_t peers_in_flight = 0;
  // Requests for it that reached this daemon, sent or not.
  DecayingRate demand;
  // Moving average of the time it takes to run a request, in seconds; 0 while unknown.
  double mean_service_time_s = 0;
  // How many times that it takes at present.
  SlowdownEstimate slowdown;
  // The load that it reported itself.
  LatestReportedLoad reported_load;
  // How many requests it takes, from those that it refused.
  LearnedRoom learned_room;
  // Moving average of failed attempts, 0 to 1.
  double failure_rate = 0;
  // Attempts in a row that ended as kUnreachable, and when the latest one ended.
  std::uint32_t consecutive_unreachable = 0;
  Instant last_unreachable_at;
  // Until then other endpoints are preferred.
  Instant avoid_until;

  // Requests in flight at the endpoint from all daemons.
  std::size_t load() const {
    return in_flight + reported_load.peers_in_flight().value_or(peers_in_flight);
  }
  // Whether it is being removed from service, by its entry or by its answers.
  bool draining() const { return entry.draining || announced_draining; }
  // How much longer it wants no requests from this daemon; zero if it takes them.
  Duration PauseLeft(Instant now) const { return std::max(paused_until - now, Duration{}); }
  // Whether requests that other endpoints can serve as well may be sent to it.
  bool AcceptsRequests(Instant now) const {
    return AcceptsNewKeys() && PauseLeft(now) == Duration{};
  }
  // Whether it may become the owner of keys.
  bool AcceptsNewKeys() const { return !draining() && !evacuation; }
  // Whether requests for keys that it owns may be sent to it. A draining or evacuated endpoint
  // accepts them only for a short grace period while its keys move (see drain_timing.h). The period
  // ends even if the keys have not moved, for example because their leader has not heard
  // that the endpoint is draining.
  bool AcceptsOwnedKeys(Instant now) const;
  // When it is warm: in the past if it is warm already, or if it bears any rate when cold.
  Instant ColdUntil() const;
  bool IsCold(Instant now) const { return now < ColdUntil(); }
  // Until when it may get no more requests than a cold endpoint: while it is cold, and after a
  // refused connection until a restart would be listed.
  Instant LimitedUntil() const;
  // (load + 1) / slots, at least 1: the factor by which queueing multiplies the
  // service time of the next request.
  double queueing_factor() const;
};

// All listed endpoints, with the load and the measurements of each.
class EndpointFleet {
 public:
  // Notes that all changes of the list up to this time are known. An endpoint that is found to
  // drain may have begun that at any later time.
  void SetListKnownUntil(Instant time) { list_known_until_ = time; }
  // Adds an endpoint or replaces its entry. A new incarnation or address resets
  // the measurements and what the endpoint said about itself, but not the count of requests in
  // flight.
  void Put(const EndpointEntry& entry, Instant now);
  // Removes an endpoint that is no longer listed.
  void Remove(const InstanceId& id, Instant now);

  // Handles the notice of an endpoint's answer to a request that was sent at the given time.
  // Answers of an earlier incarnation are ignored. Returns what was new.
  EndpointNoticeEffect HandleNotice(const InstanceId& id, const EndpointNotice& notice,
                                    Instant sent_at, Instant now);
  // Handles another daemon's report that this incarnation announced that it is draining. Returns
  // whether that was not known.
  bool HandleDrainReport(const InstanceId& id, Incarnation incarnation, Instant now);

  // Sets how long after the operator requested an evacuation endpoints may get requests.
  void SetEvacuationTime(Duration limit) { evacuations_.set_time_limit(limit); }
  // Notes whether a failure domain is evacuated, which holds for endpoints listed later as well.
  // This daemon knows that it was not up to `known_until`. Returns whether that is new.
  bool SetEvacuated(const DomainName& domain, bool evacuated, Instant now, Instant known_until);
  bool SetEvacuated(const DomainName& domain, bool evacuated, Instant now) {
    return SetEvacuated(domain, evacuated, now, now);
  }
  const DomainEvacuations& evacuations() const { return evacuations_; }
  // Whether a service has endpoints that are not draining, and all of them are evacuated.
  bool IsEvacuated(const ServiceName& service) const;
  // Counts the endpoints of a service in a domain, also those listed later, as cold until then,
  // whatever their entries say. Returns how many are listed.
  std::size_t AssumeCold(const DomainName& domain, const ServiceName& service, Instant until);
  // Sets the services that the configuration names. Entries of others name no endpoints to use.
  void SetServices(std::set<ServiceName> services) { configured_services_ = std::move(services); }
  // How many listed entries are of services that the configuration does not name.
  std::size_t CountUnconfigured() const;
  // Whether an entry of a configured service, other than this one, has the address.
  bool IsUsedByAnother(const NetworkAddress& address, const InstanceId& id) const;
  // Sets what the endpoints of a service bear when cold.
  void SetColdTerms(const ServiceName& service, const ColdTerms& terms);
  // Notes that all endpoints listed at this daemon's start have been added; incarnations added from
  // now on have just started.
  void FinishLoading() { loaded_ = true; }
  // Whether an entry shows that a known endpoint has become cold again, rather than that its
  // warm-up runs down as expected.
  bool HasBecomeCold(const EndpointEntry& entry, Instant now) const;
  // Treats an endpoint as cold until then, at least.
  void AssumeCold(const InstanceId& id, Instant until);
  // Handle the end of a request that was sent at the given time: its connection was refused, or it
  // had one. An endpoint that accepts connections after it refused one may have restarted, and
  // counts as cold. Returns whether that is so.
  void HandleRefusedConnection(const InstanceId& id, Instant now);
  bool HandleAcceptedConnection(const InstanceId& id, Instant sent_at, Instant now);

  // Returns null if the endpoint is not listed.
  const EndpointState* Find(const InstanceId& id) const;
  // All endpoints of a service.
  const std::map<InstanceId, const EndpointState*>& EndpointsOfService(
      const ServiceName& service) const;
  const std::map<InstanceId, EndpointState>& all() const { return endpoints_; }
  // How long until an endpoint of the service takes requests again; zero if one does or all are
  // draining or evacuated.
  Duration ShortestPause(const ServiceName& service, Instant now) const;
  // Mean service time over the measured endpoints of a service, in seconds; 0 while
  // unknown.
  double MeanServiceTimeSeconds(const ServiceName& service) const;

  // Counts a request that only this endpoint can serve, or any of a service, whether or not it is
  // sent.
  void CountDemand(const InstanceId& id, Instant now);
  void CountDemand(const ServiceName& service, Instant now);
  // The requests counted at this daemon, for an endpoint or a service, as a multiple of what it can
  // run; 0 while that is not known.
  double DemandRatio(const InstanceId& id, Instant now) const;
  double DemandRatio(const ServiceName& service, Instant now) const;
  // Counts a request that is sent to an endpoint as in flight.
  void BeginRequest(const InstanceId& id);
  // Counts the request as finished and updates the measurements. If it was served,
  // elapsed divided by the queueing factor at the time of sending, which removes the
  // time spent waiting, is added to the mean service time.
  void EndRequest(const InstanceId& id, AttemptResult result, Duration elapsed,
                  double queueing_factor, Instant now);
  // Adds times that another daemon measured.
  void AddServiceTimes(const InstanceId& id, const ServiceTimes& times);
  // Returns the times measured here since the last call at the endpoints of a service.
  std::map<InstanceId, ServiceTimes> DrainServiceTimes(const ServiceName& service);
  // Counts a request as finished that got no answer until its deadline. The elapsed time counts as
  // measured if it is longer than usual: the request would have taken even longer.
  void EndUnanswered(const InstanceId& id, Duration elapsed, double queueing_factor, Instant now);
  // Notes that the endpoint refused a request because it was full; queueing_factor is that at the
  // time of sending.
  void RecordRefusal(const InstanceId& id, double queueing_factor, Instant now);
  // Forgets the counts of reported loads that were received before this time, as what the other
  // daemons reported is newer.
  void DropReportedCounts(Instant received_before);
  // The mean age of the latest reported loads, in seconds; 0 if there are none.
  double ReportedLoadAgeSeconds(Instant now) const;
  // Counts the request as finished without updating the measurements.
  void CancelRequest(const InstanceId& id);
  // Sets the number of requests that the other daemons have in flight at an endpoint.
  void SetPeersInFlight(const InstanceId& id, std::size_t count);
  // Changes that number, as one of them reported another.
  void AddPeersInFlight(const InstanceId& id, std::size_t count);
  void RemovePeersInFlight(const InstanceId& id, std::size_t count);

 private:
  // The endpoints of one service, and the sum and number of the service times
  // measured so far.
  struct ServiceIndex {
    std::map<InstanceId, const EndpointState*> endpoints;
    double service_time_sum_s = 0;
    std::size_t measured = 0;
    // The slots of all its endpoints.
    std::size_t slots = 0;
    ColdTerms cold_terms;
    DecayingRate demand;
    std::map<InstanceId, ServiceTimes> measured_times;
  };

  // An endpoint that was listed, as it was then.
  struct RemovedEndpoint {
    EndpointState state;
    Instant removed_at;
  };

  // Until when an endpoint that is found to drain now accepts requests for its keys.
  Instant DrainDeadline(Instant now) const;
  EndpointState* FindMutable(const InstanceId& id);
  // Like FindMutable, but also finds endpoints that were removed recently.
  EndpointState* FindKnown(const InstanceId& id);
  // The initial state of an incarnation. If it was listed before, what it said then still holds.
  EndpointState MakeState(const EndpointEntry& entry, Instant now);
  // Until when the endpoint is assumed to be cold, whatever its entry says.
  Instant AssumedColdUntil(const EndpointEntry& entry) const;
  void AddToServiceIndex(const EndpointState& state);
  void RemoveFromServiceIndex(const EndpointState& state);
  void SetMeanServiceTime(EndpointState& state, double seconds);
  // Notes the load that an endpoint reported. Returns false if it cannot be.
  bool SetReportedLoad(EndpointState& state, const ReportedLoad& load, Instant now);
  // Adds the time that a request of this daemon took.
  void RecordServiceTime(EndpointState& state, double seconds, Instant now);
  // Adds times to the moving average, each with the weight.
  void AverageServiceTime(EndpointState& state, const ServiceTimes& times, double weight_each);

  DomainEvacuations evacuations_;
  std::set<ServiceName> configured_services_;
  // Until when endpoints count as cold, by domain and service.
  std::map<std::pair<DomainName, ServiceName>, Instant> assumed_cold_until_;
  bool loaded_ = false;
  std::optional<Instant> list_known_until_;
  std::map<InstanceId, EndpointState> endpoints_;
  // Kept because entries of live endpoints may lapse and come back.
  std::map<InstanceId, RemovedEndpoint> removed_;
  std::map<ServiceName, ServiceIndex> services_;
  // The endpoints whose reported counts are in use.
  std::set<InstanceId> with_reported_counts_;
};

}  // namespace sycamorestall

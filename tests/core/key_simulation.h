#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/key_leader.h"

namespace sycamorestall::testing {

// How often each fault occurs in a random run. Shares are from 0 to 1.
struct SimulationFaults {
  // Shares of orders that are lost before they arrive, and that are carried out late
  // without a reply.
  double orders_lost = 0;
  double orders_late = 0;
  // Share of grants that are on their way for up to the order's timeout and what the
  // network may add after that.
  double grants_slow = 0;
  // Share of releases that find requests running for the keys, for up to some seconds.
  double slow_requests = 0;
  // Shares of writes of the record that are applied without an answer, and that are
  // applied late.
  double writes_unanswered = 0;
  double writes_late = 0;
  // Events per second of simulated time.
  double daemon_kills = 0;
  double daemon_stops = 0;
  double store_partitions = 0;
  double store_outages = 0;
  double endpoint_partitions = 0;
  double endpoint_restarts = 0;
  double endpoint_crashes = 0;
  double list_losses = 0;
  double drains = 0;
  double lease_losses = 0;
  double freezes = 0;
  // Times in which a daemon and an endpoint reach each other, but neither the store nor the others.
  double domain_cuts = 0;
  // Outages after which the store has an older copy of its contents.
  double store_restores = 0;
  // Evacuations of a failure domain that begin, or are withdrawn.
  double evacuations = 0;
  // Requests per second that an endpoint bears after a start; 0 for any rate.
  double cold_rate = 0;
};

// The result of a run.
struct SimulationReport {
  // The first violated rule; empty if there was none.
  std::string violation;
  std::uint64_t grants = 0;
  std::uint64_t moves = 0;
  // Grants that an endpoint refused because of their token.
  std::uint64_t refused_as_outdated = 0;
  std::uint64_t takeovers = 0;
  std::uint64_t handovers = 0;
  std::uint64_t restores = 0;
  // The longest time without a holder of any sampled key, measured while the run
  // measures gaps.
  std::int64_t longest_gap_ms = 0;
};

// Simulates some daemons, each with a KeyLeader, a store with one record, and endpoints
// whose clocks run slow. All randomness comes from one seed.
class KeySimulation {
 public:
  KeySimulation(std::uint64_t seed, SimulationFaults faults);

  // Runs for `faulty_s` seconds with faults and then for `calm_s` without. Gaps are
  // measured in the last 10 calm seconds.
  SimulationReport Run(int faulty_s, int calm_s);
  // Makes the store unreachable for 8 s and stops the leader 100 ms after the start of
  // this outage. Gaps are measured from its start on.
  SimulationReport RunStopInOutage();
  // Partitions all daemons from all endpoints for 15 s. Gaps are measured after that.
  SimulationReport RunEndpointPartition();

 private:
  // The state of one key at an endpoint.
  struct HeldKey {
    std::uint64_t token = 0;
    std::int64_t until_ms = 0;
    // The highest token the endpoint has seen for the key.
    std::uint64_t highest_seen_token = 0;
    // When the longest request that a release has found ends, and when the latest grant runs out,
    // which ends it as well.
    std::int64_t request_ends_ms = 0;
    std::int64_t granted_until_ms = 0;

    bool HasRequest(std::int64_t now_ms) const {
      return now_ms < std::min(request_ends_ms, granted_until_ms);
    }
  };
  struct FakeEndpoint {
    InstanceId id;
    DomainName domain;
    Incarnation incarnation;
    // Whether it learns higher tokens from releases as well as from grants.
    bool learns_from_releases = false;
    bool up = true;
    bool listed = true;
    bool draining = false;
    std::int64_t restart_at_ms = 0;
    std::int64_t listed_again_at_ms = 0;
    std::vector<HeldKey> keys;

    // Forgets its keys and requests, as at a restart.
    void Forget();
  };
  struct FakeDaemon {
    InstanceId id;
    std::unique_ptr<KeyLeader> leader;
    EndpointFleet fleet;
    StoreView view;
    std::int64_t next_store_read_ms = 0;
    std::int64_t frozen_until_ms = 0;
    std::int64_t store_partition_until_ms = 0;
    std::int64_t without_lease_until_ms = 0;
    std::map<InstanceId, std::int64_t> endpoint_partition_until_ms;
    // Counts the starts of the daemon, so that answers to an earlier one are dropped.
    std::uint64_t start_number = 0;
  };
  struct Event {
    std::int64_t at_ms = 0;
    std::function<void()> run;
  };

  Instant Now() const;
  double RandomFraction();
  bool RandomBool(double probability) { return RandomFraction() < probability; }
  int RandomBelow(std::int64_t below);
  void Schedule(std::int64_t delay_ms, std::function<void()> run);
  void StartDaemon(FakeDaemon& daemon);
  void Step(bool with_faults);
  void InjectFaults();
  void ReadStore(FakeDaemon& daemon);
  void ExecuteActions(FakeDaemon& daemon);
  void WriteRecord(FakeDaemon& daemon, const WriteOwnership& write);
  bool ApplyWrite(const WriteOwnership& write);
  // Cuts the daemon and the endpoint off from the store and from the other daemons.
  void CutDomain(FakeDaemon& daemon, const FakeEndpoint& endpoint);
  // The store goes back to the record of some seconds ago; leases are lost.
  void RestoreOlderRecord();
  void DeliverGrant(FakeDaemon& daemon, const SendGrant& order);
  void DeliverSlowGrant(FakeDaemon& daemon, const SendGrant& order);
  void DeliverHandOver(FakeDaemon& daemon, const HandOver& hand_over);
  void DeliverRelease(FakeDaemon& daemon, const SendRelease& order);
  OrderReply ApplyGrant(FakeEndpoint& endpoint, const KeyGrant& grant, std::int64_t arrived_ms);
  // Stops new requests for the keys of a release.
  void StopRequests(FakeEndpoint& endpoint, const SendRelease& order);
  // Answers a release once no request runs for its keys, or lets it fail after its timeout.
  void AnswerRelease(FakeDaemon& daemon, const FakeEndpoint& endpoint, const SendRelease& order,
                     std::uint64_t start_number, std::int64_t fails_at_ms);
  FakeEndpoint* FindReachable(FakeDaemon& daemon, const InstanceId& id);
  void ReportViolation(const std::string& text);
  void MeasureGaps();

  std::mt19937_64 random_;
  SimulationFaults faults_;
  std::int64_t now_ms_ = 1'000'000;
  // For each sampled key, since when it has had no holder; 0 while it has one.
  std::vector<std::int64_t> no_holder_since_ms_;
  OwnershipRecord record_;
  Revision revision_{0, {1}};
  // Every record that the store has had.
  struct StoredRecord {
    std::int64_t written_ms = 0;
    OwnershipRecord record;
    Revision revision;
  };
  std::vector<StoredRecord> stored_records_;
  std::vector<FakeEndpoint> endpoints_;
  std::vector<FakeDaemon> daemons_;
  std::set<DomainName> evacuated_;
  std::vector<Event> events_;
  SimulationReport report_;
};

}  // namespace sycamorestall::testing

#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <variant>

#include "core/ownership_record.h"

namespace sycamorestall {

// Settings of the leader of one service's keys.
struct KeyLeaderSettings {
  ServiceName service;
  // The id of this daemon.
  InstanceId self;
  // For how long after the arrival of a grant an endpoint may serve the keys.
  std::chrono::milliseconds time_to_live{4000};
  // By which share an endpoint's clock may run slow.
  double clock_drift = 0.02;
  // An unanswered grant fails after this time, and its connection is reset, so that
  // bytes that have not left this daemon are not sent any more.
  std::chrono::milliseconds grant_timeout{700};
  // How late a timeout is noticed at most by a daemon that runs.
  std::chrono::milliseconds max_timeout_delay{600};
  // For how long after the reset of its connection a grant may still arrive. A network
  // partition may keep the reset from a busy endpoint that has yet to read the grant.
  std::chrono::milliseconds max_arrival_after_reset{1500};
  std::chrono::milliseconds renew_interval{1300};
  std::chrono::milliseconds order_retry_delay{300};
  // How long after it last heard from the store a leader still sends grants.
  std::chrono::milliseconds grant_authority{8000};
  // An endpoint missing from the list counts as ended once the store has been reachable
  // for this long.
  std::chrono::milliseconds list_settle_time{2500};
  // The number of listed endpoints must be unchanged for this long before the initial
  // assignment.
  std::chrono::milliseconds initial_list_settle_time{1200};
  // How long daemons whose leases expired in a store outage have to return before the
  // leader counts as gone.
  std::chrono::milliseconds daemon_return_grace{1500};
  // How long the leader of an earlier era of the store has to write its record again before
  // another daemon claims leadership.
  std::chrono::milliseconds record_return_grace{3000};
  std::chrono::milliseconds placement_interval{500};
  // The minimum time between two writes that assign keys.
  std::chrono::milliseconds write_interval{80};
};

// What a daemon knows of the store and of the other daemons.
struct StoreView {
  // Everything written to the store up to this time is known here.
  Instant confirmed_at;
  bool reachable = false;
  Instant reachable_since;
  // Daemons that hold a lease, including this one, with their capacity. Those with the
  // highest capacity claim leadership first.
  std::map<InstanceId, double> daemons;
  // Other daemons that sent a message recently and reach the store, also those without a lease.
  std::set<InstanceId> heard_peers;
};

// Writes the record if the store still has the expected revision.
struct WriteOwnership {
  OwnershipRecord record;
  Revision expected;
};
// Sends a grant to an endpoint.
struct SendGrant {
  std::uint64_t order = 0;
  InstanceId endpoint;
  NetworkAddress address;
  KeyGrant grant;
};
// Asks an endpoint to release keys.
struct SendRelease {
  std::uint64_t order = 0;
  InstanceId endpoint;
  NetworkAddress address;
  KeyRange range;
  FencingToken token;
};
// Asks another daemon to renew the grants of the record until the store is reachable
// again. Sent by a leader that stops during a store outage, as it cannot record that it
// has stepped down.
struct HandOver {
  OwnershipRecord record;
  // When the leader last heard from the store.
  Instant confirmed_at;
};
// Reports that the owners of some keys changed.
struct RoutesChanged {};
// A log message about a decision.
struct LeaderDecision {
  std::string text;
};
using KeyLeaderAction =
    std::variant<WriteOwnership, SendGrant, SendRelease, HandOver, RoutesChanged, LeaderDecision>;

// The result of a write of the record. kUnknown: it may or may not have been applied.
// kNotWritten: it certainly was not.
enum class RecordWriteOutcome { kWritten, kConflict, kUnknown, kNotWritten };

}  // namespace sycamorestall

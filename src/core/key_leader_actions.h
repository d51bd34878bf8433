#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <variant>

#include "core/ownership_record.h"

namespace sycamorestall {

// The times by which one service's keys are led.
struct KeyLeaderSettings {
  ServiceName service;
  // This daemon.
  InstanceId self;
  // For how long an endpoint may serve keys after a grant arrives.
  std::chrono::milliseconds time_to_live{4000};
  // How much slower than true time an endpoint's clock may run.
  double clock_drift = 0.02;
  // A grant that was sent is taken to have arrived within this time or never.
  std::chrono::milliseconds max_transit{400};
  std::chrono::milliseconds renew_interval{1300};
  std::chrono::milliseconds order_retry_delay{300};
  // For how long after the store was last heard_peers grants are still given, and how
  // long a next leader waits candidates_ahead it takes an earlier one to be silent.
  std::chrono::milliseconds grant_authority{8000};
  std::chrono::milliseconds earlier_leader_authority{9300};
  // An endpoint that the list lacks is taken as owner_is_missing once the store has been
  // reachable for so long.
  std::chrono::milliseconds list_settle{2500};
  // Before the very first grant the list has to stay the same for so long.
  std::chrono::milliseconds initial_list_settle{1200};
  // Daemons whose leases lapsed in an outage of the store get so long to be back.
  std::chrono::milliseconds daemon_return_grace{1500};
  std::chrono::milliseconds placement_interval{500};
  // The least time between two writes that give keys to endpoints.
  std::chrono::milliseconds write_interval{80};
};

// What the leader knows from the store.
struct StoreView {
  // At this moment nothing was written that is not known here.
  Instant confirmed_at;
  bool reachable = false;
  Instant reachable_since;
  // Daemons that hold a lease, this one included, with how much each can do: the
  // strongest are the first to lead.
  std::map<InstanceId, double> daemons;
  // Other daemons whose messages came lately and that reach the store.
  std::set<InstanceId> heard_peers;
};

// Asks for the record to be written if it still has the expected revision.
struct WriteOwnership {
  OwnershipRecord record;
  Revision expected;
};
// Asks for a grant to be sent.
struct SendGrant {
  std::uint64_t order = 0;
  InstanceId endpoint;
  NetworkAddress address;
  KeyGrant grant;
};
// Asks for keys to be taken back.
struct SendRelease {
  std::uint64_t order = 0;
  InstanceId endpoint;
  NetworkAddress address;
  KeyRange range;
  FencingToken token;
};
// Asks another daemon to renew the grants of the record until the store is back,
// as this daemon stops and cannot write that it does.
struct HandOver {
  OwnershipRecord record;
  Instant confirmed_at;
};
// Says that requests of some keys go elsewhere from now on.
struct RoutesChanged {};
// Says in one sentence what was decided, for the log.
struct LeaderDecision {
  std::string text;
};
using KeyLeaderAction =
    std::variant<WriteOwnership, SendGrant, SendRelease, HandOver, RoutesChanged, LeaderDecision>;

// How a write of the record ended.
enum class RecordWriteOutcome { kWritten, kConflict, kUnknown, kNotWritten };

}  // namespace sycamorestall

#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "core/endpoint_entry.h"
#include "core/key_range.h"

namespace sycamorestall {

// A range of keys and the endpoint that may hold it.
struct OwnedRange {
  KeyRange range;
  InstanceId owner;
  Incarnation incarnation;
  FencingToken token;

  friend bool operator==(const OwnedRange&, const OwnedRange&) = default;
};

// The record in the store for one service's keys: the leader and every endpoint that
// may hold keys. An endpoint is named here before its first grant is sent.
struct OwnershipRecord {
  Term term;
  // The daemon that grants and moves keys; empty after it has stepped down.
  InstanceId leader;
  // The era of the store in which the record was written. A store that comes back with an older
  // copy holds a record of an earlier era than its own.
  StoreEra era;
  // For how long after this write leaders before the named one, or before the one that stepped
  // down, may go on sending grants.
  std::chrono::milliseconds earlier_leaders_time{0};
  // For how long after this write endpoints may hold keys by changes that the store lost, and
  // whether those changes are unknown to the leader.
  std::chrono::milliseconds lost_changes_time{0};
  bool lacks_changes = false;
  // Identifies this write, so that the leader recognizes it if its answer was lost.
  std::string change_id;
  // No key was granted with a token above this one.
  FencingToken highest_token;
  // Sorted by key, without overlap.
  std::vector<OwnedRange> ranges;
  // The last known addresses of owners, for those that are no longer listed.
  std::map<InstanceId, NetworkAddress> addresses;

  friend bool operator==(const OwnershipRecord&, const OwnershipRecord&) = default;
};

}  // namespace sycamorestall

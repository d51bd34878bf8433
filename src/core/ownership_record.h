#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/endpoint_entry.h"
#include "core/key_range.h"

namespace sycamorestall {

// Keys and the endpoint that may hold them.
struct OwnedRange {
  KeyRange range;
  InstanceId owner;
  Incarnation incarnation;
  FencingToken token;

  friend bool operator==(const OwnedRange&, const OwnedRange&) = default;
};

// What the store keeps of one service's keys: who leads, and each endpoint that
// may hold keys. An endpoint is named here before its first grant is sent.
struct OwnershipRecord {
  Term term;
  // The daemon that grants and moves keys; empty after it has stepped down.
  InstanceId leader;
  // Tells this write from others, should its answer be lost.
  std::string change_id;
  // No token above this one was given out.
  FencingToken highest;
  // Sorted by key, without overlap.
  std::vector<OwnedRange> ranges;
  // Where owners were last seen, for those that the list no longer names.
  std::map<InstanceId, NetworkAddress> addresses;

  friend bool operator==(const OwnershipRecord&, const OwnershipRecord&) = default;
};

}  // namespace sycamorestall

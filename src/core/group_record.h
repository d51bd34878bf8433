#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "core/identifiers.h"

namespace sycamorestall {

// Identifies one run of a daemon; an instance that restarts is another process.
struct ProcessId {
  InstanceId instance;
  Incarnation incarnation;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const ProcessId&, const ProcessId&) = default;

  // Lets cereal read and write the identifier.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(instance, incarnation);
  }
};

// The owner of a shard. The epoch rises by one with each owner.
struct Assignment {
  InstanceId endpoint;
  Epoch epoch;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Assignment&, const Assignment&) = default;
};

// The record of a group in the store: the leader of the current term and the owner of
// each shard. Earlier leaders stay listed until they are known to send no more orders.
struct GroupRecord {
  GroupId group;
  Term term;
  ProcessId leader;
  // Unique for each write, so that a writer whose reply was lost can recognize its own.
  std::string change_id;
  std::vector<ProcessId> earlier_leaders;
  std::map<ShardId, Assignment> shards;

  friend bool operator==(const GroupRecord&, const GroupRecord&) = default;
};

}  // namespace sycamorestall

#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "core/identifiers.h"

namespace sycamorestall {

// One start of a daemon: an instance that restarts is another process.
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

// Who owns a shard, and which owner in its history that is.
struct Assignment {
  InstanceId endpoint;
  Epoch epoch;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Assignment&, const Assignment&) = default;
};

// What the store keeps of a group: the leader of the current term and the owner
// of each shard. Earlier leaders stay listed until it is known that they send
// no more orders.
struct GroupRecord {
  GroupId group;
  Term term;
  ProcessId leader;
  std::string change_id;
  std::vector<ProcessId> earlier_leaders;
  std::map<ShardId, Assignment> shards;

  friend bool operator==(const GroupRecord&, const GroupRecord&) = default;
};

}  // namespace sycamorestall

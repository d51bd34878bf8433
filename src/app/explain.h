#pragma once

#include <string>

#include "core/identifiers.h"

namespace sycamorestall {

class Daemon;

// Returns the state of a key as JSON, as known to this daemon: its shard, the leader
// of its group, its owner, the time in that state and why it is not served, if that
// is known.
std::string DescribeKey(const Daemon& daemon, const GroupId& group, ShardId shard,
                        const std::string& key);

// Returns the status of a daemon and of the groups that it leads, as JSON.
std::string DescribeDaemon(Daemon& daemon);

}  // namespace sycamorestall

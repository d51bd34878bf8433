#pragma once

#include <string>

#include "core/identifiers.h"

namespace sycamorestall {

class Daemon;

// How a key stands, as this daemon knows it, as JSON: its shard, who leads its
// group and who owns it, since when, and why it is held if it is.
std::string ExplainKey(const Daemon& daemon, const GroupId& group, ShardId shard,
                       const std::string& key);

// How a daemon and its groups stand, as JSON.
std::string DescribeDaemon(Daemon& daemon);

}  // namespace sycamorestall

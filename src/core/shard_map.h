#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/identifiers.h"

namespace sycamorestall {

// Returns the shard of a key: its XXH3 hash modulo the number of shards.
ShardId ShardOfKey(std::string_view key, std::uint32_t shard_count);

// Returns the domain whose group a shard belongs to. `domains` must not be empty.
const DomainName& DomainOfShard(ShardId shard, const std::vector<DomainName>& domains);

// Returns the shards of a service that belong to the group in a domain.
std::vector<ShardId> ShardsOfDomain(std::uint32_t shard_count, const DomainName& domain,
                                    const std::vector<DomainName>& domains);

// Returns the score of a daemon for leading a group, as in rendezvous hashing: all daemons
// compute the same scores, which spread groups evenly.
std::uint64_t LeadershipScore(const GroupId& group, const InstanceId& daemon);

}  // namespace sycamorestall

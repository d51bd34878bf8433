#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/identifiers.h"

namespace sycamorestall {

// Which shard of a service a key belongs to: XXH3 of the key modulo the count.
ShardId ShardOfKey(std::string_view key, std::uint32_t shard_count);

// Which domain's group a shard belongs to; domains must not be empty.
const DomainName& DomainOfShard(ShardId shard, const std::vector<DomainName>& domains);

// The shards of a service that belong to the group in a domain.
std::vector<ShardId> ShardsOfDomain(std::uint32_t shard_count, const DomainName& domain,
                                    const std::vector<DomainName>& domains);

// A score by which daemons are ranked for the leadership of a group: every
// daemon computes the same one, and it spreads groups evenly.
std::uint64_t LeadershipScore(const GroupId& group, const InstanceId& daemon);

}  // namespace sycamorestall

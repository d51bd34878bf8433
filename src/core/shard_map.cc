#include "core/shard_map.h"

#include <xxhash.h>

#include <string>

namespace sycamorestall {

ShardId ShardOfKey(std::string_view key, std::uint32_t shard_count) {
  const XXH64_hash_t hash = XXH3_64bits(key.data(), key.size());
  return ShardId{static_cast<std::uint32_t>(hash % shard_count)};
}

const DomainName& DomainOfShard(ShardId shard, const std::vector<DomainName>& domains) {
  return domains[shard.value % domains.size()];
}

std::vector<ShardId> ShardsOfDomain(std::uint32_t shard_count, const DomainName& domain,
                                    const std::vector<DomainName>& domains) {
  std::vector<ShardId> shards;
  for (std::uint32_t value = 0; value < shard_count; ++value) {
    const ShardId shard{value};
    if (DomainOfShard(shard, domains) == domain) {
      shards.push_back(shard);
    }
  }
  return shards;
}

std::uint64_t LeadershipScore(const GroupId& group, const InstanceId& daemon) {
  const std::string text = ToString(group) + "\n" + daemon.value();
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace sycamorestall

#include "core/placement.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace sycamorestall {

namespace {

// The base weight of a shard, as a part of the mean demand.
constexpr double kBaseWeightShare = 0.2;
constexpr double kMinWeight = 0.01;

double MeanDemand(const std::vector<PlacedShard>& shards) {
  double sum = 0;
  for (const PlacedShard& shard : shards) {
    sum += shard.demand;
  }
  return shards.empty() ? 0 : sum / static_cast<double>(shards.size());
}

// The loads of endpoints, divided by their shares: endpoints with equal numbers are equally
// busy.
class RelativeLoads {
 public:
  RelativeLoads(const std::vector<PlacementTarget>& targets, const std::vector<PlacedShard>& shards)
      : mean_demand_(MeanDemand(shards)) {
    for (const PlacementTarget& target : targets) {
      shares_[target.endpoint] = target.share;
      loads_[target.endpoint] = 0;
      total_share_ += target.share;
    }
    for (const PlacedShard& shard : shards) {
      Add(shard.endpoint, Weight(shard));
    }
  }

  double Weight(const PlacedShard& shard) const { return ShardWeight(shard.demand, mean_demand_); }

  void Add(const InstanceId& endpoint, double weight) {
    const auto found = loads_.find(endpoint);
    if (found != loads_.end()) {
      found->second += weight;
      total_load_ += weight;
    }
  }

  double RelativeLoad(const InstanceId& endpoint) const {
    return loads_.at(endpoint) / shares_.at(endpoint);
  }

  double RelativeLoadWith(const InstanceId& endpoint, double extra) const {
    return (loads_.at(endpoint) + extra) / shares_.at(endpoint);
  }

  double Mean() const { return total_share_ > 0 ? total_load_ / total_share_ : 0; }
  bool empty() const { return loads_.empty(); }
  bool Has(const InstanceId& endpoint) const { return loads_.contains(endpoint); }

  std::pair<InstanceId, InstanceId> MostAndLeastLoaded() const {
    InstanceId most_loaded = loads_.begin()->first;
    InstanceId least_loaded = most_loaded;
    for (const auto& [endpoint, load] : loads_) {
      most_loaded = RelativeLoad(endpoint) > RelativeLoad(most_loaded) ? endpoint : most_loaded;
      least_loaded = RelativeLoad(endpoint) < RelativeLoad(least_loaded) ? endpoint : least_loaded;
    }
    return {most_loaded, least_loaded};
  }

 private:
  double mean_demand_;
  double total_load_ = 0;
  double total_share_ = 0;
  std::map<InstanceId, double> loads_;
  std::map<InstanceId, double> shares_;
};

// Returns the index of the shard whose move from the most to the least loaded endpoint
// lowers the larger of their two loads most; empty if no move gains enough.
std::optional<std::size_t> BestMove(const RelativeLoads& loads,
                                    const std::vector<PlacedShard>& shards,
                                    const InstanceId& most_loaded, const InstanceId& least_loaded,
                                    double min_gain) {
  std::optional<std::size_t> best;
  double best_load_after = loads.RelativeLoad(most_loaded) - min_gain;
  for (std::size_t i = 0; i < shards.size(); ++i) {
    if (shards[i].endpoint != most_loaded) {
      continue;
    }
    const double weight = loads.Weight(shards[i]);
    const double load_after = std::max(loads.RelativeLoadWith(most_loaded, -weight),
                                       loads.RelativeLoadWith(least_loaded, weight));
    if (load_after < best_load_after) {
      best = i;
      best_load_after = load_after;
    }
  }
  return best;
}

}  // namespace

double ShardWeight(double demand, double mean_demand) {
  return demand + std::max(kMinWeight, kBaseWeightShare * mean_demand);
}

double Imbalance(const std::vector<PlacementTarget>& targets,
                 const std::vector<PlacedShard>& shards) {
  const RelativeLoads loads(targets, shards);
  if (loads.empty() || loads.Mean() <= 0) {
    return 1;
  }
  return loads.RelativeLoad(loads.MostAndLeastLoaded().first) / loads.Mean();
}

std::vector<PlannedMove> BoundedPlacement::Plan(Instant now,
                                                const std::vector<PlacementTarget>& targets,
                                                const std::vector<PlacedShard>& shards) {
  const double elapsed = std::chrono::duration<double>(now - last_plan_).count();
  move_budget_ = std::min(settings_.burst, move_budget_ + elapsed * settings_.moves_per_second);
  last_plan_ = now;
  std::vector<PlannedMove> moves;
  std::vector<PlacedShard> placed = shards;
  RelativeLoads loads(targets, placed);
  while (move_budget_ >= 1 && !loads.empty()) {
    const auto [most_loaded, least_loaded] = loads.MostAndLeastLoaded();
    if (loads.RelativeLoad(most_loaded) <= settings_.max_imbalance * loads.Mean()) {
      break;
    }
    const std::optional<std::size_t> best =
        BestMove(loads, placed, most_loaded, least_loaded, settings_.min_gain * loads.Mean());
    if (!best) {
      break;
    }
    PlacedShard& shard = placed[*best];
    const double weight = loads.Weight(shard);
    loads.Add(most_loaded, -weight);
    loads.Add(least_loaded, weight);
    shard.endpoint = least_loaded;
    moves.push_back({shard.shard, least_loaded});
    move_budget_ -= 1;
  }
  return moves;
}

std::vector<PlannedMove> StaticPlacement::Plan(Instant, const std::vector<PlacementTarget>&,
                                               const std::vector<PlacedShard>&) {
  return {};
}

std::vector<PlannedMove> FullPlacement::Plan(Instant, const std::vector<PlacementTarget>& targets,
                                             const std::vector<PlacedShard>& shards) {
  std::vector<PlacedShard> by_demand = shards;
  std::sort(by_demand.begin(), by_demand.end(), [](const PlacedShard& a, const PlacedShard& b) {
    return a.demand != b.demand ? a.demand > b.demand : a.shard < b.shard;
  });
  const double mean = MeanDemand(shards);
  RelativeLoads loads(targets, {});
  std::vector<PlannedMove> moves;
  for (const PlacedShard& shard : by_demand) {
    if (loads.empty()) {
      break;
    }
    const InstanceId least_loaded = loads.MostAndLeastLoaded().second;
    loads.Add(least_loaded, ShardWeight(shard.demand, mean));
    if (least_loaded != shard.endpoint) {
      moves.push_back({shard.shard, least_loaded});
    }
  }
  return moves;
}

}  // namespace sycamorestall

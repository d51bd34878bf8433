#include "core/placement.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace sycamorestall {

namespace {

// An idle shard weighs this share of the mean demand.
constexpr double kIdleShare = 0.2;
constexpr double kMinWeight = 0.01;

double MeanDemand(const std::vector<PlacedShard>& shards) {
  double sum = 0;
  for (const PlacedShard& shard : shards) {
    sum += shard.demand;
  }
  return shards.empty() ? 0 : sum / static_cast<double>(shards.size());
}

// Loads relative to shares, so that equal numbers mean equally busy.
class LoadTable {
 public:
  LoadTable(const std::vector<PlacementTarget>& targets, const std::vector<PlacedShard>& shards)
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

  double RelativeLoadWith(const InstanceId& endpoint, double more) const {
    return (loads_.at(endpoint) + more) / shares_.at(endpoint);
  }

  double Mean() const { return total_share_ > 0 ? total_load_ / total_share_ : 0; }
  bool empty() const { return loads_.empty(); }
  bool Has(const InstanceId& endpoint) const { return loads_.contains(endpoint); }

  std::pair<InstanceId, InstanceId> MostAndLeastLoaded() const {
    InstanceId most = loads_.begin()->first;
    InstanceId least = most;
    for (const auto& [endpoint, load] : loads_) {
      most = RelativeLoad(endpoint) > RelativeLoad(most) ? endpoint : most;
      least = RelativeLoad(endpoint) < RelativeLoad(least) ? endpoint : least;
    }
    return {most, least};
  }

 private:
  double mean_demand_;
  double total_load_ = 0;
  double total_share_ = 0;
  std::map<InstanceId, double> loads_;
  std::map<InstanceId, double> shares_;
};

// The shard whose move from the most to the least loaded endpoint lowers the
// larger of their loads most; empty when no move gains enough.
std::optional<std::size_t> BestMove(const LoadTable& table, const std::vector<PlacedShard>& shards,
                                    const InstanceId& most, const InstanceId& least,
                                    double min_gain) {
  std::optional<std::size_t> best;
  double best_after = table.RelativeLoad(most) - min_gain;
  for (std::size_t i = 0; i < shards.size(); ++i) {
    if (shards[i].endpoint != most) {
      continue;
    }
    const double weight = table.Weight(shards[i]);
    const double after =
        std::max(table.RelativeLoadWith(most, -weight), table.RelativeLoadWith(least, weight));
    if (after < best_after) {
      best = i;
      best_after = after;
    }
  }
  return best;
}

}  // namespace

double ShardWeight(double demand, double mean_demand) {
  return demand + std::max(kMinWeight, kIdleShare * mean_demand);
}

double Imbalance(const std::vector<PlacementTarget>& targets,
                 const std::vector<PlacedShard>& shards) {
  const LoadTable table(targets, shards);
  if (table.empty() || table.Mean() <= 0) {
    return 1;
  }
  return table.RelativeLoad(table.MostAndLeastLoaded().first) / table.Mean();
}

std::vector<PlannedMove> BoundedPlacement::Plan(Instant now,
                                                const std::vector<PlacementTarget>& targets,
                                                const std::vector<PlacedShard>& shards) {
  const double elapsed = std::chrono::duration<double>(now - last_plan_).count();
  move_budget_ = std::min(settings_.burst, move_budget_ + elapsed * settings_.moves_per_second);
  last_plan_ = now;
  std::vector<PlannedMove> moves;
  std::vector<PlacedShard> placed = shards;
  LoadTable table(targets, placed);
  while (move_budget_ >= 1 && !table.empty()) {
    const auto [most, least] = table.MostAndLeastLoaded();
    if (table.RelativeLoad(most) <= settings_.max_imbalance * table.Mean()) {
      break;
    }
    const std::optional<std::size_t> best =
        BestMove(table, placed, most, least, settings_.min_gain * table.Mean());
    if (!best) {
      break;
    }
    PlacedShard& shard = placed[*best];
    const double weight = table.Weight(shard);
    table.Add(most, -weight);
    table.Add(least, weight);
    shard.endpoint = least;
    moves.push_back({shard.shard, least});
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
  LoadTable table(targets, {});
  std::vector<PlannedMove> moves;
  for (const PlacedShard& shard : by_demand) {
    if (table.empty()) {
      break;
    }
    const InstanceId least = table.MostAndLeastLoaded().second;
    table.Add(least, ShardWeight(shard.demand, mean));
    if (least != shard.endpoint) {
      moves.push_back({shard.shard, least});
    }
  }
  return moves;
}

}  // namespace sycamorestall

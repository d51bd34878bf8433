#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "core/boot_clock.h"
#include "core/identifiers.h"

namespace sycamorestall {

// A shard that may be moved, and how much it is asked for.
struct PlacedShard {
  ShardId shard;
  InstanceId endpoint;
  // Requests counted lately, fading with time.
  double demand = 0;

  friend bool operator==(const PlacedShard&, const PlacedShard&) = default;
};

// An endpoint that may be given shards, and how much of a full share it should
// carry: less than 1 while it is cold.
struct PlacementTarget {
  InstanceId endpoint;
  double share = 1;

  friend bool operator==(const PlacementTarget&, const PlacementTarget&) = default;
};

// A move that a policy asks for.
struct PlannedMove {
  ShardId shard;
  InstanceId target;

  friend bool operator==(const PlannedMove&, const PlannedMove&) = default;
};

// Decides which shards should move, from the leader's own counts.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  // Plans the moves to make now. Called a few times a second.
  virtual std::vector<PlannedMove> Plan(Instant now, const std::vector<PlacementTarget>& targets,
                                        const std::vector<PlacedShard>& shards) = 0;
};

// When the policy below moves shards, and how many.
struct BoundedPlacementSettings {
  // Largest load over mean load that is put up with.
  double max_imbalance = 1.25;
  // A move must lessen the larger of the two loads by this share of the mean.
  double min_gain = 0.05;
  double moves_per_second = 4;
  double burst = 16;
};

// Moves as few shards as keep the largest load within a bound of the mean, and
// no more than a budget. A shard that alone is more than an endpoint's share is
// left where it is, and the others move off it.
class BoundedPlacement : public PlacementPolicy {
 public:
  explicit BoundedPlacement(BoundedPlacementSettings settings)
      : settings_(settings), move_budget_(settings.burst) {}

  std::vector<PlannedMove> Plan(Instant now, const std::vector<PlacementTarget>& targets,
                                const std::vector<PlacedShard>& shards) override;

 private:
  BoundedPlacementSettings settings_;
  double move_budget_;
  Instant last_plan_;
};

// Never moves anything: the baseline of static hashing.
class StaticPlacement : public PlacementPolicy {
 public:
  std::vector<PlannedMove> Plan(Instant now, const std::vector<PlacementTarget>& targets,
                                const std::vector<PlacedShard>& shards) override;
};

// Places all shards afresh each time, the largest first: the baseline of full
// re-balancing.
class FullPlacement : public PlacementPolicy {
 public:
  std::vector<PlannedMove> Plan(Instant now, const std::vector<PlacementTarget>& targets,
                                const std::vector<PlacedShard>& shards) override;
};

// The load that a shard counts for: its demand, and a little even without any,
// so that idle shards are spread as well.
double ShardWeight(double demand, double mean_demand);

// The largest load over the mean, shares taken into account; 1 is perfect.
double Imbalance(const std::vector<PlacementTarget>& targets,
                 const std::vector<PlacedShard>& shards);

}  // namespace sycamorestall

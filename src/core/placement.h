#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "core/boot_clock.h"
#include "core/identifiers.h"

namespace sycamorestall {

// A shard that may be moved, and where it is now.
struct PlacedShard {
  ShardId shard;
  InstanceId endpoint;
  // Recent requests, counted with exponential decay.
  double demand = 0;

  friend bool operator==(const PlacedShard&, const PlacedShard&) = default;
};

// An endpoint that may be given shards. It should carry `share` of a full load: less than
// 1 while it warms up.
struct PlacementTarget {
  InstanceId endpoint;
  double share = 1;

  friend bool operator==(const PlacementTarget&, const PlacementTarget&) = default;
};

// A move that a policy proposes.
struct PlannedMove {
  ShardId shard;
  InstanceId target;

  friend bool operator==(const PlannedMove&, const PlannedMove&) = default;
};

// Decides which shards to move, based on the leader's own counts of requests.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  // Returns the moves to make now. Called a few times a second.
  virtual std::vector<PlannedMove> Plan(Instant now, const std::vector<PlacementTarget>& targets,
                                        const std::vector<PlacedShard>& shards) = 0;
};

// Configures BoundedPlacement.
struct BoundedPlacementSettings {
  // Shards move only while the largest load divided by the mean exceeds this.
  double max_imbalance = 1.25;
  // A move must lower the larger load of the two endpoints by at least this part of the
  // mean.
  double min_gain = 0.05;
  // Rate limit of the moves, and how many unused ones can accumulate.
  double moves_per_second = 4;
  double burst = 16;
};

// Moves only as many shards as are needed to keep the largest load within a bound of the
// mean, at a limited rate. A shard whose load alone exceeds an endpoint's share stays, and
// the other shards move off its endpoint.
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

// Never moves a shard. A baseline for comparison, equivalent to static hashing.
class StaticPlacement : public PlacementPolicy {
 public:
  std::vector<PlannedMove> Plan(Instant now, const std::vector<PlacementTarget>& targets,
                                const std::vector<PlacedShard>& shards) override;
};

// Reassigns all shards each time, in order of falling demand. A baseline for comparison,
// equivalent to full rebalancing.
class FullPlacement : public PlacementPolicy {
 public:
  std::vector<PlannedMove> Plan(Instant now, const std::vector<PlacementTarget>& targets,
                                const std::vector<PlacedShard>& shards) override;
};

// Returns the load of a shard: its demand plus a small base weight, so that idle shards are
// spread as well.
double ShardWeight(double demand, double mean_demand);

// Returns the largest load divided by the mean, each relative to the endpoint's share. 1 is
// perfectly balanced.
double Imbalance(const std::vector<PlacementTarget>& targets,
                 const std::vector<PlacedShard>& shards);

}  // namespace sycamorestall

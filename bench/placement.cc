#include "core/placement.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "benchmarks.h"

namespace sycamorestall::bench {

namespace {

constexpr int kEndpoints = 14;
constexpr int kShards = 256;
constexpr int kSimulatedSeconds = 300;
constexpr int kHotKeys = 10;
// Requests per second for each hot key, and for all keys together.
constexpr double kHotRate = 400;
constexpr double kTotalRate = 10'000;
// Time for which a moved shard is not served: the order of magnitude of the steps of
// a move on loopback.
constexpr double kMoveSeconds = 0.01;
constexpr double kDemandDecay = 0.95;

enum class Scenario { kSteadySkew, kHotKeysChange, kEndpointAdded };

// Result of a policy in a scenario; imbalance is the highest load over the mean.
struct Result {
  double mean_imbalance = 0;
  double worst_imbalance = 0;
  int moves = 0;
};

// Returns the requests per second for each shard: a skewed base load and kHotKeys
// hot keys, which the seed assigns to shards.
std::vector<double> MakeDemand(int hot_key_seed) {
  std::vector<double> demand(kShards);
  double sum = 0;
  for (int i = 0; i < kShards; ++i) {
    demand[i] = 1 / std::pow(i % 97 + 1, 0.8);
    sum += demand[i];
  }
  for (double& each : demand) {
    each *= (kTotalRate - kHotKeys * kHotRate) / sum;
  }
  std::mt19937 random(static_cast<unsigned>(hot_key_seed));
  for (int i = 0; i < kHotKeys; ++i) {
    demand[random() % kShards] += kHotRate;
  }
  return demand;
}

Result SimulatePolicy(PlacementPolicy& policy, Scenario scenario) {
  std::vector<PlacedShard> shards;
  std::vector<PlacementTarget> targets;
  shards.reserve(kShards);
  targets.reserve(kEndpoints + 1);
  const auto name = [](int i) { return InstanceId{"endpoint-" + std::to_string(i)}; };
  for (int i = 0; i < kEndpoints; ++i) {
    targets.push_back({name(i), 1});
  }
  for (int i = 0; i < kShards; ++i) {
    shards.push_back({ShardId{static_cast<std::uint32_t>(i)}, name(i % kEndpoints), 0});
  }
  Result result;
  std::mt19937 random(1);
  for (int second = 0; second < kSimulatedSeconds; ++second) {
    const int hot_key_seed = scenario == Scenario::kHotKeysChange ? second / 60 : 0;
    const std::vector<double> demand = MakeDemand(hot_key_seed);
    if (scenario == Scenario::kEndpointAdded && second == 60) {
      targets.push_back({name(kEndpoints), 1});
    }
    for (int half_second = 0; half_second < 2; ++half_second) {
      for (int i = 0; i < kShards; ++i) {
        std::poisson_distribution<int> requests(demand[i] / 2);
        shards[i].demand = shards[i].demand * kDemandDecay + requests(random);
      }
      const Instant now{std::chrono::milliseconds{second * 1000 + half_second * 500}};
      for (const PlannedMove& move : policy.Plan(now, targets, shards)) {
        shards[move.shard.value].endpoint = move.target;
        ++result.moves;
      }
    }
    std::vector<PlacedShard> shards_with_true_demand = shards;
    for (int i = 0; i < kShards; ++i) {
      shards_with_true_demand[i].demand = demand[i];
    }
    const double imbalance = Imbalance(targets, shards_with_true_demand);
    result.mean_imbalance += imbalance / kSimulatedSeconds;
    result.worst_imbalance = std::max(result.worst_imbalance, imbalance);
  }
  return result;
}

void PrintRow(const char* scenario, const char* policy, const Result& result) {
  std::printf("| %s | %s | %.2f | %.2f | %.1f | %.2f |\n", scenario, policy, result.mean_imbalance,
              result.worst_imbalance, result.moves * 60.0 / kSimulatedSeconds,
              result.moves * kMoveSeconds);
}

}  // namespace

void MeasurePlacement() {
  struct Row {
    const char* name;
    Scenario scenario;
  };
  const Row rows[] = {{"steady skew", Scenario::kSteadySkew},
                      {"hottest 10 keys change each minute", Scenario::kHotKeysChange},
                      {"an endpoint added", Scenario::kEndpointAdded}};
  std::printf("## Placement: %d shards on %d endpoints, %d s, simulated\n\n", kShards, kEndpoints,
              kSimulatedSeconds);
  std::printf(
      "| scenario | policy | mean of max/mean load | worst | moves a minute | "
      "shard-seconds moving at %.0f ms a move |\n|---|---|---|---|---|---|\n",
      kMoveSeconds * 1000);
  for (const Row& row : rows) {
    StaticPlacement static_placement;
    FullPlacement full;
    BoundedPlacement bounded{BoundedPlacementSettings{}};
    PrintRow(row.name, "static hashing (baseline)", SimulatePolicy(static_placement, row.scenario));
    PrintRow(row.name, "full re-balancing (baseline)", SimulatePolicy(full, row.scenario));
    PrintRow(row.name, "bounded", SimulatePolicy(bounded, row.scenario));
  }
  std::printf("\n");
}

}  // namespace sycamorestall::bench

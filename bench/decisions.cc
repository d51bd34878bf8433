#include <cstdio>
#include <string>
#include <vector>

#include "benchmarks.h"
#include "core/dispatcher.h"
#include "core/idempotency_table.h"
#include "core/shard_map.h"
#include "simulated_group.h"

namespace sycamorestall::bench {

namespace {

constexpr std::size_t kCalls = 400'000;

}  // namespace

void MeasureDecisions() {
  SimulatedGroup group(64, 14);
  const Instant now = group.now();
  Dispatcher dispatcher(DispatchSettings{6, 200});
  const auto route = [&](ShardId shard) { return group.leader().FindRoute(shard, now); };
  std::size_t dispatched = 0;
  const double dispatch_ns = NanosecondsPerCall(kCalls, [&](std::size_t i) {
    const ShardId shard = ShardOfKey("key-" + std::to_string(i), 64);
    dispatcher.Enqueue({{i}, shard, CustomerName{"cafe"}, 1, now}, route);
    for (const Dispatch& each : dispatcher.DispatchReady(now, route)) {
      dispatcher.ReleaseSlot(each.route.endpoint);
      ++dispatched;
    }
  });
  IdempotencyTable commands(IdempotencySettings{});
  const WallMilliseconds wall{1'800'000'000'000};
  const double command_ns = NanosecondsPerCall(kCalls, [&](std::size_t i) {
    const CommandId id{ServiceName{"pumps"}, CustomerName{"cafe"}, MakeUuidV7(wall, i, i)};
    if (commands.Classify(id, wall) == IdempotencyTable::CommandStatus::kNew) {
      commands.Insert(id);
    }
  });
  std::printf("## Decisions of the core, processor time each\n\n");
  std::printf("| decision | ns |\n|---|---|\n");
  std::printf("| route, queue and dispatch a request (14 endpoints, %zu dispatched) | %.0f |\n",
              dispatched, dispatch_ns);
  std::printf("| classify and remember a command | %.0f |\n\n", command_ns);
}

}  // namespace sycamorestall::bench

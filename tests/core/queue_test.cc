#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

#include "core/dispatcher.h"
#include "core/fair_queue.h"
#include "core/rank_concurrency_limiter.h"
#include "core/retry_budget.h"

using namespace sycamorestall;  // NOLINT

namespace {

QueuedRequest MakeRequest(std::uint64_t number, const std::string& customer, double weight = 1) {
  return {{number}, ShardId{0}, CustomerName{customer}, weight, Instant{std::chrono::seconds{9}}};
}

}  // namespace

TEST_CASE("customers share a queue by weight, whatever their load") {
  struct Row {
    std::string name;
    double weight_a;
    double weight_b;
    int min_popped_of_b;
  };
  const Row rows[] = {{"equal", 1, 1, 49}, {"three to one", 3, 1, 24}, {"one to four", 1, 4, 79}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    FairQueue queue(1000);
    std::uint64_t number = 0;
    for (int i = 0; i < 700; ++i) {
      queue.Push(MakeRequest(++number, "a", row.weight_a));
    }
    for (int i = 0; i < 100; ++i) {
      queue.Push(MakeRequest(++number, "b", row.weight_b));
    }
    int popped_of_b = 0;
    for (int i = 0; i < 100; ++i) {
      popped_of_b += queue.Pop()->customer == CustomerName{"b"} ? 1 : 0;
    }
    CHECK(popped_of_b >= row.min_popped_of_b);
    CHECK(popped_of_b <= row.min_popped_of_b + 2);
  }
}

TEST_CASE("a full queue evicts the newest request of the largest weighted backlog") {
  FairQueue queue(10);
  for (std::uint64_t i = 1; i <= 9; ++i) {
    CHECK(!queue.Push(MakeRequest(i, "flood")));
  }
  CHECK(!queue.Push(MakeRequest(10, "calm")));
  CHECK(queue.Push(MakeRequest(11, "calm"))->number.value == 9U);
  CHECK(queue.Push(MakeRequest(12, "flood"))->number.value == 12U);
  CHECK(queue.size() == 10U);
}

TEST_CASE("each queued request is popped, removed or evicted at most once, or still waits") {
  const bool passed = rc::check([] {
    FairQueue queue(20);
    std::map<std::uint64_t, int> removals;
    std::uint64_t pushed = 0;
    const auto operations = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 6));
    for (const int operation : operations) {
      std::optional<QueuedRequest> removed;
      if (operation < 3) {
        ++pushed;
        removed = queue.Push(
            MakeRequest(pushed, std::string(1, static_cast<char>('a' + operation)), operation + 1));
      } else if (operation < 5) {
        removed = queue.Pop();
      } else if (pushed > 0) {
        const RequestNumber chosen{*rc::gen::inRange<std::uint64_t>(1, pushed + 1)};
        removals[chosen.value] += queue.Remove(chosen) ? 1 : 0;
      }
      if (removed) {
        removals[removed->number.value] += 1;
      }
    }
    std::size_t removed_count = 0;
    for (const auto& [number, count] : removals) {
      RC_ASSERT(count <= 1);
      removed_count += static_cast<std::size_t>(count);
    }
    RC_ASSERT(removed_count + queue.size() == pushed);
  });
  CHECK(passed);
}

TEST_CASE("no endpoint gets more requests than its slots, and unrouted requests wait") {
  Dispatcher dispatcher(DispatchSettings{2, 10});
  std::optional<ShardRoute> current_route =
      ShardRoute{InstanceId{"e1"}, Epoch{1}, Term{1}, Incarnation{1}};
  const auto route = [&](ShardId) { return current_route; };
  for (std::uint64_t i = 1; i <= 3; ++i) {
    dispatcher.Enqueue(MakeRequest(i, "a"), route);
  }
  CHECK(dispatcher.DispatchReady(Instant{}, route).size() == 2U);
  CHECK(dispatcher.waiting() == 1U);
  current_route.reset();
  dispatcher.ReleaseSlot(InstanceId{"e1"});
  CHECK(dispatcher.DispatchReady(Instant{}, route).empty());
  CHECK(dispatcher.waiting() == 1U);
  current_route = ShardRoute{InstanceId{"e2"}, Epoch{2}, Term{1}, Incarnation{1}};
  CHECK(dispatcher.CollectDropped(Instant{}, route).empty());
  const auto dispatched = dispatcher.DispatchReady(Instant{}, route);
  REQUIRE(dispatched.size() == 1U);
  CHECK(dispatched.front().route.endpoint == InstanceId{"e2"});
  dispatcher.Enqueue(MakeRequest(4, "a"), route);
  dispatcher.Enqueue(MakeRequest(5, "a"), route);
  CHECK(dispatcher.DispatchReady(Instant{}, route).size() == 1U);
  CHECK(dispatcher.CollectDropped(Instant{std::chrono::seconds{10}}, route).size() == 1U);
}

TEST_CASE("a request that cannot finish in time is dropped, not dispatched") {
  Dispatcher dispatcher(DispatchSettings{2, 10});
  const auto route = [](ShardId) {
    return std::optional{ShardRoute{InstanceId{"e1"}, Epoch{1}, Term{1}, Incarnation{1}}};
  };
  dispatcher.Enqueue(MakeRequest(1, "a"), route);
  CHECK(dispatcher.DispatchReady(Instant{std::chrono::seconds{10}}, route).empty());
  CHECK(dispatcher.running() == 0U);
  CHECK(dispatcher.CollectDropped(Instant{}, route).size() == 1U);
}

TEST_CASE("a flood of one rank leaves the other ranks their reserved capacity") {
  RankConcurrencyLimiter limiter(10, {{3, 10}, {2, 10}, {0, 4}});
  int admitted = 0;
  while (limiter.TryAcquire(1)) {
    ++admitted;
  }
  CHECK(admitted == 7);
  CHECK(!limiter.TryAcquire(2));
  CHECK(limiter.TryAcquire(0));
  CHECK(limiter.TryAcquire(0));
  CHECK(limiter.TryAcquire(0));
  CHECK(!limiter.TryAcquire(0));
  limiter.Release(1);
  CHECK(limiter.TryAcquire(0));
}

TEST_CASE("retries are limited to a share of first attempts") {
  RetryBudget budget(0.1, 2);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.CountFirstAttempt();
    retries += budget.TryConsumeRetry() ? 1 : 0;
  }
  CHECK(retries >= 100);
  CHECK(retries <= 103);
}

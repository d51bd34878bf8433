// A target crashes, starts again and is later drained as planned. A write of its first life to the
// store is carried out late: does the target get requests after it has drained?
#include "../mock_platform.hpp"

using namespace mock;

namespace {

constexpr int kDaemons = 2;
constexpr int kTargets = 8;
// As many requests at a time as the 189 a second of the sheet, 120 ms each.
constexpr int kConsumers = 24;
constexpr int kTimeBudgetMs = 2500;
constexpr int kWorkMs = 120;
// Bounds of the site.
constexpr int kStableMs = 3000;
constexpr int kDrainMs = 2000;
constexpr int kHeartbeatMs = 870;
// How late the write is carried out: the page's limit is 6 s.
constexpr int kLateMs = 5800;
// How long the target serves after its report.
constexpr int kServesMs = 3400;

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

int main(int, char** arguments) {
  Record record(std::string{arguments[1]} + "/record.txt");
  Store store;
  std::vector<std::unique_ptr<Target>> targets;
  for (int i = 0; i < kTargets; ++i) {
    targets.push_back(
        std::make_unique<Target>("i-" + std::to_string(i), "pwmp", "zone-a", false, record));
    targets.back()->work_ms = kWorkMs;
    targets.back()->born = UnixMs() - 60'000;
    targets.back()->Register(store);
  }
  Target& leaving = *targets[0];
  store.Put("op/config",
            Config(7, json::array({Route("pump-run", "/pump/", "unsafe", "pwmp", 1.2, 0.4)}),
                   json::array({{{"name", "pwmp"}}})));
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int i = 0; i < kDaemons; ++i) {
    daemons.push_back(std::make_unique<Daemon>("edge-" + std::to_string(i), "zone-a", store.port(),
                                               arguments[2]));
    daemons.back()->Start();
  }
  for (const auto& daemon : daemons) {
    if (!daemon->WaitUntilReady()) Finish(2, "a daemon is not ready");
  }
  std::mutex mutex;
  // When each request was sent, and what became of it.
  std::map<std::string, std::pair<Clock::time_point, int>> requests;
  std::atomic<int> next_id{0};
  std::atomic<bool> ends{false};
  std::vector<std::thread> consumers;
  for (int i = 0; i < kConsumers; ++i) {
    consumers.emplace_back([&, i] {
      // Not all in step, so that some request runs at any moment.
      SleepMs(i * kWorkMs / kConsumers);
      while (!ends) {
        const std::string id = "r-" + std::to_string(++next_id);
        const auto sent_at = Clock::now();
        const auto connection = Connect(daemons[i % kDaemons]->port());
        int status = 0;
        if (connection) {
          connection->Send(RequestBytes("POST", "/pump/1", id, kTimeBudgetMs, "{}"));
          const auto answer = connection->ReceiveMessage(kTimeBudgetMs, true);
          status = answer ? answer->Status() : 0;
        }
        record.Line("request " + id + " status=" + std::to_string(status));
        const std::lock_guard lock{mutex};
        requests[id] = {sent_at, status};
      }
    });
  }
  SleepMs(4000);
  // The target's heartbeat gets no answer; if it is carried out late, this is when.
  const std::string late_entry = leaving.Entry();
  const auto lost_at = Clock::now();
  if (!HasTrouble()) store.Put("servers/" + leaving.id(), late_entry);
  record.Line("target i-0: a heartbeat of its first life gets no answer");
  SleepMs(100);
  leaving.Crash();
  record.Line("target i-0 crashes");
  SleepMs(600);
  leaving.Restart(UnixMs());
  store.Put("servers/" + leaving.id(), leaving.Entry());
  record.Line("target i-0 has started again");
  std::this_thread::sleep_until(lost_at + milliseconds{kStableMs + 50});
  // From here on the heartbeats are written below, as their times matter.
  leaving.registered = false;
  leaving.draining = true;
  store.Put("servers/" + leaving.id(), leaving.Entry());
  const auto acked_at = Clock::now();
  record.Line("target i-0 reports draining, acknowledged");
  bool late_done = !HasTrouble();
  auto next_heartbeat = acked_at + milliseconds{kHeartbeatMs};
  while (Clock::now() < acked_at + milliseconds{kServesMs}) {
    if (!late_done && Clock::now() >= lost_at + milliseconds{kLateMs}) {
      late_done = true;
      store.Put("servers/" + leaving.id(), late_entry);
      record.Line("the store carries the unanswered heartbeat out");
    }
    if (Clock::now() >= next_heartbeat) {
      next_heartbeat += milliseconds{kHeartbeatMs};
      store.Put("servers/" + leaving.id(), leaving.Entry());
    }
    SleepMs(2);
  }
  leaving.Crash();
  store.Remove("servers/" + leaving.id());
  record.Line("target i-0 has left");
  SleepMs(2000);
  ends = true;
  for (std::thread& consumer : consumers) consumer.join();
  int served = 0;
  int late = 0;
  int cut = 0;
  for (const auto& [id, request] : requests) served += request.second == 200 ? 1 : 0;
  for (const auto& [id, began_at] : leaving.RunTimes()) {
    if (began_at > acked_at + milliseconds{kDrainMs}) {
      ++late;
      cut += requests[id].second == 200 ? 0 : 1;
    }
  }
  if (served < 100) Finish(2, "too few requests were served");
  const bool broken = late > 0;
  const std::string verdict =
      "served=" + std::to_string(served) +
      ", reached the target later than drain_s after the ack=" + std::to_string(late) +
      ", of these lost=" + std::to_string(cut) + (broken ? ": DRAIN broken" : ": DRAIN held");
  record.Line(verdict);
  Finish(broken ? 1 : 0, verdict);
}

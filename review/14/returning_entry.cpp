// A target leaves as planned, without reporting it: its entry is removed. An earlier heartbeat,
// which got no answer, is carried out late: does the target get requests after its drain time?
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
// How late the write is carried out: the limit is 6 s.
constexpr int kLateMs = 5800;
// How long the target serves after the removal of its entry: "at times many seconds" longer than
// drain_s.
constexpr int kServesMs = 4500;

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
  }
  Target& leaving = *targets[0];
  // The heartbeats of the target that leaves are written here, as their order matters.
  const auto beat = [&] { store.Put("servers/" + leaving.id(), leaving.Entry()); };
  beat();
  for (int i = 1; i < kTargets; ++i) targets[i]->Register(store);
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
  std::map<std::string, int> statuses;
  std::atomic<int> next_id{0};
  std::atomic<bool> ends{false};
  std::vector<std::thread> consumers;
  for (int i = 0; i < kConsumers; ++i) {
    consumers.emplace_back([&, i] {
      // Not all in step, so that some request runs at any moment.
      SleepMs(i * kWorkMs / kConsumers);
      while (!ends) {
        const std::string id = "r-" + std::to_string(++next_id);
        const auto connection = Connect(daemons[i % kDaemons]->port());
        int status = 0;
        if (connection) {
          connection->Send(RequestBytes("POST", "/pump/1", id, kTimeBudgetMs, "{}"));
          const auto answer = connection->ReceiveMessage(kTimeBudgetMs, true);
          status = answer ? answer->Status() : 0;
        }
        record.Line("request " + id + " status=" + std::to_string(status));
        const std::lock_guard lock{mutex};
        statuses[id] = status;
      }
    });
  }
  // Waits until the time, and goes on with the heartbeats.
  auto next_heartbeat = Clock::now();
  const auto serve_until = [&](Clock::time_point until) {
    while (Clock::now() < until) {
      if (Clock::now() >= next_heartbeat) {
        next_heartbeat += milliseconds{kHeartbeatMs};
        beat();
      }
      SleepMs(2);
    }
  };
  serve_until(Clock::now() + milliseconds{4000});
  const std::string late_entry = leaving.Entry();
  const auto lost_at = Clock::now();
  if (!HasTrouble()) store.Put("servers/" + leaving.id(), late_entry);
  record.Line("target i-0: a heartbeat gets no answer: " + late_entry);
  next_heartbeat = lost_at + milliseconds{kHeartbeatMs};
  serve_until(lost_at + milliseconds{kStableMs + 50});
  leaving.leaving = true;
  store.Remove("servers/" + leaving.id());
  const auto acked_at = Clock::now();
  record.Line("target i-0 leaves: its entry is removed, acknowledged");
  if (HasTrouble()) {
    std::this_thread::sleep_until(lost_at + milliseconds{kLateMs});
    store.Put("servers/" + leaving.id(), late_entry);
    record.Line("the store carries the unanswered heartbeat out");
  }
  std::this_thread::sleep_until(acked_at + milliseconds{kServesMs});
  leaving.Crash();
  record.Line("target i-0 has ended");
  SleepMs(2000);
  // The entry goes after three heartbeat intervals of silence.
  if (HasTrouble()) store.Remove("servers/" + leaving.id());
  ends = true;
  for (std::thread& consumer : consumers) consumer.join();
  int served = 0;
  int late = 0;
  int cut = 0;
  for (const auto& [id, status] : statuses) served += status == 200 ? 1 : 0;
  for (const auto& [id, began_at] : leaving.RunTimes()) {
    if (began_at > acked_at + milliseconds{kDrainMs}) {
      ++late;
      cut += statuses[id] == 200 ? 0 : 1;
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

// A target that holds keys drains as planned; then the machine that leads loses power, which has
// also read the store for the other daemon of its zone: for how long does that one send to the
// target?
#include "../mock_platform.hpp"

using namespace mock;

namespace {

constexpr int kTargets = 6;
constexpr int kTimeBudgetMs = 1500;
constexpr int kWorkMs = 72;
// Bounds of the site.
constexpr int kDrainMs = 2000;
constexpr int kHeartbeatMs = 870;
// When the target reports draining, and when the machine loses power, after the leader has heard
// from the store.
constexpr int kReportMs = 20;
constexpr int kKillMs = 600;
// For how long the machine is dark.
constexpr int kDarkMs = 3500;
// How long the target serves after its report.
constexpr int kServesMs = 2200;

struct Machine {
  std::string name;
  std::string zone;
  std::string cpu_share;
  int consumers = 0;
};
// The machines of the site, and one that is added to the zone of the strongest. Each consumer stays
// with one of them.
const std::vector<Machine> kMachines{
    {"edge-cymru-a-1", "cymru-a", "0.2", 6}, {"edge-cymru-a-2", "cymru-a", "0.2", 6},
    {"edge-cymru-b-1", "cymru-b", "0.6", 6}, {"edge-cymru-c-1", "cymru-c", "0.4", 6},
    {"edge-cymru-d-1", "cymru-d", "0.2", 6}, {"edge-cymru-b-2", "cymru-b", "0.6", 20}};
constexpr std::size_t kStrongest = 2;
constexpr std::size_t kAdded = 5;

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

struct Request {
  std::string machine;
  int status = 0;
};

}  // namespace

int main(int, char** arguments) {
  Record record(std::string{arguments[1]} + "/record.txt");
  Store store;
  std::vector<std::unique_ptr<Target>> targets;
  for (int i = 0; i < kTargets; ++i) {
    targets.push_back(std::make_unique<Target>("i-" + std::to_string(i), "synhwyrydd",
                                               kMachines[1 + i % 4].zone, true, record));
    targets.back()->work_ms = kWorkMs;
    targets.back()->born = UnixMs() - 60'000;
  }
  Target& leaving = *targets[0];
  // The heartbeats of the target that leaves are written here, as their order matters.
  const auto beat = [&] { store.Put("servers/" + leaving.id(), leaving.Entry()); };
  beat();
  for (int i = 1; i < kTargets; ++i) targets[i]->Register(store);
  store.Put("op/config",
            Config(7,
                   json::array({Route("soil-read", "/soil/", "safe", "synhwyrydd", 1.0, 0.3),
                                Route("plan-topup", "/topup/", "unsafe", "synhwyrydd", 0.8, 0.25)}),
                   json::array({{{"name", "synhwyrydd"}, {"sharded", true}}})));
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (const Machine& each : kMachines) {
    daemons.push_back(std::make_unique<Daemon>(each.name, each.zone, store.PortFor(each.name),
                                               arguments[2], each.cpu_share));
  }
  for (std::size_t i = 0; i < kAdded; ++i) daemons[i]->Start();
  for (std::size_t i = 0; i < kAdded; ++i) {
    if (!daemons[i]->WaitUntilReady()) Finish(2, "a daemon is not ready");
  }
  record.Line(kMachines[kAdded].name + " is added");
  daemons[kAdded]->Start();
  if (!daemons[kAdded]->WaitUntilReady()) Finish(2, "a daemon is not ready");
  std::mutex mutex;
  std::map<std::string, Request> requests;
  std::atomic<int> next_id{0};
  std::atomic<bool> ends{false};
  std::vector<std::thread> consumers;
  for (std::size_t machine = 0; machine < kMachines.size(); ++machine) {
    for (int i = 0; i < kMachines[machine].consumers; ++i) {
      consumers.emplace_back([&, machine, i] {
        std::mt19937 random{static_cast<unsigned>(100 * machine + i)};
        std::uniform_int_distribution<int> keys{0, 65535};
        while (!ends) {
          const std::string id = "r-" + std::to_string(++next_id);
          const bool safe = random() % 2 == 0;
          const auto connection = Connect(daemons[machine]->port());
          int status = 0;
          if (connection) {
            connection->Send(RequestBytes(safe ? "GET" : "POST", safe ? "/soil/1" : "/topup/1", id,
                                          kTimeBudgetMs, safe ? "" : "{}",
                                          "X-Shard-Key: " + std::to_string(keys(random)) + "\r\n"));
            const auto answer = connection->ReceiveMessage(kTimeBudgetMs, true);
            status = answer ? answer->Status() : 0;
          }
          record.Line("request " + id + " at " + kMachines[machine].name +
                      " status=" + std::to_string(status));
          SleepMs(30);
          const std::lock_guard lock{mutex};
          requests[id] = {kMachines[machine].name, status};
        }
      });
    }
  }
  // Waits until a condition holds or the time is over, and goes on with the heartbeats.
  auto next_heartbeat = Clock::now();
  const auto serve_until = [&](Clock::time_point until, const std::function<bool()>& condition) {
    while (Clock::now() < until && !condition()) {
      if (Clock::now() >= next_heartbeat) {
        next_heartbeat += milliseconds{kHeartbeatMs};
        beat();
      }
      SleepMs(1);
    }
  };
  const auto never = [] { return false; };
  serve_until(Clock::now() + milliseconds{12000}, never);
  // The machine that last wrote to the store under a condition is struck first.
  const std::string leader = store.LastConditionalWriter();
  record.Line("the last conditional write is of " + leader);
  if (leader != kMachines[kStrongest].name) Finish(2, "the strongest machine does not lead");
  int keys_held = 0;
  for (int key = 0; key < 65536; ++key) keys_held += leaving.Holds(key) ? 1 : 0;
  if (keys_held == 0) Finish(2, "the target holds no keys");
  const int watches = store.AnsweredWatches(leader);
  serve_until(Clock::now() + milliseconds{5000},
              [&] { return store.AnsweredWatches(leader) > watches; });
  const auto heard_at = Clock::now();
  serve_until(heard_at + milliseconds{kReportMs}, never);
  leaving.draining = true;
  beat();
  const auto acked_at = Clock::now();
  record.Line("target i-0 reports draining, acknowledged; keys held: " + std::to_string(keys_held));
  next_heartbeat = acked_at + milliseconds{kHeartbeatMs};
  if (HasTrouble()) {
    serve_until(heard_at + milliseconds{kKillMs}, never);
    daemons[kStrongest]->Kill();
    record.Line(leader + " loses power");
  }
  serve_until(acked_at + milliseconds{kServesMs}, never);
  leaving.Crash();
  store.Remove("servers/" + leaving.id());
  record.Line("target i-0 has left");
  std::this_thread::sleep_until(heard_at + milliseconds{kKillMs + kDarkMs});
  if (HasTrouble()) {
    daemons[kStrongest]->Start();
    record.Line(leader + " is started again");
  }
  SleepMs(3000);
  ends = true;
  for (std::thread& consumer : consumers) consumer.join();
  int served = 0;
  int late = 0;
  int cut = 0;
  double latest = 0;
  for (const auto& [id, request] : requests) served += request.status == 200 ? 1 : 0;
  for (const auto& [id, began_at] : leaving.RunTimes()) {
    // The machine that lost power is not in touch.
    if (began_at <= acked_at + milliseconds{kDrainMs} || requests[id].machine == leader) continue;
    ++late;
    cut += requests[id].status == 200 ? 0 : 1;
    latest = std::max(latest, std::chrono::duration<double>(began_at - acked_at).count());
    record.Line("late: " + id + " of " + requests[id].machine + " reached the target " +
                std::to_string(std::chrono::duration<double>(began_at - acked_at).count()) +
                " s after the ack, status=" + std::to_string(requests[id].status));
  }
  if (served < 1000) Finish(2, "too few requests were served");
  const bool broken = late > 0;
  std::ostringstream verdict;
  verdict << "served=" << served << " of " << requests.size()
          << ", reached the target later than drain_s after the ack=" << late << " (up to "
          << latest << " s), of these lost=" << cut << (broken ? ": DRAIN broken" : ": DRAIN held");
  record.Line(verdict.str());
  if (const char* logs = std::getenv("LOGS")) {
    for (const auto& daemon : daemons) {
      std::ifstream in(daemon->log());
      std::ofstream(std::string{logs} + "/" + daemon->log().substr(daemon->log().rfind('/') + 1))
          << in.rdbuf();
    }
  }
  Finish(broken ? 1 : 0, verdict.str());
}

// Another writer's entry stands in the list of targets: its service is not named in the
// configuration, and its address is that of a target. That target is partitioned from the store,
// while requests and orders still reach it. Looks for keys that two targets hold at once.
#include "../case_daemon.hpp"
#include "../stand_in_target.hpp"

namespace review {
namespace {

constexpr int kCutMs = 6000;
constexpr int kTimeoutMs = 2000;
constexpr int kTargets = 5;
constexpr int kKeyOfFirst = 100;
constexpr int kRequestIntervalMs = 100;

void KeepForeignEntry(Store& store, const std::string& address, const std::atomic<bool>& stopping) {
  for (std::uint64_t sequence = 1; !stopping; ++sequence) {
    const json entry{{"service", "site-monitor"}, {"address", address},   {"zone", "zone-a"},
                     {"version", "v1"},           {"max_concurrency", 1}, {"state", "ready"},
                     {"warmup_left_s", 0.0},      {"seq", sequence},      {"born", 1700000000000}};
    store.Put("servers/m-1", entry.dump());
    for (int waited = 0; waited < Store::kHeartbeatMs && !stopping; waited += 10) {
      SleepMs(10);
    }
  }
}

int Play(const std::string& folder) {
  const char* trouble = getenv("TROUBLE");
  // "cut" and "entry" play one of the two disruptions alone.
  const std::string played = trouble == nullptr ? "1" : trouble;
  const bool has_cut = played == "1" || played == "cut";
  const bool has_entry = played == "1" || played == "entry";
  Record record(folder + "/record.txt");
  Ledger ledger;
  Store store;
  store.Put("op/config",
            Config(1, json::array({Service("soil", true)}),
                   json::array({Route("/soil/", "safe", "soil", kTimeoutMs / 1000.0)})));
  std::vector<std::unique_ptr<Target>> targets;
  for (int i = 1; i <= kTargets; ++i) {
    targets.push_back(std::make_unique<Target>(
        store, record, ledger,
        Target::Options{"i-" + std::to_string(i), "soil", "zone-a", true, 6}));
  }
  Daemon first("edge-1", store.port(), record);
  Daemon second("edge-2", store.port(), record, "zone-b");
  if (!first.WaitUntilReady() || !second.WaitUntilReady()) {
    return kCouldNotRun;
  }
  const auto ready_by = Clock::now() + milliseconds{10'000};
  while (!targets.front()->Holds(kKeyOfFirst)) {
    if (Clock::now() > ready_by) {
      return kCouldNotRun;
    }
    SleepMs(20);
  }
  std::atomic<bool> stopping = false;
  std::thread writer;
  if (has_entry) {
    record.Note("another writer keeps an entry of service site-monitor at the address of i-1");
    writer = std::thread([&] { KeepForeignEntry(store, targets.front()->address(), stopping); });
  }
  SleepMs(2000);
  if (has_cut) {
    record.Note("i-1 is partitioned from the store");
    targets.front()->CutFromStore(true);
  }
  int number = 0;
  for (int waited = 0; waited < kCutMs; waited += kRequestIntervalMs) {
    SleepMs(kRequestIntervalMs);
    const auto connection = Connection::To(first.front());
    const std::string id = "r" + std::to_string(++number);
    record.Note("consumer sends " + id + " to edge-1, key=" + std::to_string(kKeyOfFirst));
    if (connection &&
        connection->Write(Request("GET", "/soil/1", id, kTimeoutMs,
                                  "X-Shard-Key: " + std::to_string(kKeyOfFirst) + "\r\n"))) {
      const auto answer = connection->Read(kTimeoutMs + 500);
      record.Note("consumer of " + id + " gets " + (answer ? answer->start : "nothing"));
    }
  }
  if (has_cut) {
    record.Note("i-1 reaches the store again");
    targets.front()->CutFromStore(false);
  }
  SleepMs(3000);
  stopping = true;
  if (writer.joinable()) {
    writer.join();
  }
  for (const Daemon* each : {&first, &second}) {
    each->RecordLog({"owner gone", "owner replaced", "endpoint removed", "leading term",
                     "endpoint=i-1 target", "service=site-monitor"});
  }
  const auto breaks = ledger.FindOwnerBreaks();
  for (const std::string& each : breaks) {
    record.Note("OWNER broken: " + each);
  }
  return breaks.empty() ? kHeld : kBroken;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::RunCase(argc, argv, review::Play); }

// A zone is emptied and taken back while a slow target there still works on requests. Looks for
// keys that are given to another target while the slow one works on them and its hold has not
// run out.
#include "../case_daemon.hpp"
#include "../stand_in_target.hpp"

namespace review {
namespace {

// A usual work time of 410 ms, twelve times as long.
constexpr int kSlowWorkMs = 12 * 410;
constexpr int kUsualWorkMs = 410;
constexpr int kEvacuationMs = 4000;
constexpr int kTimeoutMs = 8000;
constexpr int kAttempts = 5;
constexpr int kLastKey = 65535;

std::string KeyHeader(int key) { return "X-Shard-Key: " + std::to_string(key) + "\r\n"; }

// One request on a new connection; the status of its answer, or 0.
int Ask(std::uint16_t port, const std::string& id, int key, int work_ms) {
  const auto connection = Connection::To(port);
  if (!connection || !connection->Write(Request(
                         "GET", "/soil/" + std::to_string(key) + "?work=" + std::to_string(work_ms),
                         id, kTimeoutMs, KeyHeader(key)))) {
    return 0;
  }
  const auto answer = connection->Read(kTimeoutMs + 1000);
  return answer ? answer->Status() : 0;
}

int Attempt(Record& record, bool evacuate, bool slow_work, int number) {
  const std::map<std::string, std::string> bounds{
      {"bounds.cold_over", "1.5"}, {"bounds.cold_slack", "8"}, {"bounds.evacuate_s", "5"}};
  Ledger ledger;
  Store store;
  json soil = Service("soil", true);
  soil["warmup_s"] = 3.0;
  soil["warmup_per_s"] = 4.0;
  store.Put("op/config",
            Config(1, json::array({soil}),
                   json::array({Route("/soil/", "safe", "soil", kTimeoutMs / 1000.0)})));
  Target slow(store, record, ledger, {"i-1", "soil", "zone-a", true, 6});
  Target other(store, record, ledger, {"i-2", "soil", "zone-b", true, 6});
  Target third(store, record, ledger, {"i-3", "soil", "zone-b", true, 6});
  Daemon first("edge-1", store.port(), record, "zone-a", bounds);
  Daemon second("edge-2", store.port(), record, "zone-b", bounds);
  if (!first.WaitUntilReady() || !second.WaitUntilReady()) {
    return kCouldNotRun;
  }
  const auto ready_by = Clock::now() + milliseconds{10'000};
  while (!(slow.Holds(0) && third.Holds(kLastKey))) {
    if (Clock::now() > ready_by) {
      return kCouldNotRun;
    }
    SleepMs(20);
  }
  SleepMs(500);
  const std::string prefix = "a" + std::to_string(number);
  std::vector<std::thread> consumers;
  std::vector<int> keys;
  for (int key = 1500; key < 21000; key += 4500) {
    keys.push_back(key);
  }
  for (const int key : keys) {
    consumers.emplace_back([&, key] {
      const std::string id = prefix + "-early-" + std::to_string(key);
      record.Note("consumer sends " + id + " to edge-1, key=" + std::to_string(key));
      const int status = Ask(first.front(), id, key, slow_work ? kSlowWorkMs : kUsualWorkMs);
      record.Note("consumer of " + id + " gets " + std::to_string(status));
    });
  }
  SleepMs(200);
  if (evacuate) {
    record.Note("operator writes op/evacuate/zone-a");
    store.Put("op/evacuate/zone-a", "{}");
  }
  SleepMs(kEvacuationMs);
  if (evacuate) {
    record.Note("operator removes op/evacuate/zone-a");
    store.Remove("op/evacuate/zone-a");
  }
  // Later requests for the same keys.
  for (int round = 0; round < 8; ++round) {
    SleepMs(200);
    for (const int key : keys) {
      consumers.emplace_back([&, key, round] {
        const std::string id = prefix + "-late" + std::to_string(round) + "-" + std::to_string(key);
        record.Note("consumer sends " + id + " to edge-2, key=" + std::to_string(key));
        const int status = Ask(second.front(), id, key, kUsualWorkMs);
        record.Note("consumer of " + id + " gets " + std::to_string(status));
      });
    }
  }
  for (std::thread& each : consumers) {
    each.join();
  }
  for (const Daemon* each : {&first, &second}) {
    each->RecordLog({"release unanswered", "available again", "token outdated", "evacuation begun",
                     "evacuation withdrawn", "leading term"});
  }
  const auto breaks = ledger.FindOwnerBreaks();
  for (const std::string& each : breaks) {
    record.Note("OWNER broken: " + each);
  }
  return breaks.empty() ? kHeld : kBroken;
}

int Play(const std::string& folder) {
  Record record(folder + "/record.txt");
  const char* trouble = getenv("TROUBLE");
  // "evacuate" and "slow" play one of the two disruptions alone.
  const std::string played = trouble == nullptr ? "1" : trouble;
  const bool evacuate = played == "1" || played == "evacuate";
  const bool slow_work = played == "1" || played == "slow";
  for (int i = 1; i <= kAttempts; ++i) {
    record.Note("attempt " + std::to_string(i));
    const int result = Attempt(record, evacuate, slow_work, i);
    if (result != kHeld) {
      return result;
    }
  }
  return kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::RunCase(argc, argv, review::Play); }

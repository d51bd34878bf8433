// The store acknowledges a change of the configuration and is silent for two seconds just after
// that.
#include <cstdlib>

#include "deployment.hpp"
#include "target.hpp"

namespace standin {
namespace {

constexpr double kTestLimitS = 115;
constexpr int kDaemons = 5;
constexpr int kRounds = 14;
constexpr double kRoundS = 6.02;
constexpr double kSilenceS = 2.13;
// The silence begins so long after the acknowledgement.
constexpr double kAckLeadS = 0.17;
constexpr double kStableS = 3;
constexpr double kConfigApplyS = 2;
// Requests are sent from so long before the machines are in touch again until so long after.
constexpr double kProbeBeforeS = 0.05;
constexpr double kProbeAfterS = 0.6;
constexpr double kProbeIntervalS = 0.04;
constexpr int kTimeoutMs = 1500;

class Test {
 public:
  Test(const std::string& directory, bool trouble, const std::string& record_file)
      : ports_(LoadPorts(directory)),
        trouble_(trouble),
        record_(record_file),
        store_(ports_.store) {}

  int Run() {
    for (const char* service : {"plans-0", "plans-1"}) {
      for (int i = 0; i < 8; ++i) {
        targets_.push_back(std::make_unique<Target>(
            TargetSettings{service, "zone-" + std::to_string(i % kDaemons), 6, 0.03, "", 2.0},
            std::string{service} + "-" + std::to_string(i), store_, log_, record_));
        Sleep(0.05);
      }
    }
    store_.Put("op/config", Config(0).dump());
    if (!WaitUntilReady(ports_, 20)) {
      record_.Report("the daemons did not get ready");
      return 2;
    }
    Sleep(3);
    for (int round = 1; round <= kRounds; ++round) PlayRound(round);
    Sleep(1);
    return Judge();
  }

 private:
  struct Probe {
    std::string id;
    // The service that the acknowledged version names.
    std::string service;
    std::size_t daemon = 0;
    double sent_s = 0;
    double acknowledged_s = 0;
  };

  static std::string ServiceOf(int version) { return "plans-" + std::to_string(version % 2); }

  // Each version moves the route to the other service.
  static json Config(int version) {
    return {{"version", 3 + 2 * version},
            {"services", {Service("plans-0"), Service("plans-1")}},
            {"limits", Limits()},
            {"hosts",
             {{{"host", "desk.example"},
               {"paths",
                {{{"name", "r-plans"},
                  {"prefix", "/plans/"},
                  {"kind", "unsafe"},
                  {"timeout_s", 0.8},
                  {"aim_s", 0.25},
                  {"priority", 0},
                  {"service", ServiceOf(version)},
                  {"max_attempts", 2}}}}}}}};
  }

  void PlayRound(int round) {
    const double begin_s = record_.Now();
    store_.Put("op/config", Config(round).dump());
    const double acknowledged_s = record_.Now();
    record_.Write("config round=" + std::to_string(round) + " acknowledged, service " +
                  ServiceOf(round));
    Sleep(kAckLeadS);
    if (trouble_) {
      store_.SetSilent(true);
      record_.Write("store silent");
    }
    Sleep(kSilenceS);
    if (trouble_) {
      store_.SetSilent(false);
      record_.Write("store back");
    }
    const double in_touch_s = record_.Now() + kStableS;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < ports_.daemons.size(); ++i) {
      callers.emplace_back([this, i, round, acknowledged_s, in_touch_s] {
        Sleep(in_touch_s - kProbeBeforeS - record_.Now());
        while (record_.Now() < in_touch_s + kProbeAfterS) {
          Send(i, round, acknowledged_s, in_touch_s);
          Sleep(kProbeIntervalS);
        }
      });
    }
    for (std::thread& each : callers) each.join();
    Sleep(std::max(0.0, begin_s + kRoundS - record_.Now()));
  }

  void Send(std::size_t daemon, int round, double acknowledged_s, double in_touch_s) {
    const auto connection = Connection::Open(ports_.daemons[daemon].callers);
    if (!connection) return;
    Probe probe{NewRequestId(), ServiceOf(round), daemon, record_.Now(), acknowledged_s};
    record_.Write("send id=" + probe.id + " daemon=" + std::to_string(daemon) + " path=/plans/1");
    connection->Write(RequestText("POST", "/plans/1", "desk.example", probe.id, kTimeoutMs, "{}"));
    const auto answer = connection->Read(Clock::now() + milliseconds{kTimeoutMs});
    record_.Write("answer id=" + probe.id +
                  " status=" + (answer ? std::to_string(answer->Status()) : "none"));
    if (answer && answer->Status() == 200) ++served_;
    const bool bound = probe.sent_s > in_touch_s && probe.sent_s > acknowledged_s + kConfigApplyS;
    if (bound) {
      const std::lock_guard lock{mutex_};
      probes_.push_back(probe);
    }
  }

  int Judge() {
    std::map<std::string, std::string> target_by_id;
    for (const RunLog::Run& each : log_.runs) target_by_id[each.id] = each.target;
    int stale = 0;
    std::set<std::string> rounds;
    for (const Probe& each : probes_) {
      const auto run = target_by_id.find(each.id);
      if (run == target_by_id.end() || run->second.starts_with(each.service)) continue;
      ++stale;
      rounds.insert(std::to_string(each.acknowledged_s));
      record_.Write("run by the old service id=" + each.id + " target=" + run->second + " daemon=" +
                    std::to_string(each.daemon) + " seconds after the acknowledgement: " +
                    std::to_string(each.sent_s - each.acknowledged_s));
    }
    record_.Report("requests sent in time of the rule: " + std::to_string(probes_.size()) +
                   ", run by the service of the older version: " + std::to_string(stale) + ", in " +
                   std::to_string(rounds.size()) + " of " + std::to_string(kRounds) + " rounds");
    if (served_ == 0 || probes_.empty()) return 2;
    return stale > 0 ? 1 : 0;
  }

  const Ports ports_;
  const bool trouble_;
  Record record_;
  Store store_;
  RunLog log_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::atomic<int> served_{0};
  std::mutex mutex_;
  std::vector<Probe> probes_;
};

}  // namespace
}  // namespace standin

// silent_store prepare DIRECTORY | run DIRECTORY RECORD PID...
int main(int argc, char** argv) {
  const std::string verb = argc > 2 ? argv[1] : "";
  if (verb == "prepare") {
    standin::PrepareSettings(argv[2], standin::kDaemons);
    return 0;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool with_trouble = trouble == nullptr || std::string{trouble} != "0";
  standin::Test test{argv[2], with_trouble, argv[3]};
  return standin::RunWithLimit(standin::kTestLimitS, [&test] { return test.Run(); });
}

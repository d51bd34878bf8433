// A target runs requests and answers part of them with a failure of its own, 503 without
// X-Not-Executed.
#include <cstdlib>
#include <random>

#include "deployment.hpp"
#include "target.hpp"

namespace standin {
namespace {

constexpr double kTestLimitS = 60;
// Like the service pwmp of the site: 8 targets with 6 slots. One of them, less than the largest
// share of srv_grey (0.14), fails this part of its requests for so long.
constexpr int kTargets = 8;
constexpr double kFailingPart = 0.55;
constexpr double kFailingS = 8.5;
constexpr int kCallers = 40;
constexpr int kTimeoutMs = 2500;
// Callers repeat an order that may run once twice, and only after a promise that it has not run.
constexpr int kMaxAttempts = 3;

class Test {
 public:
  Test(const std::string& directory, bool trouble, const std::string& record_file)
      : ports_(LoadPorts(directory)),
        trouble_(trouble),
        record_(record_file),
        store_(ports_.store) {}

  int Run() {
    for (int i = 0; i < kTargets; ++i) {
      TargetSettings settings{"pumps", "zone-" + std::to_string(i % 2), 6, 0.12, "", 2.0};
      if (i == 0) settings.fails = [this] { return Fails(); };
      targets_.push_back(
          std::make_unique<Target>(settings, "pump-" + std::to_string(i), store_, log_, record_));
    }
    store_.Put("op/config", Config().dump());
    if (!WaitUntilReady(ports_, 20)) {
      record_.Report("the daemons did not get ready");
      return 2;
    }
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([this, i] { SendOrders(i, ports_.daemons[i % 2].callers); });
    }
    Sleep(3);
    failing_ = trouble_;
    Sleep(kFailingS);
    failing_ = false;
    Sleep(2);
    stopping_ = true;
    for (std::thread& each : callers) each.join();
    return Judge();
  }

 private:
  static json Config() {
    return {{"version", 3},
            {"services", {Service("pumps")}},
            {"limits", Limits()},
            {"hosts",
             {{{"host", "desk.example"},
               {"paths",
                {{{"name", "r-pumps"},
                  {"prefix", "/pumps/"},
                  {"kind", "unsafe"},
                  {"timeout_s", 1.2},
                  {"aim_s", 0.4},
                  {"priority", 1},
                  {"service", "pumps"},
                  {"max_attempts", 2}}}}}}}};
  }

  bool Fails() {
    const std::lock_guard lock{mutex_};
    return failing_ && std::uniform_real_distribution<double>{}(random_) < kFailingPart;
  }

  // Sends orders one after the other; each attempt has an id of its own.
  void SendOrders(int caller, std::uint16_t port) {
    for (int number = 0; !stopping_; ++number) {
      const std::string path =
          "/pumps/order-" + std::to_string(caller) + "-" + std::to_string(number);
      for (int attempt = 1; attempt <= kMaxAttempts; ++attempt) {
        const int status = Send(port, path);
        const bool promised = status == 429 || status == 503;
        if (!promised) break;
        Sleep(0.1);
      }
    }
  }

  int Send(std::uint16_t port, const std::string& path) {
    const auto connection = Connection::Open(port);
    if (!connection) return 0;
    const std::string id = NewRequestId();
    record_.Write("send id=" + id + " path=" + path);
    connection->Write(RequestText("POST", path, "desk.example", id, kTimeoutMs, "{}"));
    const auto answer = connection->Read(Clock::now() + milliseconds{kTimeoutMs});
    const int status = answer ? answer->Status() : 0;
    record_.Write("answer id=" + id + " status=" + std::to_string(status));
    ++sent_;
    if (status == 200) ++served_;
    if (status == 408 || status == 421 || status == 429 || status == 503) {
      const std::lock_guard lock{mutex_};
      promised_ids_.push_back(id);
    }
    return status;
  }

  int Judge() {
    int broken = 0;
    for (const std::string& id : promised_ids_) broken += log_.HasRun(id) ? 1 : 0;
    std::map<std::string, int> runs_by_order;
    for (const RunLog::Run& each : log_.runs) ++runs_by_order[each.path];
    int repeated = 0;
    for (const auto& [path, runs] : runs_by_order) repeated += runs > 1 ? 1 : 0;
    record_.Report("sent " + std::to_string(sent_) +
                   " requests that may run once, answered 200: " + std::to_string(served_) +
                   ", promised not to have run: " + std::to_string(promised_ids_.size()));
    record_.Report(
        "promised not to have run, although a target has run it: " + std::to_string(broken) +
        ", allowed 0; orders that have run more than once, as "
        "their callers believed the promise: " +
        std::to_string(repeated));
    if (served_ == 0) return 2;
    return broken > 0 ? 1 : 0;
  }

  const Ports ports_;
  const bool trouble_;
  Record record_;
  Store store_;
  RunLog log_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> failing_{false};
  std::atomic<int> sent_{0};
  std::atomic<int> served_{0};
  std::mutex mutex_;
  std::mt19937 random_{7};
  std::vector<std::string> promised_ids_;
};

}  // namespace
}  // namespace standin

// failing_target prepare DIRECTORY | run DIRECTORY RECORD PID...
int main(int argc, char** argv) {
  const std::string verb = argc > 2 ? argv[1] : "";
  if (verb == "prepare") {
    standin::PrepareSettings(argv[2], 2);
    return 0;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool with_trouble = trouble == nullptr || std::string{trouble} != "0";
  standin::Test test{argv[2], with_trouble, argv[3]};
  return standin::RunWithLimit(standin::kTestLimitS, [&test] { return test.Run(); });
}

// A caller repeats a request that crashes each target that begins to run it.
#include <algorithm>
#include <cstdlib>

#include "deployment.hpp"
#include "target.hpp"

namespace standin {
namespace {

constexpr double kTestLimitS = 80;
// How often the request comes again, and for how long.
constexpr double kRepeatIntervalS = 1.0;
constexpr int kRepeats = 24;
constexpr double kStableS = 3;
// BUDGET allows three.
constexpr int kAllowedRetries = 3;
constexpr int kSteadyCallers = 12;
constexpr int kTimeoutMs = 2500;
constexpr char kCrashPath[] = "/pumps/crash";

class Test {
 public:
  Test(const std::string& directory, bool trouble, const std::string& record_file)
      : ports_(LoadPorts(directory)),
        trouble_(trouble),
        record_(record_file),
        store_(ports_.store) {}

  int Run() {
    for (int i = 0; i < 6; ++i) {
      targets_.push_back(
          std::make_unique<Target>(TargetSettings{"pumps", "zone-" + std::to_string(i % 2), 6, 0.12,
                                                  trouble_ ? kCrashPath : "", 2.0},
                                   "pump-" + std::to_string(i), store_, log_, record_));
    }
    store_.Put("op/config", Config().dump());
    if (!WaitUntilReady(ports_, 20)) {
      record_.Report("the daemons did not get ready");
      return 2;
    }
    std::vector<std::thread> callers;
    for (int i = 0; i < kSteadyCallers; ++i) {
      callers.emplace_back([this, i] { CallSteadily(ports_.daemons[i % 2].callers); });
    }
    Sleep(3);
    for (int i = 0; i < kRepeats; ++i) {
      SendCrashingRequest(ports_.daemons[i % 2].callers);
      Sleep(kRepeatIntervalS);
    }
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

  std::string Send(Connection& connection, const std::string& path) {
    const std::string id = NewRequestId();
    record_.Write("send id=" + id + " path=" + path);
    connection.Write(RequestText("POST", path, "desk.example", id, kTimeoutMs, "{}"));
    const auto answer = connection.Read(Clock::now() + milliseconds{kTimeoutMs});
    const std::string status = answer ? std::to_string(answer->Status()) : "none";
    record_.Write("answer id=" + id + " status=" + status);
    return status;
  }

  // The caller of the crashing request, at either daemon in turn.
  void SendCrashingRequest(std::uint16_t port) {
    const auto connection = Connection::Open(port);
    if (connection) Send(*connection, kCrashPath);
  }

  void CallSteadily(std::uint16_t port) {
    std::unique_ptr<Connection> connection;
    while (!stopping_) {
      if (!connection) connection = Connection::Open(port);
      if (!connection) {
        Sleep(0.1);
        continue;
      }
      const std::string status = Send(*connection, "/pumps/1");
      ++sent_;
      served_ += status == "200" ? 1 : 0;
      if (status == "none") connection.reset();
      if (status != "200") Sleep(0.1);
    }
  }

  int Judge() {
    std::vector<double> arrivals;
    for (const RunLog::Run& each : log_.runs) {
      if (each.path == kCrashPath) arrivals.push_back(each.at_s);
    }
    std::sort(arrivals.begin(), arrivals.end());
    const auto late =
        trouble_ && arrivals.size() > 3
            ? std::count_if(arrivals.begin(), arrivals.end(),
                            [&](double at_s) { return at_s > arrivals[2] + kStableS; })
            : 0;
    record_.Report("sent " + std::to_string(sent_) + " other requests, answered 200: " +
                   std::to_string(served_) + ", ended while they ran by a crash of their target: " +
                   std::to_string(trouble_ ? log_.lost_ids.size() - arrivals.size() : 0));
    record_.Report("the repeated request reached targets " + std::to_string(arrivals.size()) +
                   " times; later than " + std::to_string(static_cast<int>(kStableS)) +
                   " s after it had crashed the third: " + std::to_string(late) + ", allowed " +
                   std::to_string(kAllowedRetries));
    if (served_ == 0 || arrivals.empty()) return 2;
    return late > kAllowedRetries ? 1 : 0;
  }

  const Ports ports_;
  const bool trouble_;
  Record record_;
  Store store_;
  RunLog log_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> sent_{0};
  std::atomic<int> served_{0};
};

}  // namespace
}  // namespace standin

// crashing_request prepare DIRECTORY | run DIRECTORY RECORD PID...
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

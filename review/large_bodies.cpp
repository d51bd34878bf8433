// Callers upload large bodies, within the limit of the configuration, at the same time. The
// platform kills a daemon that takes more memory than its machine has.
#include <cstdlib>
#include <fstream>

#include "deployment.hpp"
#include "target.hpp"

namespace standin {
namespace {

constexpr double kTestLimitS = 60;
// limits.memory_mb in the settings of a small machine.
constexpr std::uint64_t kMemoryLimitBytes = std::uint64_t{260} * 1024 * 1024;
constexpr int kSteadyCallers = 16;
constexpr int kUploads = 5;
constexpr std::size_t kLargeBodyBytes = std::size_t{57} * 1000 * 1000;
constexpr std::size_t kUsualBodyBytes = 360'000;
constexpr int kTimeoutMs = 2500;
// LOST allows three.
constexpr int kAllowedLosses = 3;

std::uint64_t ResidentBytes(pid_t process) {
  std::ifstream file{"/proc/" + std::to_string(process) + "/statm"};
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

class Test {
 public:
  Test(const std::string& directory, std::vector<pid_t> daemons, bool trouble,
       const std::string& record_file)
      : ports_(LoadPorts(directory)),
        daemons_(std::move(daemons)),
        trouble_(trouble),
        record_(record_file),
        store_(ports_.store) {}

  int Run() {
    for (int i = 0; i < 4; ++i) {
      const std::string zone = "zone-" + std::to_string(i % 2);
      targets_.push_back(std::make_unique<Target>(TargetSettings{"pumps", zone, 12, 0.12, "", 2},
                                                  "pump-" + std::to_string(i), store_, log_,
                                                  record_));
      targets_.push_back(std::make_unique<Target>(TargetSettings{"photos", zone, 6, 0.11, "", 2},
                                                  "photo-" + std::to_string(i), store_, log_,
                                                  record_));
    }
    store_.Put("op/config", Config().dump());
    if (!WaitUntilReady(ports_, 20)) {
      record_.Report("the daemons did not get ready");
      return 2;
    }
    std::thread([this] { WatchMemory(); }).detach();
    std::vector<std::thread> callers;
    for (int i = 0; i < kSteadyCallers; ++i) callers.emplace_back([this] { CallSteadily(); });
    Sleep(4);
    std::vector<std::thread> uploads;
    for (int i = 0; i < kUploads; ++i) uploads.emplace_back([this] { Upload(); });
    for (std::thread& each : uploads) each.join();
    Sleep(2);
    stopping_ = true;
    for (std::thread& each : callers) each.join();
    return Judge();
  }

 private:
  static json Config() {
    const auto route = [](const char* prefix, const char* kind, double timeout_s, double aim_s,
                          const char* service) {
      return json{{"name", std::string{"r"} + service},
                  {"prefix", prefix},
                  {"kind", kind},
                  {"timeout_s", timeout_s},
                  {"aim_s", aim_s},
                  {"priority", 1},
                  {"service", service},
                  {"max_attempts", 2}};
    };
    return {{"version", 3},
            {"services", {Service("pumps"), Service("photos")}},
            {"limits", Limits()},
            {"hosts",
             {{{"host", "desk.example"},
               {"paths",
                {route("/pumps/", "unsafe", 1.2, 0.4, "pumps"),
                 route("/photos/", "upload", 2.5, 0.8, "photos")}}}}}};
  }

  // Does as the platform does with a process that exceeds its memory.
  void WatchMemory() {
    for (;;) {
      for (std::size_t i = 0; i < daemons_.size(); ++i) {
        const std::uint64_t bytes = ResidentBytes(daemons_[i]);
        peak_bytes_ = std::max<std::uint64_t>(peak_bytes_, bytes);
        if (bytes > kMemoryLimitBytes && !killed_) {
          killed_ = true;
          kill(daemons_[i], SIGKILL);
          record_.Report("daemon " + std::to_string(i) + " took " + std::to_string(bytes) +
                         " bytes of memory, limit " + std::to_string(kMemoryLimitBytes) +
                         ": killed by the platform");
        }
      }
      Sleep(0.002);
    }
  }

  // Sends requests that may run once, one after the other over a kept connection.
  void CallSteadily() {
    std::unique_ptr<Connection> connection;
    while (!stopping_) {
      if (!connection) connection = Connection::Open(ports_.daemons[0].callers);
      if (!connection) {
        Sleep(0.1);
        continue;
      }
      const std::string id = NewRequestId();
      record_.Write("send id=" + id + " path=/pumps/1");
      ++sent_;
      if (!connection->Write(
              RequestText("POST", "/pumps/1", "desk.example", id, kTimeoutMs, "{}"))) {
        connection.reset();
        continue;
      }
      const auto answer = connection->Read(Clock::now() + milliseconds{kTimeoutMs});
      if (!answer) {
        const bool closed = connection->ended();
        record_.Write("no answer id=" + id + (closed ? " connection closed" : " time is up"));
        if (closed) {
          const std::lock_guard lock{mutex_};
          cut_ids_.push_back(id);
        }
        connection.reset();
        continue;
      }
      record_.Write("answer id=" + id + " status=" + std::to_string(answer->Status()));
      answered_ += answer->Status() == 200 ? 1 : 0;
    }
  }

  void Upload() {
    const std::size_t bytes = trouble_ ? kLargeBodyBytes : kUsualBodyBytes;
    const std::string id = NewRequestId();
    const auto connection = Connection::Open(ports_.daemons[0].callers);
    if (!connection) return;
    record_.Write("send id=" + id + " path=/photos/1 body=" + std::to_string(bytes));
    connection->Write(
        RequestText("POST", "/photos/1", "desk.example", id, kTimeoutMs, std::string(bytes, 'x')));
    const auto answer = connection->Read(Clock::now() + milliseconds{kTimeoutMs});
    record_.Write("upload id=" + id +
                  " status=" + (answer ? std::to_string(answer->Status()) : std::string{"none"}));
  }

  int Judge() {
    int lost = 0;
    for (const std::string& id : cut_ids_) lost += log_.HasRun(id) ? 1 : 0;
    record_.Report("sent " + std::to_string(sent_) +
                   " requests that may run once, answered 200: " + std::to_string(answered_) +
                   ", peak memory " + std::to_string(peak_bytes_) + " bytes");
    record_.Report("passed on to a sound target, then connection closed without an answer: " +
                   std::to_string(lost) + ", allowed " + std::to_string(kAllowedLosses));
    if (answered_ == 0) return 2;
    return lost > kAllowedLosses ? 1 : 0;
  }

  const Ports ports_;
  const std::vector<pid_t> daemons_;
  const bool trouble_;
  Record record_;
  Store store_;
  RunLog log_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> killed_{false};
  std::atomic<std::uint64_t> peak_bytes_{0};
  std::atomic<int> sent_{0};
  std::atomic<int> answered_{0};
  std::mutex mutex_;
  std::vector<std::string> cut_ids_;
};

}  // namespace
}  // namespace standin

// large_bodies prepare DIRECTORY | run DIRECTORY RECORD PID...
int main(int argc, char** argv) {
  const std::string verb = argc > 2 ? argv[1] : "";
  if (verb == "prepare") {
    standin::PrepareSettings(argv[2], 2);
    return 0;
  }
  std::vector<pid_t> daemons;
  for (int i = 4; i < argc; ++i) daemons.push_back(std::atoi(argv[i]));
  const char* trouble = std::getenv("TROUBLE");
  const bool with_trouble = trouble == nullptr || std::string{trouble} != "0";
  standin::Test test{argv[2], daemons, with_trouble, argv[3]};
  return standin::RunWithLimit(standin::kTestLimitS, [&test] { return test.Run(); });
}

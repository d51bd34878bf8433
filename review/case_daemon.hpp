// Starts the program of the deploy file as processes, with settings made from its template.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "case_record.hpp"

namespace review {

// A port that is free now, below the range from which outgoing connections take theirs.
inline std::uint16_t FreePort() {
  constexpr int kFirstPort = 10'240;
  constexpr int kLastPort = 32'000;
  std::random_device entropy_source;
  std::uniform_int_distribution<int> pick_port{kFirstPort, kLastPort};
  for (;;) {
    const auto port = static_cast<std::uint16_t>(pick_port(entropy_source));
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool is_free =
        bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(descriptor);
    if (is_free) {
      return port;
    }
  }
}

// Fills in a template: sections of fields that have a value are kept, others are dropped.
inline std::string FillIn(std::string text, const std::map<std::string, std::string>& fields) {
  for (std::size_t at = 0; (at = text.find("{{", at)) != std::string::npos;) {
    const std::size_t end = text.find("}}", at);
    const std::string name = text.substr(at + 2, end - at - 2);
    if (name[0] == '#') {
      const std::string close = "{{/" + name.substr(1) + "}}";
      const std::size_t section_end = text.find(close, end);
      const bool keep = fields.contains(name.substr(1));
      const std::string inner = keep ? text.substr(end + 2, section_end - end - 2) : "";
      text.replace(at, section_end + close.size() - at, inner);
      continue;
    }
    const auto field = fields.find(name);
    text.replace(at, end + 2 - at, field == fields.end() ? "" : field->second);
  }
  return text;
}

// The processes that a case has started, for the handler of its time limit.
inline std::atomic<pid_t> started_processes[16];

inline void EndProcesses(int /*signal*/) {
  for (const auto& each : started_processes) {
    if (each > 0) {
      kill(each, SIGKILL);
    }
  }
  _exit(2);
}

// Ends the case, and the processes that it started, after its longest time or when it is stopped.
inline void LimitTime(unsigned seconds) {
  signal(SIGALRM, EndProcesses);
  signal(SIGTERM, EndProcesses);
  signal(SIGINT, EndProcesses);
  alarm(seconds);
}

class Daemon {
 public:
  Daemon(const std::string& name, std::uint16_t store_port, Record& record,
         const std::string& zone = "zone-a",
         const std::map<std::string, std::string>& more_fields = {})
      : name_(name), record_(record), front_(FreePort()), ready_(FreePort()) {
    const std::string ip = "127.0.0.1";
    std::map<std::string, std::string> fields{
        {"node_name", name},
        {"zone", zone},
        {"ip", ip},
        {"limits.cpu_share", "0.4"},
        {"limits.memory_mb", "520"},
        {"limits.max_fds", "8200"},
        {"listen.front", ip + ":" + std::to_string(front_)},
        {"listen.ready", ip + ":" + std::to_string(ready_)},
        {"listen.control", ip + ":" + std::to_string(FreePort())},
        {"internal_ports.0", std::to_string(FreePort())},
        {"bounds.grace_s", "6"},
        {"bounds.retry_budget_ratio", "0.2"},
        {"bounds.retry_slack", "56"},
        {"bounds.budget_window_s", "10"},
        {"bounds.hold_max_s", "10"},
        {"platform.address", ip + ":" + std::to_string(store_port)}};
    for (const auto& [key, value] : more_fields) {
      fields[key] = value;
    }
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(folder.data()) == nullptr) {
      throw std::runtime_error("no temporary folder");
    }
    folder_ = folder;
    std::ifstream file("deploy/router.toml.in");
    std::ostringstream text;
    text << file.rdbuf();
    std::ofstream(folder_ + "/node.conf") << FillIn(text.str(), fields);
    Start();
  }
  ~Daemon() {
    Kill();
    std::filesystem::remove_all(folder_);
  }

  std::uint16_t front() const { return front_; }
  const std::string& name() const { return name_; }

  void Start() {
    std::string program = "target/sycamorestall";
    std::string command = "route";
    char* arguments[] = {program.data(), command.data(), nullptr};
    std::string config = "SYCAMORESTALL_CONFIG=" + folder_ + "/node.conf";
    std::string path = std::string{"PATH="} + (getenv("PATH") != nullptr ? getenv("PATH") : "");
    char* environment[] = {config.data(), path.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string log = folder_ + "/log";
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    const int failed =
        posix_spawn(&process_, program.c_str(), &actions, nullptr, arguments, environment);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
      process_ = 0;
      throw std::runtime_error("cannot start " + program);
    }
    for (auto& each : started_processes) {
      pid_t none = 0;
      if (each.compare_exchange_strong(none, process_)) {
        break;
      }
    }
    record_.Note("daemon " + name_ + " started");
  }
  void Signal(int number) const { kill(process_, number); }
  // Whether the process runs.
  bool Runs() {
    if (process_ > 0 && waitpid(process_, nullptr, WNOHANG) == process_) {
      Forget();
    }
    return process_ > 0;
  }
  void Kill() {
    if (Runs()) {
      kill(process_, SIGCONT);
      kill(process_, SIGKILL);
      waitpid(process_, nullptr, 0);
      Forget();
    }
  }
  bool IsReady() const {
    const auto connection = Connection::To(ready_);
    if (!connection || !connection->Write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
      return false;
    }
    const auto answer = connection->Read(500);
    return answer && answer->Status() == 200;
  }
  bool WaitUntilReady(int seconds = 20) const {
    for (int i = 0; i < seconds * 20; ++i) {
      if (IsReady()) {
        return true;
      }
      SleepMs(50);
    }
    return false;
  }
  std::string Log() const {
    std::ifstream file(folder_ + "/log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }
  // Copies the lines of the log that contain one of the texts to the record.
  void RecordLog(const std::vector<std::string>& texts) const {
    std::istringstream lines(Log());
    for (std::string line; std::getline(lines, line);) {
      for (const std::string& each : texts) {
        if (line.find(each) != std::string::npos) {
          record_.Note("log of " + name_ + ": " + line);
          break;
        }
      }
    }
  }

 private:
  void Forget() {
    for (auto& each : started_processes) {
      pid_t ended = process_;
      each.compare_exchange_strong(ended, 0);
    }
    process_ = 0;
  }

  const std::string name_;
  Record& record_;
  std::uint16_t front_;
  std::uint16_t ready_;
  std::string folder_;
  pid_t process_ = 0;
};

// A service of the configuration.
inline nlohmann::json Service(const std::string& name, bool sharded) {
  return {{"name", name}, {"sharded", sharded}, {"warm_s", 2.0}};
}

// A route of the configuration.
inline nlohmann::json Route(const std::string& prefix, const std::string& kind,
                            const std::string& service, double timeout_s) {
  return {{"name", service}, {"prefix", prefix}, {"kind", kind},       {"timeout_s", timeout_s},
          {"aim_s", 0.4},    {"priority", 1},    {"service", service}, {"max_attempts", 2}};
}

inline std::string Config(int version, const nlohmann::json& services,
                          const nlohmann::json& routes) {
  return nlohmann::json{
      {"version", version},
      {"services", services},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 1048576},
        {"header_timeout_s", 3.0},
        {"idle_timeout_s", 15.0}}},
      {"hosts", nlohmann::json::array({{{"host", "h.example"}, {"paths", routes}}})}}
      .dump();
}

// A request with the headers that consumers send.
inline std::string Request(const std::string& method, const std::string& target,
                           const std::string& id, int timeout_ms, const std::string& more_headers,
                           const std::string& body = "") {
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
                     "\r\nX-Deadline-Ms: " + std::to_string(timeout_ms) + "\r\n" + more_headers;
  if (!body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

// Whether the disruption is played; TROUBLE=0 leaves it out.
inline bool HasTrouble() {
  const char* trouble = getenv("TROUBLE");
  return trouble == nullptr || std::string{trouble} != "0";
}

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Runs a case with the folder that the command line names.
template <typename Play>
int RunCase(int argc, char** argv, Play play) {
  constexpr unsigned kTimeLimitS = 115;
  if (argc < 2) {
    return kCouldNotRun;
  }
  LimitTime(kTimeLimitS);
  try {
    return play(std::string{argv[1]});
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return kCouldNotRun;
  }
}

}  // namespace review

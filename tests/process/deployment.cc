#include "process/deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <tuple>

#include "http/http_client.h"

extern char** environ;  // NOLINT(readability-identifier-naming)

namespace sycamorestall::testing {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kPollPeriod{20};
constexpr std::chrono::seconds kStartPatience{15};
constexpr std::chrono::seconds kServePatience{10};

std::uint16_t FreePort() {
  boost::asio::io_context context;
  const boost::asio::ip::tcp::acceptor acceptor{context,
                                                {boost::asio::ip::address_v4::loopback(), 0}};
  return acceptor.local_endpoint().port();
}

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

http::CallResult Ask(http::Method method, const std::string& url, const std::string& body = {}) {
  http::Call call;
  call.method = method;
  call.url = url;
  call.body = body;
  call.timeout = std::chrono::seconds{2};
  return http::CallAndWait(std::move(call));
}

json AskJson(const std::string& url) {
  return json::parse(Ask(http::Method::kGet, url).body, nullptr, false);
}

constexpr const char* kSettings = R"([daemon]
instance = "@NAME@"
domain = "@DOMAIN@"
http = "127.0.0.1:@HTTP@"
peer = "127.0.0.1:@PEER@"
allow_faults = true

[platform]
address = "@PLATFORM@"
list_interval_ms = 200

[ranks]
order = ["commands", "reads"]
commands = { reserved = 400 }
reads = { reserved = 400, limit = 3000 }

[services.soil]
rank = "reads"
shards = 16
domains = [@DOMAINS@]
slots = @SLOTS@
endpoints_check_token = @CHECKS@

[services.pumps]
rank = "commands"
shards = 16
domains = [@DOMAINS@]
slots = @SLOTS@
idempotent = false
endpoints_check_token = @CHECKS@
)";

void Fill(std::string& text, const std::string& mark, const std::string& value) {
  for (std::size_t at = text.find(mark); at != std::string::npos; at = text.find(mark, at)) {
    text.replace(at, mark.size(), value);
  }
}

}  // namespace

std::string Post(const std::string& url, const std::string& body) {
  return Ask(http::Method::kPost, url, body).body;
}

Deployment::Deployment(DeploymentPlan plan) : plan_(std::move(plan)) {
  std::string pattern = (std::filesystem::temp_directory_path() / "sycamorestall-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  folder_ = pattern;
  Spawn("platform", {"sycamorestall-fakes", "platform"});
  platform_ = "http://127.0.0.1:" + ReadPort("platform");
  for (const std::string& domain : plan_.domains) {
    for (const std::string service : {"soil", "pumps"}) {
      for (int i = 0; i < plan_.endpoints_per_domain; ++i) {
        const std::string name = service + "-" + domain + "-" + std::to_string(i);
        processes_[name].domain = domain;
        processes_[name].service = service;
        StartEndpoint(name);
      }
    }
    for (int i = 0; i < plan_.daemons_per_domain; ++i) {
      const std::string name = "daemon-" + domain + "-" + std::to_string(i);
      processes_[name].domain = domain;
      WriteSettings(name, domain);
      StartDaemon(name);
    }
  }
  ApplyLists();
}

Deployment::~Deployment() {
  for (const auto& [name, process] : processes_) {
    if (process.id > 0) {
      kill(process.id, SIGKILL);
      waitpid(process.id, nullptr, 0);
    }
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void Deployment::Spawn(const std::string& name, const std::vector<std::string>& arguments) {
  const std::string program = std::string(BUILD_FOLDER) + "/" + arguments.front();
  std::vector<std::string> copy = arguments;
  std::vector<char*> raw;
  for (std::string& argument : copy) {
    raw.push_back(argument.data());
  }
  raw.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string out = folder_ + "/" + name + ".out";
  const std::string log = folder_ + "/" + name + ".log";
  std::filesystem::remove(out);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, out.c_str(), O_WRONLY | O_CREAT, 0600);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  const int failed =
      posix_spawn(&processes_[name].id, program.c_str(), &actions, nullptr, raw.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    throw std::runtime_error("cannot start " + program);
  }
}

std::string Deployment::ReadPort(const std::string& name) const {
  const auto end = Clock::now() + kStartPatience;
  while (Clock::now() < end) {
    const std::string text = ReadFile(folder_ + "/" + name + ".out");
    const std::string prefix = "listening ";
    if (text.starts_with(prefix) && text.back() == '\n') {
      return text.substr(prefix.size(), text.size() - prefix.size() - 1);
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  throw std::runtime_error(name + " did not start");
}

void Deployment::StartEndpoint(const std::string& name) {
  Process& process = processes_[name];
  std::vector<std::string> arguments{"sycamorestall-fakes",
                                     "endpoint",
                                     "--id",
                                     name,
                                     "--slots",
                                     std::to_string(plan_.slots),
                                     "--service-us",
                                     std::to_string(plan_.service_us),
                                     "--checks-token",
                                     plan_.endpoints_check_token ? "true" : "false",
                                     "--journal",
                                     folder_ + "/" + name + ".journal"};
  if (!process.address.empty()) {
    arguments.insert(arguments.end(),
                     {"--port", process.address.substr(process.address.rfind(':') + 1)});
  }
  Spawn(name, arguments);
  process.address = "127.0.0.1:" + ReadPort(name);
  Enlist(name, process);
}

void Deployment::WriteSettings(const std::string& name, const std::string& domain) {
  http_ports_[name] = FreePort();
  processes_[name].address = "127.0.0.1:" + std::to_string(FreePort());
  std::string domains;
  for (const std::string& each : plan_.domains) {
    domains += (domains.empty() ? "\"" : ", \"") + each + "\"";
  }
  std::string text = kSettings;
  Fill(text, "@NAME@", name);
  Fill(text, "@DOMAIN@", domain);
  Fill(text, "@HTTP@", std::to_string(http_ports_[name]));
  Fill(text, "127.0.0.1:@PEER@", processes_[name].address);
  Fill(text, "@PLATFORM@", platform_);
  Fill(text, "@DOMAINS@", domains);
  Fill(text, "@SLOTS@", std::to_string(plan_.slots));
  Fill(text, "@CHECKS@", plan_.endpoints_check_token ? "true" : "false");
  std::ofstream(folder_ + "/" + name + ".toml") << text;
}

void Deployment::StartDaemon(const std::string& name) {
  Spawn(name, {"sycamorestall", "serve", "--config", folder_ + "/" + name + ".toml"});
  Enlist(name, processes_[name]);
}

void Deployment::MarkLeaving(const std::string& name) {
  Enlist(name, processes_.at(name), "leaving");
}

void Deployment::Enlist(const std::string& name, const Process& process,
                        const std::string& state) const {
  const json entry{{"domain", process.domain},
                   {"service", process.service},
                   {"address", process.address},
                   {"state", state}};
  Ask(http::Method::kPut, platform_ + "/admin/instances/" + name, entry.dump());
}

void Deployment::Delist(const std::string& name) {
  Ask(http::Method::kDelete, platform_ + "/admin/instances/" + name);
}

void Deployment::ApplyLists() const {
  const json plans{{"expected_version", 0},
                   {"change_id", "first-plans"},
                   {"author", "test"},
                   {"document", {{"plans", {{"large", {{"max_in_flight", 5000}}}}}}}};
  const json customers{{"expected_version", 0},
                       {"change_id", "first-customers"},
                       {"author", "test"},
                       {"document", {{"customers", {{"cafe", "large"}}}}}};
  const std::string any = origins().front();
  const auto end = Clock::now() + kStartPatience;
  while (Ask(http::Method::kPut, any + "/v1/plans", plans.dump()).status != 200 &&
         Clock::now() < end) {
    std::this_thread::sleep_for(kPollPeriod);
  }
  Ask(http::Method::kPut, any + "/v1/customers", customers.dump());
}

bool Deployment::WaitUntilServed() {
  const auto end = Clock::now() + kStartPatience;
  while (Clock::now() < end) {
    std::set<std::string> served;
    std::size_t ready = 0;
    for (const std::string& each : origins()) {
      const json status = AskJson(each + "/v1/status");
      if (!status.is_object()) {
        continue;
      }
      ready += status.at("ready").get<bool>() ? 1 : 0;
      for (const json& group : status.at("leads")) {
        if (group.at("unserved").get<int>() == 0) {
          served.insert(group.at("group").get<std::string>());
        }
      }
    }
    if (served.size() == 2 * plan_.domains.size() && ready > 0) {
      return true;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return false;
}

void Deployment::Signal(const std::string& name, int signal) {
  kill(processes_.at(name).id, signal);
}

void Deployment::Kill(const std::string& name, bool delist) {
  Signal(name, SIGKILL);
  waitpid(processes_.at(name).id, nullptr, 0);
  processes_.at(name).id = 0;
  if (delist) {
    Delist(name);
  }
}

int Deployment::Terminate(const std::string& name) {
  Signal(name, SIGTERM);
  int status = 0;
  waitpid(processes_.at(name).id, &status, 0);
  processes_.at(name).id = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void Deployment::PlatformFaults(const std::string& body) { Post(platform_ + "/faults", body); }

void Deployment::EndpointFaults(const std::string& name, const std::string& body) {
  Post("http://" + processes_.at(name).address + "/faults", body);
}

void Deployment::CutDomain(const std::string& domain, const std::vector<std::string>& others) {
  for (const auto& [name, port] : http_ports_) {
    const std::string& own = processes_.at(name).domain;
    const bool inside = own == domain;
    const bool affected = inside || std::find(others.begin(), others.end(), own) != others.end();
    const std::vector<std::string> one{domain};
    const json cut{{"cut_domains", inside ? others : one}};
    if (affected || others.empty()) {
      Post(origin(name) + "/v1/faults", others.empty() ? R"({"cut_domains":[]})" : cut.dump());
    }
  }
}

void Deployment::CutFromPlatform(const std::vector<std::string>& daemons) {
  PlatformFaults(json{{"cut_callers", daemons}}.dump());
}

std::string Deployment::origin(const std::string& daemon) const {
  return "http://127.0.0.1:" + std::to_string(http_ports_.at(daemon));
}

std::vector<std::string> Deployment::origins() const {
  std::vector<std::string> all;
  for (const auto& [name, port] : http_ports_) {
    if (processes_.at(name).id > 0) {
      all.push_back(origin(name));
    }
  }
  return all;
}

std::vector<std::string> Deployment::OriginsOf(const std::string& domain) const {
  std::vector<std::string> own;
  for (const auto& [name, port] : http_ports_) {
    if (processes_.at(name).domain == domain && processes_.at(name).id > 0) {
      own.push_back(origin(name));
    }
  }
  return own;
}

std::vector<std::string> Deployment::DaemonNames() const {
  std::vector<std::string> names;
  for (const auto& [name, port] : http_ports_) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string> Deployment::EndpointOrigins(const std::string& service) const {
  std::vector<std::string> found;
  for (const auto& [name, process] : processes_) {
    if (process.service == service) {
      found.push_back("http://" + process.address);
    }
  }
  return found;
}

std::string Deployment::LeaderOf(const std::string& group, const std::string& asked) const {
  const json status = AskJson(origin(asked) + "/v1/status");
  return status.is_object() ? status.at("leaders").value(group, "") : "";
}

std::string Deployment::OwnerOf(const std::string& service, const std::string& key) const {
  const json answer = AskJson(origins().front() + "/v1/explain/" + service + "/" + key);
  return answer.is_object() ? answer.value("owner", "") : "";
}

std::chrono::milliseconds Deployment::TimeUntilServed(const std::string& service,
                                                      const std::string& key,
                                                      const std::string& origin) const {
  const auto start = Clock::now();
  while (Clock::now() < start + kServePatience) {
    http::Call call;
    call.url = origin + "/v1/services/" + service + "/keys/" + key;
    call.headers = {{"Sycamorestall-Customer", "cafe"}, {"Sycamorestall-Timeout-Ms", "5000"}};
    call.timeout = std::chrono::seconds{6};
    const http::CallResult result = http::CallAndWait(std::move(call));
    const std::string* outcome = http::FindHeader(result.headers, "Sycamorestall-Outcome");
    if (outcome != nullptr && *outcome == "run") {
      break;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start);
}

std::string Deployment::SendRaw(const std::string& daemon, const std::string& bytes) const {
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket{context};
  socket.connect({boost::asio::ip::address_v4::loopback(), http_ports_.at(daemon)});
  boost::asio::write(socket, boost::asio::buffer(bytes));
  std::string answer;
  boost::system::error_code closed;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), closed);
  return answer;
}

std::string Deployment::LogOf(const std::string& name) const {
  // Daemons log to standard output.
  return ReadFile(folder_ + "/" + name + ".out");
}

}  // namespace sycamorestall::testing

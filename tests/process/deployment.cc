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

#include "fakes/free_port.h"
#include "http/http_client.h"
#include "http/status.h"

extern char** environ;  // NOLINT(readability-identifier-naming)

namespace sycamorestall::testing {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kPollInterval{20};
constexpr std::chrono::seconds kStartTimeout{15};
constexpr std::chrono::seconds kServeTimeout{10};

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

http::CallResult SendRequest(http::Method method, const std::string& url,
                             const std::string& body = {}) {
  http::Call call;
  call.method = method;
  call.url = url;
  call.body = body;
  call.timeout = std::chrono::seconds{2};
  return http::CallAndWait(std::move(call));
}

json GetJson(const std::string& url) {
  return json::parse(SendRequest(http::Method::kGet, url).body, nullptr, false);
}

constexpr const char* kSettingsTemplate = R"([daemon]
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

void ReplaceAll(std::string& text, const std::string& placeholder, const std::string& value) {
  for (std::size_t position = text.find(placeholder); position != std::string::npos;
       position = text.find(placeholder, position)) {
    text.replace(position, placeholder.size(), value);
  }
}

}  // namespace

std::string PostJson(const std::string& url, const std::string& body) {
  return SendRequest(http::Method::kPost, url, body).body;
}

Deployment::Deployment(DeploymentOptions options) : options_(std::move(options)) {
  std::string path_template =
      (std::filesystem::temp_directory_path() / "sycamorestall-XXXXXX").string();
  if (mkdtemp(path_template.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory");
  }
  directory_ = path_template;
  SpawnProcess("platform", {"sycamorestall-fakes", "platform"});
  platform_origin_ = "http://127.0.0.1:" + WaitForPort("platform");
  for (const std::string& domain : options_.domains) {
    for (const std::string service : {"soil", "pumps"}) {
      for (int i = 0; i < options_.endpoints_per_domain; ++i) {
        const std::string name = service + "-" + domain + "-" + std::to_string(i);
        processes_[name].domain = domain;
        processes_[name].service = service;
        StartEndpoint(name);
      }
    }
    for (int i = 0; i < options_.daemons_per_domain; ++i) {
      const std::string name = "daemon-" + domain + "-" + std::to_string(i);
      processes_[name].domain = domain;
      WriteSettingsFile(name, domain);
      StartDaemon(name);
    }
  }
  ApplyInitialDocuments();
}

Deployment::~Deployment() {
  for (const auto& [name, process] : processes_) {
    if (process.id > 0) {
      kill(process.id, SIGKILL);
      waitpid(process.id, nullptr, 0);
    }
  }
  // Logs of a run are kept on request.
  if (std::getenv("SYCAMORESTALL_KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }
}

void Deployment::SpawnProcess(const std::string& name, const std::vector<std::string>& arguments) {
  const std::string program = std::string(BUILD_FOLDER) + "/" + arguments.front();
  std::vector<std::string> mutable_arguments = arguments;
  std::vector<char*> argv;
  for (std::string& argument : mutable_arguments) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string out = directory_ + "/" + name + ".out";
  const std::string log = directory_ + "/" + name + ".log";
  std::filesystem::remove(out);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, out.c_str(), O_WRONLY | O_CREAT, 0600);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  const int error =
      posix_spawn(&processes_[name].id, program.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start " + program);
  }
}

std::string Deployment::WaitForPort(const std::string& name) const {
  const auto end = Clock::now() + kStartTimeout;
  while (Clock::now() < end) {
    const std::string text = ReadFile(directory_ + "/" + name + ".out");
    const std::string prefix = "listening ";
    if (text.starts_with(prefix) && text.back() == '\n') {
      return text.substr(prefix.size(), text.size() - prefix.size() - 1);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  throw std::runtime_error(name + " did not report its port in time");
}

void Deployment::StartEndpoint(const std::string& name) {
  Process& process = processes_[name];
  std::vector<std::string> arguments{"sycamorestall-fakes",
                                     "endpoint",
                                     "--id",
                                     name,
                                     "--slots",
                                     std::to_string(options_.slots),
                                     "--service-us",
                                     std::to_string(options_.service_us),
                                     "--checks-token",
                                     options_.endpoints_check_token ? "true" : "false",
                                     "--journal",
                                     directory_ + "/" + name + ".journal"};
  if (!process.address.empty()) {
    arguments.insert(arguments.end(),
                     {"--port", process.address.substr(process.address.rfind(':') + 1)});
  }
  SpawnProcess(name, arguments);
  process.address = "127.0.0.1:" + WaitForPort(name);
  RegisterInstance(name, process);
}

void Deployment::WriteSettingsFile(const std::string& name, const std::string& domain) {
  http_ports_[name] = fakes::PickFreePort();
  processes_[name].address = "127.0.0.1:" + std::to_string(fakes::PickFreePort());
  std::string domains;
  for (const std::string& each : options_.domains) {
    domains += (domains.empty() ? "\"" : ", \"") + each + "\"";
  }
  std::string text = kSettingsTemplate;
  ReplaceAll(text, "@NAME@", name);
  ReplaceAll(text, "@DOMAIN@", domain);
  ReplaceAll(text, "@HTTP@", std::to_string(http_ports_[name]));
  ReplaceAll(text, "127.0.0.1:@PEER@", processes_[name].address);
  ReplaceAll(text, "@PLATFORM@", platform_origin_);
  ReplaceAll(text, "@DOMAINS@", domains);
  ReplaceAll(text, "@SLOTS@", std::to_string(options_.slots));
  ReplaceAll(text, "@CHECKS@", options_.endpoints_check_token ? "true" : "false");
  std::ofstream(directory_ + "/" + name + ".toml") << text;
}

void Deployment::StartDaemon(const std::string& name) {
  SpawnProcess(name, {"sycamorestall", "serve", "--config", directory_ + "/" + name + ".toml"});
  RegisterInstance(name, processes_[name]);
}

void Deployment::MarkDraining(const std::string& name) {
  RegisterInstance(name, processes_.at(name), "leaving");
}

void Deployment::RegisterInstance(const std::string& name, const Process& process,
                                  const std::string& state) const {
  const json instance{{"domain", process.domain},
                      {"service", process.service},
                      {"address", process.address},
                      {"state", state}};
  const std::string url = platform_origin_ + "/admin/instances/" + name;
  const auto end = Clock::now() + kStartTimeout;
  while (SendRequest(http::Method::kPut, url, instance.dump()).status != http::kOk) {
    if (Clock::now() >= end) {
      throw std::runtime_error("the platform does not register " + name);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

void Deployment::DeregisterInstance(const std::string& name) {
  SendRequest(http::Method::kDelete, platform_origin_ + "/admin/instances/" + name);
}

void Deployment::ApplyInitialDocuments() const {
  const json plans{{"expected_version", 0},
                   {"change_id", "first-plans"},
                   {"author", "test"},
                   {"document", {{"plans", {{"large", {{"max_in_flight", 5000}}}}}}}};
  const json customers{{"expected_version", 0},
                       {"change_id", "first-customers"},
                       {"author", "test"},
                       {"document", {{"customers", {{"cafe", "large"}}}}}};
  const std::string daemon_origin = origins().front();
  const auto end = Clock::now() + kStartTimeout;
  while (SendRequest(http::Method::kPut, daemon_origin + "/v1/plans", plans.dump()).status != 200 &&
         Clock::now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
  SendRequest(http::Method::kPut, daemon_origin + "/v1/customers", customers.dump());
}

bool Deployment::WaitUntilServed() {
  const auto end = Clock::now() + kStartTimeout;
  while (Clock::now() < end) {
    std::set<std::string> served;
    std::size_t ready_daemons = 0;
    for (const std::string& each : origins()) {
      const json status = GetJson(each + "/v1/status");
      if (!status.is_object()) {
        continue;
      }
      ready_daemons += status.at("ready").get<bool>() ? 1 : 0;
      for (const json& group : status.at("leads")) {
        if (group.at("unserved").get<int>() == 0) {
          served.insert(group.at("group").get<std::string>());
        }
      }
    }
    if (served.size() == 2 * options_.domains.size() && ready_daemons > 0) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

void Deployment::Signal(const std::string& name, int signal) {
  kill(processes_.at(name).id, signal);
}

void Deployment::Kill(const std::string& name, bool deregister) {
  Signal(name, SIGKILL);
  waitpid(processes_.at(name).id, nullptr, 0);
  processes_.at(name).id = 0;
  if (deregister) {
    DeregisterInstance(name);
  }
}

int Deployment::Terminate(const std::string& name) {
  Signal(name, SIGTERM);
  int status = 0;
  waitpid(processes_.at(name).id, &status, 0);
  processes_.at(name).id = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void Deployment::SetPlatformFaults(const std::string& body) {
  PostJson(platform_origin_ + "/faults", body);
}

void Deployment::SetEndpointFaults(const std::string& name, const std::string& body) {
  PostJson("http://" + processes_.at(name).address + "/faults", body);
}

void Deployment::PartitionDomain(const std::string& domain,
                                 const std::vector<std::string>& others) {
  for (const auto& [name, port] : http_ports_) {
    const std::string& daemon_domain = processes_.at(name).domain;
    const bool in_domain = daemon_domain == domain;
    const bool affected =
        in_domain || std::find(others.begin(), others.end(), daemon_domain) != others.end();
    const std::vector<std::string> own_domain{domain};
    const json partition{{"cut_domains", in_domain ? others : own_domain}};
    if (affected || others.empty()) {
      PostJson(origin(name) + "/v1/faults",
               others.empty() ? R"({"cut_domains":[]})" : partition.dump());
    }
  }
}

void Deployment::PartitionFromPlatform(const std::vector<std::string>& daemons) {
  SetPlatformFaults(json{{"cut_callers", daemons}}.dump());
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

std::vector<std::string> Deployment::DomainOrigins(const std::string& domain) const {
  std::vector<std::string> domain_origins;
  for (const auto& [name, port] : http_ports_) {
    if (processes_.at(name).domain == domain && processes_.at(name).id > 0) {
      domain_origins.push_back(origin(name));
    }
  }
  return domain_origins;
}

std::vector<std::string> Deployment::DaemonNames() const {
  std::vector<std::string> names;
  for (const auto& [name, port] : http_ports_) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string> Deployment::EndpointOrigins(const std::string& service) const {
  std::vector<std::string> service_origins;
  for (const auto& [name, process] : processes_) {
    if (process.service == service) {
      service_origins.push_back("http://" + process.address);
    }
  }
  return service_origins;
}

std::string Deployment::LeaderOf(const std::string& group, const std::string& daemon) const {
  const json status = GetJson(origin(daemon) + "/v1/status");
  return status.is_object() ? status.at("leaders").value(group, "") : "";
}

std::string Deployment::OwnerOf(const std::string& service, const std::string& key) const {
  const json answer = GetJson(origins().front() + "/v1/explain/" + service + "/" + key);
  return answer.is_object() ? answer.value("owner", "") : "";
}

std::chrono::milliseconds Deployment::TimeUntilServed(const std::string& service,
                                                      const std::string& key,
                                                      const std::string& origin) const {
  const auto start = Clock::now();
  while (Clock::now() < start + kServeTimeout) {
    http::Call call;
    call.url = origin + "/v1/services/" + service + "/keys/" + key;
    call.headers = {{"Sycamorestall-Customer", "cafe"}, {"Sycamorestall-Timeout-Ms", "5000"}};
    call.timeout = std::chrono::seconds{6};
    const http::CallResult result = http::CallAndWait(std::move(call));
    const std::string* outcome = http::FindHeader(result.headers, "Sycamorestall-Outcome");
    if (outcome != nullptr && *outcome == "run") {
      break;
    }
    std::this_thread::sleep_for(kPollInterval);
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

std::string Deployment::ReadLog(const std::string& name) const {
  // Daemons log to standard output.
  return ReadFile(directory_ + "/" + name + ".out");
}

}  // namespace sycamorestall::testing

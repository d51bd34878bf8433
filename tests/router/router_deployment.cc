#include "router/router_deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "fakes/free_port.h"
#include "fakes/json_answer.h"

extern char** environ;

namespace sycamorestall::testing {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kPollInterval{20};
constexpr std::chrono::seconds kStartTimeout{15};
constexpr int kReceiveSlackMs = 1500;
constexpr int kSlots = 6;
constexpr int kManySlots = 100;

std::string MakeTempDirectory() {
  std::string path_template =
      (std::filesystem::temp_directory_path() / "router-test-XXXXXX").string();
  if (mkdtemp(path_template.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory");
  }
  return path_template;
}

// The program under test. SYCAMORESTALL_PROGRAM may name a copy, so that a build does not
// replace the program during a long run.
std::string ProgramPath() {
  const char* copy = std::getenv("SYCAMORESTALL_PROGRAM");
  return copy != nullptr ? copy : std::string{BUILD_FOLDER} + "/sycamorestall";
}

using Response = beast_http::response<beast_http::string_body>;
using Request = beast_http::request<beast_http::string_body>;

// Sends a request over a new connection; empty if no complete answer arrives in time.
std::optional<Response> SendOnce(std::uint16_t port, const Request& request, int timeout_ms) {
  asio::io_context context;
  asio::ip::tcp::socket socket{context};
  boost::system::error_code error;
  socket.connect({asio::ip::make_address("127.0.0.1"), port}, error);
  if (error) {
    return std::nullopt;
  }
  const auto seconds = std::chrono::seconds{timeout_ms / 1000};
  const std::chrono::microseconds microseconds = std::chrono::milliseconds{timeout_ms} - seconds;
  const timeval timeout{seconds.count(), microseconds.count()};
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  beast_http::write(socket, request, error);
  beast::flat_buffer buffer;
  Response response;
  if (!error) {
    beast_http::read(socket, buffer, response, error);
  }
  return error ? std::nullopt : std::optional{response};
}

std::string Header(const Response& response, const char* name) {
  const auto found = response.find(name);
  return found == response.end() ? "" : std::string{found->value()};
}

std::string EndpointEntryJson(const std::string& service, const NetworkAddress& address, int slots,
                              const std::string& state, std::uint64_t start,
                              std::uint64_t heartbeat = 1, const std::string& domain = "north",
                              double warm_up_left_s = 0) {
  return json{{"service", service},
              {"address", ToString(address)},
              {"zone", domain},
              {"version", "v1"},
              {"max_concurrency", slots},
              {"state", state},
              {"warmup_left_s", warm_up_left_s},
              {"seq", heartbeat},
              {"born", start}}
      .dump();
}

std::string TomlLoopbackAddress(std::uint16_t port) {
  return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
}

}  // namespace

RouterDeployment::RouterDeployment(int daemons, int soil_endpoints, int pump_endpoints,
                                   ConnectionKind connection_kind,
                                   const std::string& daemon_settings,
                                   const std::vector<std::string>& domains)
    : connection_kind_(connection_kind), directory_(MakeTempDirectory()) {
  for (int i = 0; i < soil_endpoints; ++i) {
    soil.push_back(std::make_unique<fakes::KeyEndpoint>("soil-" + std::to_string(i), true));
    AddProxyFor(*soil.back());
    RegisterEndpoint(*soil.back());
  }
  for (int i = 0; i < pump_endpoints; ++i) {
    pumps.push_back(std::make_unique<fakes::KeyEndpoint>("pump-" + std::to_string(i), false));
    AddProxyFor(*pumps.back());
    RegisterEndpoint(*pumps.back());
  }
  WriteConfig(1);
  for (int i = 0; i < daemons; ++i) {
    Daemon daemon;
    daemon.caller_port = fakes::PickFreePort();
    daemon.readiness_port = fakes::PickFreePort();
    daemon.metrics_port = fakes::PickFreePort();
    daemon.peer_port = fakes::PickFreePort();
    const std::string name = "d" + std::to_string(i);
    const auto number = static_cast<std::size_t>(i);
    const std::string domain = number < domains.size() ? domains[number] : "north";
    daemon.settings_path = directory_ + "/" + name + ".toml";
    daemon.log_path = directory_ + "/" + name + ".log";
    std::ofstream(daemon.settings_path)
        << "[daemon]\ninstance = \"" << name << "\"\ndomain = \"" << domain
        << "\"\ncallers = " << TomlLoopbackAddress(daemon.caller_port)
        << "readiness = " << TomlLoopbackAddress(daemon.readiness_port)
        << "metrics = " << TomlLoopbackAddress(daemon.metrics_port)
        << "peer = " << TomlLoopbackAddress(daemon.peer_port) << daemon_settings
        << "[store]\naddress = " << TomlLoopbackAddress(AddressThroughProxy(store.address()).port)
        << "[endpoints]\nevacuation_s = 5\ncold_rate_factor = 1.5\ncold_rate_slack = 8\n";
    if (connection_kind_ == ConnectionKind::kAllProxied) {
      AddPeerProxy(name, daemon.peer_port);
    }
    daemons_.push_back(daemon);
    StartDaemon(daemons_.size() - 1);
  }
}

RouterDeployment::~RouterDeployment() {
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    if (daemons_[i].pid > 0) {
      kill(daemons_[i].pid, SIGKILL);
      waitpid(daemons_[i].pid, nullptr, 0);
    }
  }
  // Logs of a long run are kept on request.
  if (std::getenv("SYCAMORESTALL_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(directory_);
  }
}

void RouterDeployment::StartDaemon(std::size_t number) {
  Daemon& daemon = daemons_.at(number);
  const std::string program = ProgramPath();
  std::vector<std::string> argument_texts{program, "route", "--config", daemon.settings_path};
  std::vector<char*> arguments;
  for (std::string& argument_text : argument_texts) {
    arguments.push_back(argument_text.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, daemon.log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  // Otherwise the ports of endpoints that have crashed would stay open in the daemon.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int failed =
      posix_spawn(&daemon.pid, program.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    throw std::runtime_error("cannot start " + program);
  }
}

bool RouterDeployment::IsRunning(std::size_t number) {
  Daemon& daemon = daemons_.at(number);
  if (daemon.pid > 0 && waitpid(daemon.pid, nullptr, WNOHANG) == daemon.pid) {
    daemon.pid = 0;
  }
  return daemon.pid > 0;
}

NetworkAddress RouterDeployment::AddressThroughProxy(const NetworkAddress& target) {
  if (connection_kind_ == ConnectionKind::kDirect) {
    return target;
  }
  proxies.push_back(std::make_unique<fakes::FaultProxy>(target));
  return proxies.back()->address();
}

void RouterDeployment::AddProxyFor(const fakes::KeyEndpoint& endpoint) {
  if (connection_kind_ != ConnectionKind::kDirect) {
    proxy_addresses_[endpoint.id()] = AddressThroughProxy(endpoint.address());
  }
}

void RouterDeployment::AddPeerProxy(const std::string& daemon, std::uint16_t peer_port) {
  const auto seed = static_cast<std::uint32_t>(peer_proxies_.size() + 1);
  peer_proxies_.push_back(
      std::make_unique<fakes::DatagramProxy>(NetworkAddress{"127.0.0.1", peer_port}, seed));
  registered_ports_["sycamorestall/daemons/" + daemon] = peer_proxies_.back()->address().port;
  store.SetWriteFilter(
      [ports = registered_ports_](const std::string& key, const std::string& value) {
        const auto port = ports.find(key);
        if (port == ports.end()) {
          return value;
        }
        json entry = json::parse(value);
        entry["port"] = port->second;
        return entry.dump();
      });
}

void RouterDeployment::SendSignal(std::size_t number, int signal) {
  kill(daemons_.at(number).pid, signal);
}

int RouterDeployment::WaitForExit(std::size_t number, int seconds) {
  Daemon& daemon = daemons_.at(number);
  const auto end = Clock::now() + std::chrono::seconds{seconds};
  while (Clock::now() < end) {
    int status = 0;
    if (waitpid(daemon.pid, &status, WNOHANG) == daemon.pid) {
      daemon.pid = 0;
      return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return -1;
}

std::string RouterDeployment::ReadLog(std::size_t number) const {
  std::ifstream stream(daemons_.at(number).log_path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

void RouterDeployment::WriteConfig(int version, const std::string& pump_prefix, int unused_routes,
                                   int route_timeout_s) {
  const auto route = [route_timeout_s](const std::string& prefix, const std::string& kind,
                                       const std::string& service) {
    return json{
        {"name", service}, {"prefix", prefix}, {"kind", kind},       {"timeout_s", route_timeout_s},
        {"aim_s", 0.4},    {"priority", 1},    {"service", service}, {"max_attempts", 2}};
  };
  json routes{route("/soil/", "safe", "soil"), route(pump_prefix, "unsafe", "pumps")};
  std::mt19937_64 random{1};
  for (int i = 0; i < unused_routes; ++i) {
    std::string prefix = "/";
    for (int word = 0; word < 2; ++word) {
      prefix += std::to_string(random());
    }
    routes.push_back(route(prefix + "/", "safe", "soil"));
  }
  json services{{{"name", "soil"}, {"sharded", true}, {"warm_s", 2.0}}, {{"name", "pumps"}}};
  for (json& service : services) {
    service["warmup_s"] = 3;
    service["warmup_per_s"] = cold_rate;
    if (!health_path.empty()) {
      service["health_path"] = health_path;
    }
  }
  const json body{{"version", version},
                  {"services", services},
                  {"limits",
                   {{"max_header_bytes", 16384},
                    {"max_body_bytes", max_body_bytes_},
                    {"header_timeout_s", 3},
                    {"idle_timeout_s", 15}}},
                  {"hosts", {{{"host", "h.example"}, {"paths", routes}}}}};
  store.Put("op/config", body.dump());
}

std::string RouterDeployment::NextEntry(const fakes::KeyEndpoint& endpoint,
                                        const std::string& state, std::uint64_t start,
                                        const std::string& domain, double warm_up_left_s) {
  const bool owns_keys = endpoint.id().starts_with("soil");
  const bool proxied = proxy_addresses_.contains(endpoint.id());
  const NetworkAddress address = proxied ? proxy_addresses_.at(endpoint.id()) : endpoint.address();
  const std::uint64_t heartbeat = ++heartbeats_[{endpoint.id(), start}];
  return EndpointEntryJson(owns_keys ? "soil" : "pumps", address, kSlots, state, start, heartbeat,
                           domain, warm_up_left_s);
}

void RouterDeployment::RegisterEndpoint(const fakes::KeyEndpoint& endpoint,
                                        const std::string& state, std::uint64_t start,
                                        const std::string& domain, double warm_up_left_s) {
  WriteEntry(endpoint, NextEntry(endpoint, state, start, domain, warm_up_left_s));
}

void RouterDeployment::WriteEntry(const fakes::KeyEndpoint& endpoint, const std::string& entry) {
  store.Put("servers/" + endpoint.id(), entry);
}

void RouterDeployment::RegisterPumpAt(const std::string& id, const NetworkAddress& address) {
  store.Put("servers/" + id, EndpointEntryJson("pumps", address, kManySlots, "ready", 1));
}

void RouterDeployment::RegisterSoilAt(const std::string& id, const NetworkAddress& address) {
  store.Put("servers/" + id, EndpointEntryJson("soil", address, kManySlots, "ready", 1));
}

std::size_t RouterDeployment::PeakMemoryBytes(std::size_t number) const {
  std::ifstream status("/proc/" + std::to_string(daemons_.at(number).pid) + "/status");
  for (std::string word; status >> word;) {
    if (word == "VmHWM:") {
      std::size_t kilobytes = 0;
      status >> kilobytes;
      return kilobytes * 1024;
    }
  }
  throw std::runtime_error("the daemon's memory use is not known");
}

std::size_t RouterDeployment::OpenDescriptors(std::size_t number) const {
  const std::filesystem::directory_iterator descriptors{
      "/proc/" + std::to_string(daemons_.at(number).pid) + "/fd"};
  return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

void RouterDeployment::DeregisterEndpoint(const fakes::KeyEndpoint& endpoint) {
  store.Remove("servers/" + endpoint.id());
}

CallerAnswer RouterDeployment::SendRequest(std::size_t daemon, CallerRequest call) {
  Request request{beast_http::string_to_verb(call.method), call.path, 11};
  if (call.id.empty()) {
    call.id = "test-" + std::to_string(next_id_++);
  }
  request.set(beast_http::field::host, "h.example");
  request.set("X-Request-Id", call.id);
  request.set("X-Deadline-Ms", std::to_string(call.timeout_ms));
  if (call.key) {
    request.set("X-Shard-Key", std::to_string(*call.key));
  }
  if (!call.body.empty()) {
    request.body() = call.body;
    request.prepare_payload();
  }
  const auto response =
      SendOnce(daemons_.at(daemon).caller_port, request, call.timeout_ms + kReceiveSlackMs);
  if (!response) {
    return {};
  }
  return {static_cast<int>(response->result_int()), Header(*response, "X-Request-Id"),
          response->body(), Header(*response, "Retry-After")};
}

int RouterDeployment::ReadinessStatus(std::size_t daemon) {
  const auto response = SendOnce(daemons_.at(daemon).readiness_port,
                                 Request{beast_http::verb::get, "/v1/ready", 11}, 500);
  return response ? static_cast<int>(response->result_int()) : 0;
}

bool RouterDeployment::ServesPumpsWithin(std::size_t daemon, const std::string& pump_prefix,
                                         std::chrono::milliseconds time) {
  const auto end = Clock::now() + time;
  while (Clock::now() < end) {
    if (SendRequest(daemon, {.path = pump_prefix + "1", .method = "POST"}).status == 200) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

fakes::FaultProxy& RouterDeployment::StoreProxy(std::size_t daemon) {
  return *proxies.at(soil.size() + pumps.size() + daemon);
}

std::string RouterDeployment::FetchMetrics(std::size_t daemon) {
  const auto response = SendOnce(daemons_.at(daemon).metrics_port,
                                 Request{beast_http::verb::get, "/metrics", 11}, 500);
  return response ? response->body() : "";
}

bool RouterDeployment::WaitUntilServed() {
  const auto end = Clock::now() + kStartTimeout;
  while (Clock::now() < end) {
    bool served = true;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      served = served && ReadinessStatus(i) == 200 && SendRequest(i, {.key = 1}).status == 200 &&
               SendRequest(i, {.key = kKeyCount - 1}).status == 200;
    }
    if (served) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

}  // namespace sycamorestall::testing

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

#include "fakes/json_answer.h"

extern char** environ;

namespace sycamorestall::testing {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kPollPeriod{20};
constexpr std::chrono::seconds kStartPatience{15};
constexpr int kCallSlackMs = 1500;

std::string MakeFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "router-test-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no folder for the test");
  }
  return pattern;
}

// The program to be run; a copy can be named, so that a long run is not disturbed by a
// build.
std::string Program() {
  const char* copy = std::getenv("SYCAMORESTALL_PROGRAM");
  return copy != nullptr ? copy : std::string{BUILD_FOLDER} + "/sycamorestall";
}

// A port that nobody listens on, and that no outgoing connection is given either while
// a daemon is down.
std::uint16_t FreePort() {
  constexpr int kFirst = 10'240;
  constexpr int kLast = 32'000;
  std::random_device device;
  std::uniform_int_distribution<int> draw{kFirst, kLast};
  for (;;) {
    const auto port = static_cast<std::uint16_t>(draw(device));
    asio::io_context context;
    asio::ip::tcp::socket socket{context, asio::ip::tcp::v4()};
    boost::system::error_code error;
    socket.bind({asio::ip::address_v4::loopback(), port}, error);
    if (!error) {
      return port;
    }
  }
}

using Response = beast_http::response<beast_http::string_body>;
using Request = beast_http::request<beast_http::string_body>;

// Asks over a connection of its own; empty when nothing whole comes in time.
std::optional<Response> AskOnce(std::uint16_t port, const Request& request, int patience_ms) {
  asio::io_context context;
  asio::ip::tcp::socket socket{context};
  boost::system::error_code error;
  socket.connect({asio::ip::make_address("127.0.0.1"), port}, error);
  if (error) {
    return std::nullopt;
  }
  const auto whole = std::chrono::seconds{patience_ms / 1000};
  const std::chrono::microseconds rest = std::chrono::milliseconds{patience_ms} - whole;
  const timeval patience{whole.count(), rest.count()};
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
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

std::string Local(std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; }

}  // namespace

RouterDeployment::RouterDeployment(int daemons, int soil_endpoints, int pump_endpoints, Links links)
    : link_kind_(links), folder_(MakeFolder()) {
  for (int i = 0; i < soil_endpoints; ++i) {
    soil.push_back(std::make_unique<fakes::KeyEndpoint>("soil-" + std::to_string(i), true));
    PutBehind(*soil.back());
    Enlist(*soil.back());
  }
  for (int i = 0; i < pump_endpoints; ++i) {
    pumps.push_back(std::make_unique<fakes::KeyEndpoint>("pump-" + std::to_string(i), false));
    PutBehind(*pumps.back());
    Enlist(*pumps.back());
  }
  Configure(1);
  for (int i = 0; i < daemons; ++i) {
    Daemon daemon;
    daemon.callers = FreePort();
    daemon.readiness = FreePort();
    daemon.metrics = FreePort();
    const std::string name = "d" + std::to_string(i);
    daemon.settings = folder_ + "/" + name + ".toml";
    daemon.log = folder_ + "/" + name + ".log";
    std::ofstream(daemon.settings)
        << "[daemon]\ninstance = \"" << name
        << "\"\ndomain = \"north\"\ncallers = " << Local(daemon.callers)
        << "readiness = " << Local(daemon.readiness) << "metrics = " << Local(daemon.metrics)
        << "peer = " << Local(FreePort())
        << "[store]\naddress = " << Local(Behind(store.address()).port);
    daemons_.push_back(daemon);
    StartDaemon(daemons_.size() - 1);
  }
}

RouterDeployment::~RouterDeployment() {
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    if (daemons_[i].process > 0) {
      kill(daemons_[i].process, SIGKILL);
      waitpid(daemons_[i].process, nullptr, 0);
    }
  }
  // What a long run has shown can be read afterwards.
  if (std::getenv("SYCAMORESTALL_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_);
  }
}

void RouterDeployment::StartDaemon(std::size_t number) {
  Daemon& daemon = daemons_.at(number);
  const std::string program = Program();
  std::vector<std::string> words{program, "route", "--config", daemon.settings};
  std::vector<char*> arguments;
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, daemon.log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  const int failed =
      posix_spawn(&daemon.process, program.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    throw std::runtime_error("cannot start " + program);
  }
}

bool RouterDeployment::IsRunning(std::size_t number) {
  Daemon& daemon = daemons_.at(number);
  if (daemon.process > 0 && waitpid(daemon.process, nullptr, WNOHANG) == daemon.process) {
    daemon.process = 0;
  }
  return daemon.process > 0;
}

NetworkAddress RouterDeployment::Behind(const NetworkAddress& target) {
  if (link_kind_ == Links::kStraight) {
    return target;
  }
  links.push_back(std::make_unique<fakes::FaultProxy>(target));
  return links.back()->address();
}

void RouterDeployment::PutBehind(const fakes::KeyEndpoint& endpoint) {
  if (link_kind_ == Links::kThroughProxies) {
    proxied_[endpoint.id()] = Behind(endpoint.address());
  }
}

void RouterDeployment::Signal(std::size_t number, int signal) {
  kill(daemons_.at(number).process, signal);
}

int RouterDeployment::Await(std::size_t number, int seconds) {
  Daemon& daemon = daemons_.at(number);
  const auto end = Clock::now() + std::chrono::seconds{seconds};
  while (Clock::now() < end) {
    int status = 0;
    if (waitpid(daemon.process, &status, WNOHANG) == daemon.process) {
      daemon.process = 0;
      return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return -1;
}

std::string RouterDeployment::Log(std::size_t number) const {
  std::ifstream stream(daemons_.at(number).log);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

void RouterDeployment::Configure(int version, const std::string& pump_prefix) {
  const auto route = [](const std::string& prefix, const std::string& kind,
                        const std::string& service) {
    return json{{"name", service}, {"prefix", prefix}, {"kind", kind},       {"timeout_s", 1},
                {"aim_s", 0.4},    {"priority", 1},    {"service", service}, {"max_attempts", 2}};
  };
  const json body{
      {"version", version},
      {"services", {{{"name", "soil"}, {"sharded", true}, {"warm_s", 2.0}}, {{"name", "pumps"}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 1 << 20},
        {"header_timeout_s", 3},
        {"idle_timeout_s", 15}}},
      {"hosts",
       {{{"host", "h.example"},
         {"paths", {route("/soil/", "safe", "soil"), route(pump_prefix, "unsafe", "pumps")}}}}}};
  store.Put("op/config", body.dump());
}

void RouterDeployment::Enlist(const fakes::KeyEndpoint& endpoint, const std::string& state,
                              std::uint64_t start) {
  const bool owns_keys = endpoint.id().starts_with("soil");
  const bool proxied = proxied_.contains(endpoint.id());
  const json entry{{"service", owns_keys ? "soil" : "pumps"},
                   {"address", ToString(proxied ? proxied_.at(endpoint.id()) : endpoint.address())},
                   {"zone", "north"},
                   {"version", "v1"},
                   {"max_concurrency", 6},
                   {"state", state},
                   {"warmup_left_s", 0},
                   {"seq", 1},
                   {"born", start}};
  store.Put("servers/" + endpoint.id(), entry.dump());
}

void RouterDeployment::Delist(const fakes::KeyEndpoint& endpoint) {
  store.Remove("servers/" + endpoint.id());
}

CallerAnswer RouterDeployment::Ask(std::size_t daemon, CallerCall call) {
  Request request{beast_http::string_to_verb(call.method), call.path, 11};
  if (call.id.empty()) {
    call.id = "test-" + std::to_string(next_id_++);
  }
  request.set(beast_http::field::host, "h.example");
  request.set("X-Request-Id", call.id);
  request.set("X-Deadline-Ms", std::to_string(call.patience_ms));
  if (call.key) {
    request.set("X-Shard-Key", std::to_string(*call.key));
  }
  if (!call.body.empty()) {
    request.body() = call.body;
    request.prepare_payload();
  }
  const auto response =
      AskOnce(daemons_.at(daemon).callers, request, call.patience_ms + kCallSlackMs);
  if (!response) {
    return {};
  }
  return {static_cast<int>(response->result_int()), Header(*response, "X-Request-Id"),
          response->body(), Header(*response, "Retry-After")};
}

int RouterDeployment::Readiness(std::size_t daemon) {
  const auto response =
      AskOnce(daemons_.at(daemon).readiness, Request{beast_http::verb::get, "/v1/ready", 11}, 500);
  return response ? static_cast<int>(response->result_int()) : 0;
}

std::string RouterDeployment::Metrics(std::size_t daemon) {
  const auto response =
      AskOnce(daemons_.at(daemon).metrics, Request{beast_http::verb::get, "/metrics", 11}, 500);
  return response ? response->body() : "";
}

bool RouterDeployment::WaitUntilServed() {
  const auto end = Clock::now() + kStartPatience;
  while (Clock::now() < end) {
    bool served = true;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      served = served && Readiness(i) == 200 && Ask(i, {.key = 1}).status == 200 &&
               Ask(i, {.key = kKeyCount - 1}).status == 200;
    }
    if (served) {
      return true;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return false;
}

}  // namespace sycamorestall::testing

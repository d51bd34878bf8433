#include "soak/stop_soak.h"

#include <signal.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <thread>

namespace sycamorestall::testing {

namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kSoilEndpoints = 2;
constexpr int kPumpEndpoints = 4;
constexpr int kCallersPerDaemon = 4;
constexpr int kRouteTimeoutS = 9;
constexpr int kMinCallerTimeoutMs = 800;
constexpr int kCallerTimeoutRangeMs = 6000;
constexpr std::chrono::seconds kReceiveTimeout{8};
// A daemon would be killed this long after its signal.
constexpr std::chrono::seconds kStopTimeout{6};
constexpr int kMaxServiceTimeMs = 1500;
constexpr int kMaxPauseMs = 3000;
// A request may still run for this long after its caller has left.
constexpr std::chrono::seconds kRequestDrainTime{2};

int RandomBelow(std::mt19937_64& random, int below) {
  return std::uniform_int_distribution<int>{0, below - 1}(random);
}

std::string FormatRequest(const std::string& id, bool is_command, std::mt19937_64& random) {
  const int timeout_ms = kMinCallerTimeoutMs + RandomBelow(random, kCallerTimeoutRangeMs);
  return std::string{is_command ? "POST /pumps/1" : "GET /soil/1"} +
         " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(timeout_ms) +
         (is_command ? "\r\nContent-Length: 4\r\n\r\nbody" : "\r\nX-Shard-Key: 7\r\n\r\n");
}

void SetReceiveTimeout(asio::ip::tcp::socket& socket) {
  const timeval timeout{kReceiveTimeout.count(), 0};
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
}

}  // namespace

StopSoak::StopSoak(std::uint64_t seed)
    : random_(seed), deployment_(kDaemons, kSoilEndpoints, kPumpEndpoints) {}

void StopSoak::ReportViolation(const std::string& text) {
  const std::lock_guard lock{mutex_};
  report_.violations.push_back(text);
}

void StopSoak::ChooseEndpointFaults() {
  for (const auto& endpoint : deployment_.pumps) {
    endpoint->SetServiceTime(milliseconds{5 + RandomBelow(random_, kMaxServiceTimeMs)});
  }
  if (RandomBelow(random_, 2) == 0) {
    deployment_.pumps.front()->SetFault(fakes::EndpointFault::kSilent);
  }
}

void StopSoak::StopRepeatedly(std::size_t number, std::uint64_t seed) {
  std::mt19937_64 random{seed};
  const std::string name = "daemon " + std::to_string(number);
  while (Clock::now() < end_) {
    std::this_thread::sleep_for(milliseconds{RandomBelow(random, kMaxPauseMs)});
    if (RandomBelow(random, 4) == 0) {
      deployment_.SendSignal(number, SIGHUP);
    }
    const auto signal_at = Clock::now();
    deployment_.SendSignal(number, SIGTERM);
    if (RandomBelow(random, 4) == 0) {
      std::this_thread::sleep_for(milliseconds{RandomBelow(random, 1000)});
      deployment_.SendSignal(number, SIGTERM);
    }
    if (deployment_.WaitForExit(number) != 0 || Clock::now() - signal_at > kStopTimeout) {
      ReportViolation(name + " did not exit properly within 6 s of SIGTERM");
    }
    {
      const std::lock_guard lock{mutex_};
      ++report_.stops;
    }
    std::this_thread::sleep_for(milliseconds{RandomBelow(random, 500)});
    deployment_.StartDaemon(number);
    std::this_thread::sleep_for(milliseconds{500});
  }
}

void StopSoak::UseConnection(std::size_t number, std::mt19937_64& random,
                             const std::string& id_prefix) {
  asio::io_context context;
  asio::ip::tcp::socket socket{context};
  boost::system::error_code error;
  socket.connect({asio::ip::address_v4::loopback(), deployment_.CallerPort(number)}, error);
  SetReceiveTimeout(socket);
  boost::beast::flat_buffer buffer;
  for (int batch = 0; !error && !stopping_; ++batch) {
    const int pipelined = 1 + RandomBelow(random, 3);
    std::string bytes;
    std::vector<std::string> ids;
    for (int i = 0; i < pipelined; ++i) {
      ids.push_back(id_prefix + "-" + std::to_string(batch) + "-" + std::to_string(i));
      const bool is_command = RandomBelow(random, 2) == 0;
      bytes += FormatRequest(ids.back(), is_command, random);
      const std::lock_guard lock{mutex_};
      outcomes_[ids.back()].is_command = is_command;
    }
    asio::write(socket, asio::buffer(bytes), error);
    for (const std::string& id : ids) {
      beast_http::response<beast_http::string_body> response;
      if (!error) {
        beast_http::read(socket, buffer, response, error);
      }
      if (error) {
        break;
      }
      if (response["X-Request-Id"] != id) {
        ReportViolation(id + " got the answer of " + std::string{response["X-Request-Id"]});
      }
      {
        const std::lock_guard lock{mutex_};
        outcomes_[id].status = static_cast<int>(response.result_int());
      }
      if (!response.keep_alive()) {
        return;
      }
    }
    std::this_thread::sleep_for(milliseconds{
        RandomBelow(random, 10) == 0 ? RandomBelow(random, kMaxPauseMs) : RandomBelow(random, 20)});
  }
}

void StopSoak::SendUntilStopped(std::size_t number, std::uint64_t seed) {
  std::mt19937_64 random{seed};
  for (int connection = 0; !stopping_; ++connection) {
    UseConnection(number, random, std::to_string(seed) + "-" + std::to_string(connection));
    std::this_thread::sleep_for(milliseconds{RandomBelow(random, 50)});
  }
}

void StopSoak::CheckOutcomes() {
  std::map<std::string, int> runs;
  for (const auto* endpoints : {&deployment_.soil, &deployment_.pumps}) {
    for (const auto& endpoint : *endpoints) {
      for (const auto& [id, count] : endpoint->ExecutionCounts()) {
        runs[id] += count;
      }
    }
  }
  for (const auto& [id, outcome] : outcomes_) {
    const int count = runs.contains(id) ? runs[id] : 0;
    ++report_.requests;
    report_.answered += outcome.status != 0 ? 1 : 0;
    report_.refused += outcome.status == 503 ? 1 : 0;
    report_.unanswered += outcome.status == 0 ? 1 : 0;
    if (outcome.status == 0 && count > 0) {
      report_.violations.push_back(id + " ran but was not answered");
    }
    if (outcome.is_command && outcome.status == 503 && count > 0) {
      report_.violations.push_back(id + " was refused as not run but ran");
    }
    if (outcome.is_command && count > 1) {
      report_.violations.push_back(id + " ran " + std::to_string(count) + " times");
    }
  }
}

StopSoakReport StopSoak::Run(std::chrono::seconds duration) {
  if (!deployment_.WaitUntilServed()) {
    ReportViolation("the deployment was not served at the start");
    return report_;
  }
  deployment_.WriteConfig(2, "/pumps/", 0, kRouteTimeoutS);
  ChooseEndpointFaults();
  end_ = Clock::now() + duration;
  std::vector<std::thread> stops;
  std::vector<std::thread> callers;
  std::uint64_t caller_seed = 0;
  for (std::size_t number = 0; number < kDaemons; ++number) {
    stops.emplace_back([this, number, seed = random_()] { StopRepeatedly(number, seed); });
    for (int i = 0; i < kCallersPerDaemon; ++i) {
      callers.emplace_back(
          [this, number, seed = ++caller_seed] { SendUntilStopped(number, seed); });
    }
  }
  for (std::thread& thread : stops) {
    thread.join();
  }
  stopping_ = true;
  for (std::thread& thread : callers) {
    thread.join();
  }
  std::this_thread::sleep_for(kRequestDrainTime);
  CheckOutcomes();
  return report_;
}

}  // namespace sycamorestall::testing

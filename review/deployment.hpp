// The daemons' settings and addresses, the operator's configuration, and callers.
#pragma once

#include <csignal>
#include <fstream>

#include "record.hpp"
#include "store.hpp"

namespace standin {

// The limits in the settings of a small machine.
constexpr int kMaxDescriptors = 4100;

struct DaemonPorts {
  std::uint16_t callers = 0;
  std::uint16_t readiness = 0;
};

// Writes settings files DIRECTORY/0.toml and so on, like those made from deploy/router.toml.in, and
// DIRECTORY/ports, from which LoadPorts() reads.
inline void PrepareSettings(const std::string& directory, int daemons) {
  const auto ports = PickFreePorts(1 + 4 * static_cast<std::size_t>(daemons));
  std::ofstream index{directory + "/ports"};
  index << ports[0] << "\n";
  for (int i = 0; i < daemons; ++i) {
    const std::uint16_t* own = &ports[1 + 4 * static_cast<std::size_t>(i)];
    const auto address = [](std::uint16_t port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    std::ofstream file{directory + "/" + std::to_string(i) + ".toml"};
    file << "[daemon]\ninstance = \"edge-" << i << "\"\ndomain = \"zone-" << i
         << "\"\nweight = 0.2\ncallers = " << address(own[0]) << "readiness = " << address(own[1])
         << "metrics = " << address(own[2]) << "peer = " << address(own[3])
         << "stop_s = 6\nmax_descriptors = " << kMaxDescriptors << "\nlog_level = \"info\"\n\n"
         << "[store]\naddress = " << address(ports[0])
         << "\n[retries]\nshare = 0.2\nextra = 56\nwindow_s = 10\n\n[grants]\nmax_s = 10\n";
    index << own[0] << " " << own[1] << "\n";
  }
}

struct Ports {
  std::uint16_t store = 0;
  std::vector<DaemonPorts> daemons;
};

inline Ports LoadPorts(const std::string& directory) {
  std::ifstream file{directory + "/ports"};
  Ports ports;
  file >> ports.store;
  DaemonPorts daemon;
  while (file >> daemon.callers >> daemon.readiness) ports.daemons.push_back(daemon);
  return ports;
}

// Waits until all daemons answer that they are ready.
inline bool WaitUntilReady(const Ports& ports, double seconds) {
  const auto start = Clock::now();
  for (const DaemonPorts& each : ports.daemons) {
    for (;;) {
      if (SecondsSince(start) > seconds) return false;
      const auto connection = Connection::Open(each.readiness);
      if (connection && connection->Write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
        const auto answer = connection->Read(Clock::now() + milliseconds{500});
        if (answer && answer->Status() == 200) break;
      }
      Sleep(0.1);
    }
  }
  return true;
}

inline json Limits() {
  return {{"max_header_bytes", 16384},
          {"max_body_bytes", 67108864},
          {"header_timeout_s", 3},
          {"idle_timeout_s", 15}};
}

inline json Service(const std::string& name) {
  return {{"name", name},
          {"health_path", "/health"},
          {"max_conns", 110},
          {"protocol", "h1"},
          {"tls", false}};
}

inline std::string RequestText(const std::string& method, const std::string& path,
                               const std::string& host, const std::string& id, int timeout_ms,
                               const std::string& body = "") {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                     "\r\nX-Request-Id: " + id +
                     "\r\nX-Deadline-Ms: " + std::to_string(timeout_ms) + "\r\n";
  if (method != "GET") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// An id for a request; each attempt has its own.
inline std::string NewRequestId() {
  static std::atomic<std::uint64_t> next{static_cast<std::uint64_t>(getpid()) << 32};
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++next));
  return text;
}

// Runs `run`, ends the process with its result, and with 2 after so many seconds.
template <typename Run>
int RunWithLimit(double seconds, Run run) {
  std::signal(SIGPIPE, SIG_IGN);
  std::thread([seconds] {
    Sleep(seconds);
    std::fprintf(stderr, "the test took too long\n");
    std::_Exit(2);
  }).detach();
  const int status = run();
  std::fflush(nullptr);
  std::_Exit(status);
}

}  // namespace standin

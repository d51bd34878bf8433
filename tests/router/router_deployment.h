#pragma once

#include <sys/types.h>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/datagram_proxy.h"
#include "fakes/fault_proxy.h"
#include "fakes/key_endpoint.h"
#include "fakes/key_value_store.h"

namespace sycamorestall::testing {

// The answer to a caller; status 0 means that none arrived.
struct CallerAnswer {
  int status = 0;
  std::string id;
  std::string body;
  std::string retry_after;
};

// A request by a caller in a test.
struct CallerRequest {
  std::string path = "/soil/1";
  std::string method = "GET";
  std::string id = {};
  std::optional<KeyNumber> key = {};
  int timeout_ms = 2000;
  std::string body = {};
};

// How daemons reach the store, the endpoints and each other.
enum class ConnectionKind {
  kDirect,
  // The store and the endpoints through proxies.
  kProxied,
  // Each other through proxies as well.
  kAllProxied,
};

// Runs routing daemons as processes against a fake store and fake endpoints. Endpoints of
// the service soil own keys and its requests are safe; those of pumps own no keys and its
// requests are unsafe.
class RouterDeployment {
 public:
  // The daemon settings are lines of TOML for the table daemon of each daemon's settings. Daemons
  // for which no domain is given are in north, as all endpoints are.
  RouterDeployment(int daemons, int soil_endpoints, int pump_endpoints,
                   ConnectionKind connection_kind = ConnectionKind::kDirect,
                   const std::string& daemon_settings = {},
                   const std::vector<std::string>& domains = {});
  ~RouterDeployment();
  RouterDeployment(const RouterDeployment&) = delete;
  RouterDeployment& operator=(const RouterDeployment&) = delete;

  // Writes a configuration to the store; daemons ignore versions that do not rise. The prefixes
  // of the unused routes are the same in each version, and compress badly.
  void WriteConfig(int version, const std::string& pump_prefix = "/pumps/", int unused_routes = 0,
                   int route_timeout_s = 1);
  // The longest body that the configurations written from now on allow, in bytes.
  void SetMaxBodyBytes(std::size_t bytes) { max_body_bytes_ = bytes; }
  // The entry that an endpoint writes with its next heartbeat. Each start counts its heartbeats
  // anew.
  std::string NextEntry(const fakes::KeyEndpoint& endpoint, const std::string& state = "ready",
                        std::uint64_t start = 1, const std::string& domain = "north",
                        double warm_up_left_s = 0);
  // Writes an entry of an endpoint to the store.
  void WriteEntry(const fakes::KeyEndpoint& endpoint, const std::string& entry);
  // Writes an endpoint's next entry to the store once; it is not renewed.
  void RegisterEndpoint(const fakes::KeyEndpoint& endpoint, const std::string& state = "ready",
                        std::uint64_t start = 1, const std::string& domain = "north",
                        double warm_up_left_s = 0);
  // Writes the entry of an endpoint, of the service pumps or soil, that the test runs itself.
  void RegisterPumpAt(const std::string& id, const NetworkAddress& address);
  void RegisterSoilAt(const std::string& id, const NetworkAddress& address);
  void DeregisterEndpoint(const fakes::KeyEndpoint& endpoint);
  // Waits until all daemons are ready and serve the first and the last key; false after
  // 15 s.
  bool WaitUntilServed();

  void StartDaemon(std::size_t number);
  void SendSignal(std::size_t number, int signal);
  // Waits for a daemon to exit and returns its exit status; -1 if it was killed or still
  // runs after the given time.
  int WaitForExit(std::size_t number, int seconds = 10);
  // Whether a daemon's process runs; reaps it if it has exited.
  bool IsRunning(std::size_t number);
  std::uint16_t CallerPort(std::size_t number) const { return daemons_.at(number).caller_port; }
  // The port of a daemon for messages of other daemons.
  std::uint16_t PeerPort(std::size_t number) const { return daemons_.at(number).peer_port; }
  // The directory of the daemons' settings and logs.
  const std::string& directory() const { return directory_; }
  // The largest memory use of a daemon so far, in bytes.
  std::size_t PeakMemoryBytes(std::size_t number) const;
  // Number of descriptors that a daemon has open now.
  std::size_t OpenDescriptors(std::size_t number) const;
  // The log output of a daemon so far.
  std::string ReadLog(std::size_t number) const;

  CallerAnswer SendRequest(std::size_t daemon, CallerRequest call);
  // The status of the daemon's readiness endpoint; 0 if it does not answer.
  int ReadinessStatus(std::size_t daemon);
  // Whether a daemon routes by the prefix of unsafe requests, within the time.
  bool ServesPumpsWithin(std::size_t daemon, const std::string& pump_prefix,
                         std::chrono::milliseconds time);
  // The proxy of a daemon's connections to the store.
  fakes::FaultProxy& StoreProxy(std::size_t daemon);
  // The proxy of the datagrams that other daemons send to a daemon.
  fakes::DatagramProxy& PeerProxy(std::size_t daemon) { return *peer_proxies_.at(daemon); }
  std::string FetchMetrics(std::size_t daemon);

  // The path of health checks in the configurations written from now on; none if empty.
  std::string health_path;
  // The requests per second that endpoints bear for 3 s after a start, by the configurations
  // written from now on; 0 for any rate.
  double cold_rate = 0;
  fakes::KeyValueStore store;
  std::vector<std::unique_ptr<fakes::KeyEndpoint>> soil;
  std::vector<std::unique_ptr<fakes::KeyEndpoint>> pumps;
  // One proxy for each endpoint, and one for each daemon's connections to the store.
  std::vector<std::unique_ptr<fakes::FaultProxy>> proxies;

 private:
  struct Daemon {
    pid_t pid = 0;
    std::uint16_t caller_port = 0;
    std::uint16_t readiness_port = 0;
    std::uint16_t metrics_port = 0;
    std::uint16_t peer_port = 0;
    std::string settings_path;
    std::string log_path;
  };

  // The address of a new proxy in front of the target, or the target if proxies are off.
  NetworkAddress AddressThroughProxy(const NetworkAddress& target);
  void AddProxyFor(const fakes::KeyEndpoint& endpoint);
  // Makes the store hold a daemon's registration with the address of a new proxy.
  void AddPeerProxy(const std::string& daemon, std::uint16_t peer_port);

  const ConnectionKind connection_kind_;
  // The heartbeats of each start of an endpoint so far.
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> heartbeats_;
  // The proxy addresses of endpoints, by endpoint id.
  std::map<std::string, NetworkAddress> proxy_addresses_;
  std::vector<std::unique_ptr<fakes::DatagramProxy>> peer_proxies_;
  // The ports under which the store lists daemons that have a proxy, by key.
  std::map<std::string, std::uint16_t> registered_ports_;
  std::string directory_;
  std::vector<Daemon> daemons_;
  int next_id_ = 1;
  std::size_t max_body_bytes_ = std::size_t{1} << 20;
};

}  // namespace sycamorestall::testing

#pragma once

#include <sys/types.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakes/fault_proxy.h"
#include "fakes/key_endpoint.h"
#include "fakes/key_value_store.h"

namespace sycamorestall::testing {

// What a caller got back; status 0 says that nothing came.
struct CallerAnswer {
  int status = 0;
  std::string id;
  std::string body;
  std::string retry_after;
};

// A request of a test's caller.
struct CallerRequest {
  std::string path = "/soil/1";
  std::string method = "GET";
  std::string id = {};
  std::optional<KeyNumber> key = {};
  int timeout_ms = 2000;
  std::string body = {};
};

// How daemons reach the store and the endpoints.
enum class ConnectionKind { kDirect, kProxied };

// Routing daemons as real processes, with a stand-in store and stand-in endpoints.
// Of its services, soil owns keys and its requests are safe; pumps owns none and
// its requests are not.
class RouterDeployment {
 public:
  RouterDeployment(int daemons, int soil_endpoints, int pump_endpoints,
                   ConnectionKind connection_kind = ConnectionKind::kDirect);
  ~RouterDeployment();
  RouterDeployment(const RouterDeployment&) = delete;
  RouterDeployment& operator=(const RouterDeployment&) = delete;

  // Writes a configuration; later ones need a higher version.
  void WriteConfig(int version, const std::string& pump_prefix = "/pumps/");
  // Says in the store what an endpoint is; entries are kept fresh by nobody.
  void RegisterEndpoint(const fakes::KeyEndpoint& endpoint, const std::string& state = "ready",
                        std::uint64_t start = 1);
  void DeregisterEndpoint(const fakes::KeyEndpoint& endpoint);
  // Waits until all daemons say that they are ready and keys are served.
  bool WaitUntilServed();

  void StartDaemon(std::size_t number);
  void SendSignal(std::size_t number, int signal);
  // Waits for the end of a daemon and gives its exit status; -1 if it was killed
  // or goes on for longer than so many seconds.
  int WaitForExit(std::size_t number, int seconds = 10);
  // Whether a daemon's process is there; one that has ended is taken leave of.
  bool IsRunning(std::size_t number);
  std::uint16_t CallerPort(std::size_t number) const { return daemons_.at(number).caller_port; }
  // Where settings and logs are.
  const std::string& directory() const { return directory_; }
  // What a daemon has written so far.
  std::string ReadLog(std::size_t number) const;

  CallerAnswer SendRequest(std::size_t daemon, CallerRequest call);
  int ReadinessStatus(std::size_t daemon);
  std::string FetchMetrics(std::size_t daemon);

  fakes::KeyValueStore store;
  std::vector<std::unique_ptr<fakes::KeyEndpoint>> soil;
  std::vector<std::unique_ptr<fakes::KeyEndpoint>> pumps;
  // Proxies: one for each endpoint, and one for each daemon's way to the store.
  std::vector<std::unique_ptr<fakes::FaultProxy>> proxies;

 private:
  struct Daemon {
    pid_t pid = 0;
    std::uint16_t caller_port = 0;
    std::uint16_t readiness_port = 0;
    std::uint16_t metrics_port = 0;
    std::string settings_path;
    std::string log_path;
  };

  // A proxy in front of the target, or the target itself.
  NetworkAddress AddressThroughProxy(const NetworkAddress& target);
  void AddProxyFor(const fakes::KeyEndpoint& endpoint);

  const ConnectionKind connection_kind_;
  // Where daemons reach endpoints that are behind proxies.
  std::map<std::string, NetworkAddress> proxy_addresses_;
  std::string directory_;
  std::vector<Daemon> daemons_;
  int next_id_ = 1;
};

}  // namespace sycamorestall::testing

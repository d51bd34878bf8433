#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fakes/fake_callers.h"

namespace sycamorestall::testing {

// What a test deployment is made of: one platform, and in each domain some
// daemons and, for each service, some endpoints.
struct DeploymentOptions {
  std::vector<std::string> domains{"north", "south"};
  int daemons_per_domain = 2;
  int endpoints_per_domain = 2;
  bool endpoints_check_token = true;
  std::int64_t service_us = 1000;
  int slots = 6;
};

// Real processes of the product and of the stand-ins, started for one test and
// ended with it. There are two services: soil, idempotent, and pumps, which is
// not. Endpoints keep journals, which survive their being killed.
class Deployment {
 public:
  explicit Deployment(DeploymentOptions options);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Waits until every shard of both services is served; false when that takes
  // longer than 15 s.
  bool WaitUntilServed();

  // Names such as daemon-north-0 and pumps-south-1.
  void Signal(const std::string& name, int signal);
  // Ends a process at once and, if asked, takes it off the platform's list.
  void Kill(const std::string& name, bool deregister);
  void DeregisterInstance(const std::string& name);
  // Tells a process to end and gives its exit status.
  int Terminate(const std::string& name);
  // Says in the platform's list that the instance leaves.
  void MarkDraining(const std::string& name);
  void StartDaemon(const std::string& name);
  void StartEndpoint(const std::string& name);

  // Sets faults of the platform or of an endpoint.
  void SetPlatformFaults(const std::string& json);
  void SetEndpointFaults(const std::string& name, const std::string& json);
  // Cuts a domain's daemons off from other domains; an empty list heals.
  void PartitionDomain(const std::string& domain, const std::vector<std::string>& others);
  void PartitionFromPlatform(const std::vector<std::string>& daemons);

  std::string origin(const std::string& daemon) const;
  std::vector<std::string> origins() const;
  // Origins of one domain's daemons.
  std::vector<std::string> DomainOrigins(const std::string& domain) const;
  std::vector<std::string> DaemonNames() const;
  std::string EndpointOrigin(const std::string& name) const {
    return "http://" + processes_.at(name).address;
  }
  // Origins of the endpoints of a service.
  std::vector<std::string> EndpointOrigins(const std::string& service) const;
  // The process of a name.
  pid_t ProcessId(const std::string& name) const { return processes_.at(name).id; }
  std::string platform_origin() const { return platform_origin_; }
  // The instance that leads a group, by a daemon's word.
  std::string LeaderOf(const std::string& group, const std::string& daemon) const;
  // The name of the endpoint that owns a key.
  std::string OwnerOf(const std::string& service, const std::string& key) const;

  // Asks for one key until it is run; the time from the call, or 10 s if it
  // never was.
  std::chrono::milliseconds TimeUntilServed(const std::string& service, const std::string& key,
                                            const std::string& origin) const;

  // What is wrong by the journals: a shard with two owners at a moment, or a
  // command that ran twice. Empty when nothing is.
  std::string FindInvariantViolation() const;
  // What is wrong with what callers were told: a command said to be run that
  // was not, or said not to be run that was.
  std::string FindFalseOutcome(const fakes::CallerReport& report) const;

  // Sends bytes to a daemon as they are and gives what it answers until it
  // closes the connection.
  std::string SendRaw(const std::string& daemon, const std::string& bytes) const;
  // What a process wrote to its error stream.
  std::string ReadLog(const std::string& name) const;

 private:
  struct Process {
    pid_t id = 0;
    std::string address;
    std::string domain;
    std::string service;
    std::vector<std::string> arguments;
  };

  void SpawnProcess(const std::string& name, const std::vector<std::string>& arguments);
  std::string WaitForPort(const std::string& name) const;
  void RegisterInstance(const std::string& name, const Process& process,
                        const std::string& state = "live") const;
  void WriteSettingsFile(const std::string& name, const std::string& domain);
  void ApplyInitialDocuments() const;

  DeploymentOptions options_;
  std::string directory_;
  std::string platform_origin_;
  std::map<std::string, Process> processes_;
  std::map<std::string, std::uint16_t> http_ports_;
};

// Sends a JSON body and waits; gives the answer's body.
std::string PostJson(const std::string& url, const std::string& body);

}  // namespace sycamorestall::testing

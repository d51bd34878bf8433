#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fakes/fake_callers.h"

namespace sycamorestall::testing {

// The size of a test deployment: one platform, and in each domain a number of
// daemons and, for each service, of endpoints.
struct DeploymentOptions {
  std::vector<std::string> domains{"north", "south"};
  int daemons_per_domain = 2;
  int endpoints_per_domain = 2;
  bool endpoints_check_token = true;
  std::int64_t service_us = 1000;
  int slots = 6;
};

// Runs daemons and the fake platform and endpoints as processes, and kills them
// in the destructor. Serves two services: soil is idempotent, pumps is not. The
// journals of endpoints are files and survive a kill.
class Deployment {
 public:
  explicit Deployment(DeploymentOptions options);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Waits until every shard of both services is served; returns false after 15 s.
  bool WaitUntilServed();

  // Processes have names such as daemon-north-0 and pumps-south-1.
  void Signal(const std::string& name, int signal);
  // Kills a process with SIGKILL and, with `deregister`, removes it from the
  // platform's list.
  void Kill(const std::string& name, bool deregister);
  void DeregisterInstance(const std::string& name);
  // Sends SIGTERM and returns the exit status, or -1 if a signal ended the process.
  int Terminate(const std::string& name);
  // Lists the instance on the platform as leaving.
  void MarkDraining(const std::string& name);
  void StartDaemon(const std::string& name);
  void StartEndpoint(const std::string& name);

  // Set the faults that the fake platform or endpoint simulates.
  void SetPlatformFaults(const std::string& json);
  void SetEndpointFaults(const std::string& name, const std::string& json);
  // Simulates a network partition between the daemons of a domain and those of
  // `others`; an empty list ends it.
  void PartitionDomain(const std::string& domain, const std::vector<std::string>& others);
  // Makes the platform ignore these daemons; an empty list ends it.
  void PartitionFromPlatform(const std::vector<std::string>& daemons);

  std::string origin(const std::string& daemon) const;
  std::vector<std::string> origins() const;
  // Origins of the running daemons of a domain.
  std::vector<std::string> DomainOrigins(const std::string& domain) const;
  std::vector<std::string> DaemonNames() const;
  std::string EndpointOrigin(const std::string& name) const {
    return "http://" + processes_.at(name).address;
  }
  // Origins of the endpoints of a service.
  std::vector<std::string> EndpointOrigins(const std::string& service) const;
  pid_t ProcessId(const std::string& name) const { return processes_.at(name).id; }
  std::string platform_origin() const { return platform_origin_; }
  // The instance that leads a group, as `daemon` reports it; empty if unknown.
  std::string LeaderOf(const std::string& group, const std::string& daemon) const;
  // The name of the endpoint that owns a key; empty if unknown.
  std::string OwnerOf(const std::string& service, const std::string& key) const;

  // Repeats a request for a key until it is run. Returns the time that this took,
  // at least 10 s if no request was run.
  std::chrono::milliseconds TimeUntilServed(const std::string& service, const std::string& key,
                                            const std::string& origin) const;

  // Describes a violation found in the journals: a shard with two owners at the
  // same time, or a command that ran twice. Empty if there is none.
  std::string FindInvariantViolation() const;
  // Describes an outcome in the report that the journals contradict: a command
  // reported as run that was not, or reported as not run that was. Empty if there
  // is none.
  std::string FindFalseOutcome(const fakes::CallerReport& report) const;

  // Sends raw bytes to a daemon and returns all that it answers until it closes
  // the connection.
  std::string SendRaw(const std::string& daemon, const std::string& bytes) const;
  // Returns what a daemon has logged.
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

// Sends a JSON body and returns the body of the answer.
std::string PostJson(const std::string& url, const std::string& body);

}  // namespace sycamorestall::testing

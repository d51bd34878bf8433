#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/identifiers.h"
#include "core/network_address.h"
#include "core/rank_concurrency_limiter.h"
#include "log/log.h"

namespace sycamorestall {

// A rank: its name and the limits on its concurrent requests at a daemon.
struct RankSettings {
  std::string name;
  RankLimits limits;

  friend bool operator==(const RankSettings&, const RankSettings&) = default;
};

// Settings of a service that callers address by name.
struct ServiceSettings {
  // Index of the service's rank in the order of ranks.
  std::size_t rank = 0;
  std::uint32_t shards = 0;
  std::vector<DomainName> domains;
  // Maximum number of requests that one endpoint runs concurrently, and that wait for it.
  std::size_t slots = 0;
  std::size_t queue = 0;
  // Whether requests that change state may safely run more than once.
  bool idempotent = true;
  bool endpoints_check_token = true;
  std::uint64_t max_body_bytes = 0;
  std::chrono::milliseconds default_timeout{};
  std::chrono::milliseconds max_timeout{};

  friend bool operator==(const ServiceSettings&, const ServiceSettings&) = default;
};

// Timing of the leases that endpoints hold on shards.
struct LeaseSettings {
  // The lifetime of a renewed lease, and the margin for differences between clocks.
  std::chrono::milliseconds time_to_live{};
  std::chrono::milliseconds clock_margin{};
  std::chrono::milliseconds renew_interval{};
  std::chrono::milliseconds order_timeout{};

  friend bool operator==(const LeaseSettings&, const LeaseSettings&) = default;
};

// All settings of a daemon.
struct Settings {
  InstanceId instance;
  DomainName domain;
  // Listening addresses for HTTP, and for messages of other daemons.
  NetworkAddress http;
  NetworkAddress peer;
  // Maximum number of requests in flight at this daemon, over all ranks.
  std::size_t max_in_flight = 0;
  // Origin of the platform (URL without a path), such as http://10.0.0.5:7000.
  std::string platform_address;
  std::chrono::milliseconds platform_timeout{};
  // Time between reads of the list of instances.
  std::chrono::milliseconds list_interval{};
  LeaseSettings leases;
  // Age above which idempotency keys are refused, and the maximum difference between the wall
  // clocks of daemons and callers.
  std::chrono::milliseconds command_age_limit{};
  std::chrono::milliseconds command_clock_margin{};
  LogLevel log_level = LogLevel::kInfo;
  // Whether tests may simulate network partitions through the operators' HTTP interface.
  bool allow_faults = false;
  std::vector<RankSettings> ranks;
  std::map<ServiceName, ServiceSettings> services;

  friend bool operator==(const Settings&, const Settings&) = default;
};

}  // namespace sycamorestall

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/identifiers.h"
#include "core/network_address.h"
#include "core/rank_budget.h"
#include "log/log.h"

namespace sycamorestall {

// A rank: its name and its share of a daemon.
struct RankSettings {
  std::string name;
  RankLimits share;

  friend bool operator==(const RankSettings&, const RankSettings&) = default;
};

// What is offered to callers under one name.
struct ServiceSettings {
  // Place of the service's rank in the order of ranks.
  std::size_t rank = 0;
  std::uint32_t shards = 0;
  std::vector<DomainName> domains;
  // Requests that one endpoint runs at a time, and that wait for it.
  std::size_t slots = 0;
  std::size_t queue = 0;
  // Whether requests that change state may run more than once.
  bool idempotent = true;
  bool endpoints_check_token = true;
  std::uint64_t max_body_bytes = 0;
  std::chrono::milliseconds default_timeout{};
  std::chrono::milliseconds max_timeout{};

  friend bool operator==(const ServiceSettings&, const ServiceSettings&) = default;
};

// The times of leases.
struct LeaseSettings {
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
  NetworkAddress http;
  NetworkAddress peer;
  // Requests in flight at this daemon, all ranks together.
  std::size_t max_in_flight = 0;
  std::string platform;
  std::chrono::milliseconds platform_timeout{};
  std::chrono::milliseconds list_interval{};
  LeaseSettings leases;
  std::chrono::milliseconds command_age_limit{};
  std::chrono::milliseconds command_clock_margin{};
  LogLevel log_level = LogLevel::kInfo;
  // Lets tests cut connections over the administration interface.
  bool allow_faults = false;
  std::vector<RankSettings> ranks;
  std::map<ServiceName, ServiceSettings> services;

  friend bool operator==(const Settings&, const Settings&) = default;
};

}  // namespace sycamorestall

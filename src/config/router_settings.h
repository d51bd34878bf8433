#pragma once

#include <chrono>
#include <string>
#include <variant>

#include "config/settings_parser.h"
#include "core/sliding_window_retry_budget.h"

namespace sycamorestall {

// All settings of a routing daemon, which gets its routes from the platform's store.
struct RouterSettings {
  InstanceId instance;
  DomainName domain;
  // Capacity of the instance relative to other instances.
  double weight = 1;
  // Listening addresses for callers, readiness checks and metrics, and for datagrams of other
  // daemons.
  NetworkAddress callers;
  NetworkAddress readiness;
  NetworkAddress metrics;
  NetworkAddress peer;
  // Address of the store.
  NetworkAddress store;
  RetryLimits retries;
  // Descriptors that the process may use; 0 if that is not limited.
  std::size_t max_descriptors = 0;
  // Memory that the process may use, in bytes; 0 if that is not known.
  std::size_t max_memory_bytes = 0;
  // In any second a cold endpoint may get this multiple of the rate that its service names, plus
  // the slack, from all daemons together; a factor of 0 means that there is no such limit.
  double cold_rate_factor = 0;
  double cold_rate_slack = 0;
  // How long after an evacuation was requested endpoints of the failure domain may get requests; 0
  // for as short as possible.
  std::chrono::milliseconds evacuation_time{};
  // Longest time to live of a grant that endpoints accept.
  std::chrono::milliseconds max_grant_time_to_live{};
  // Maximum duration of a graceful stop.
  std::chrono::milliseconds stop_timeout{};
  LogLevel log_level = LogLevel::kInfo;
};

// Parses and validates settings in TOML; the file name is used only in errors.
std::variant<RouterSettings, SettingsError> ParseRouterSettings(std::string_view text,
                                                                const std::string& file);

// Reads, parses and validates a settings file.
std::variant<RouterSettings, SettingsError> LoadRouterSettings(const std::string& file);

}  // namespace sycamorestall

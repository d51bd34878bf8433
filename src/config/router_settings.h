#pragma once

#include <chrono>
#include <string>
#include <variant>

#include "config/settings_parser.h"
#include "core/sliding_window_retry_budget.h"

namespace sycamorestall {

// All settings of a daemon that routes by the operator's routes.
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
  // Where the store is reached.
  NetworkAddress store;
  RetryLimits retries;
  // Longest time to live of a grant that endpoints accept.
  std::chrono::milliseconds max_grant_time_to_live{};
  // Maximum time that a stop of the daemon takes.
  std::chrono::milliseconds stop_timeout{};
  LogLevel log_level = LogLevel::kInfo;
};

// Parses and validates settings in TOML; the file name is used only in errors.
std::variant<RouterSettings, SettingsError> ParseRouterSettings(std::string_view text,
                                                                const std::string& file);

// Reads, parses and validates a settings file.
std::variant<RouterSettings, SettingsError> LoadRouterSettings(const std::string& file);

}  // namespace sycamorestall

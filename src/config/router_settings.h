#pragma once

#include <chrono>
#include <string>
#include <variant>

#include "config/settings_parser.h"
#include "core/retry_allowance.h"

namespace sycamorestall {

// All settings of a daemon that routes by the operator's routes.
struct RouterSettings {
  InstanceId instance;
  DomainName domain;
  // How much the instance can do, against other instances.
  double weight = 1;
  // Where callers, readiness checks and metrics are served, and where other
  // daemons' datagrams come in.
  NetworkAddress callers;
  NetworkAddress readiness;
  NetworkAddress metrics;
  NetworkAddress peer;
  NetworkAddress store;
  RetryLimits retries;
  // The longest time to live of a grant that endpoints accept.
  std::chrono::milliseconds max_grant{};
  // A stop is over by then.
  std::chrono::milliseconds stop_time{};
  LogLevel log_level = LogLevel::kInfo;
};

// Reads settings from TOML text and checks all of it; the file name is only
// used in errors.
std::variant<RouterSettings, SettingsError> ParseRouterSettings(std::string_view text,
                                                                const std::string& file);

// Reads a settings file.
std::variant<RouterSettings, SettingsError> LoadRouterSettings(const std::string& file);

}  // namespace sycamorestall

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/boot_clock.h"
#include "core/identifiers.h"

namespace sycamorestall {

// Whether a request may be repeated when its outcome is unknown: only safe ones may.
// Uploads are unsafe requests with large bodies.
enum class RequestKind { kSafe, kUnsafe, kUpload };

// The kind's name in logs.
inline const char* ToString(RequestKind kind) {
  switch (kind) {
    case RequestKind::kSafe:
      return "safe";
    case RequestKind::kUnsafe:
      return "unsafe";
    case RequestKind::kUpload:
      break;
  }
  return "upload";
}

// A service and its weight among the services of a route.
struct WeightedService {
  ServiceName service;
  double weight = 1;

  friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

// How requests for one host and path prefix are served.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kUnsafe;
  // 0 is the highest priority.
  int priority = 0;
  // After this time the daemon answers the request itself.
  Duration timeout{};
  // Answers should arrive within this time; later ones are worth less to the caller.
  Duration latency_target{};
  // Maximum number of attempts of one request that may reach an endpoint.
  int max_attempts = 1;
  std::vector<WeightedService> services;

  friend bool operator==(const Route&, const Route&) = default;
};

// Configuration of a service apart from its endpoints.
struct ServiceConfig {
  // Whether each key is served only by the endpoint that owns it.
  bool has_exclusive_keys = false;
  // Connections that one endpoint accepts from all daemons together.
  std::size_t max_connections = 0;
  // The path of health checks of its endpoints; empty if they have none.
  std::string health_path;
  // How long a key stays slow after moving without its previous owner's state.
  Duration warm_up{};
  // How long an endpoint is cold after its start, and the requests per second that it bears then; 0
  // if it bears any rate.
  Duration cold_time{};
  double cold_rate = 0;

  friend bool operator==(const ServiceConfig&, const ServiceConfig&) = default;
};

// Size limits and timeouts for requests from callers.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = std::uint64_t{1024} * 1024;
  Duration header_timeout = std::chrono::seconds{5};
  Duration idle_timeout = std::chrono::seconds{15};

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

// A version of the configuration of all routes and services.
struct RoutingConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceName, ServiceConfig> services;
  CallerLimits limits;

  friend bool operator==(const RoutingConfig&, const RoutingConfig&) = default;
};

}  // namespace sycamorestall

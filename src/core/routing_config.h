#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/boot_clock.h"
#include "core/identifiers.h"

namespace sycamorestall {

// What may happen to a request when its outcome is in doubt. Uploads have large
// bodies and are, like unsafe requests, never run twice.
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

// A service and its share of a route's requests.
struct WeightedService {
  ServiceName service;
  double weight = 1;

  friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

// How requests to one host and path prefix are served.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kUnsafe;
  // 0 is the most urgent.
  int priority = 0;
  // A request unanswered for so long is answered by the daemon.
  Duration timeout{};
  // Answers within this time are worth the most.
  Duration aim{};
  // How many endpoints one request may be sent to.
  int max_attempts = 1;
  std::vector<WeightedService> services;

  friend bool operator==(const Route&, const Route&) = default;
};

// What is known of a service beside its endpoints.
struct ServiceProfile {
  // Whether each key is served by the one endpoint that owns it.
  bool owns_keys = false;
  // Connections that one endpoint accepts from all daemons together.
  std::size_t max_connections = 0;
  // For how long keys that arrive without their earlier owner's state are slow.
  Duration warm_up{};

  friend bool operator==(const ServiceProfile&, const ServiceProfile&) = default;
};

// What callers may send, and how long they may take.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = std::uint64_t{1024} * 1024;
  Duration header_timeout = std::chrono::seconds{5};
  Duration idle_timeout = std::chrono::seconds{15};

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

// One version of all routes and services.
struct RoutingConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceName, ServiceProfile> services;
  CallerLimits limits;

  friend bool operator==(const RoutingConfig&, const RoutingConfig&) = default;
};

}  // namespace sycamorestall

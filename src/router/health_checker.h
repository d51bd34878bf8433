#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "core/endpoint_entry.h"
#include "net/connection_pool.h"
#include "router/formats.h"

namespace sycamorestall {

// Asks endpoints whether they are alive and take requests. Nothing is asked of an endpoint while an
// answer of it is awaited, or soon after.
class HealthChecker {
 public:
  // Gets the entry with which a healthy endpoint was checked.
  using Callback = std::function<void(const EndpointEntry&)>;

  HealthChecker(ConnectionPool& pool, const HealthFormat& format, Callback on_healthy)
      : pool_(pool), format_(format), on_healthy_(std::move(on_healthy)) {}

  // Sends a check to the address of the entry, unless it is too soon. `path` is that of the
  // service's health checks.
  void Check(const EndpointEntry& entry, const std::string& path, Instant now);

 private:
  void HandleResult(const EndpointEntry& entry, const CallResult& result);

  ConnectionPool& pool_;
  const HealthFormat& format_;
  const Callback on_healthy_;
  // When each endpoint may be checked again.
  std::map<InstanceId, Instant> next_check_at_;
};

}  // namespace sycamorestall

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/endpoint_fleet.h"
#include "core/routing_config.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "net/http_connection.h"
#include "router/formats.h"

namespace sycamorestall {

// What the reports of a request show of it.
struct RequestSummary {
  std::string id;
  std::optional<KeyNumber> key;
  // Null while no route was found.
  const Route* route = nullptr;
  ServiceName service;
  // The endpoint that it was last sent to, and when.
  InstanceId endpoint;
  Instant sent_at;
  // How often it was sent, and how many of these may have reached an endpoint.
  int send_count = 0;
  int arrival_count = 0;
  // The connection of the last attempt that ended.
  std::uint64_t connection = 0;
  bool may_have_run = false;
  Instant arrived_at;
  std::optional<std::uint64_t> config_version;
  // As FormatDecisionInputs returned them.
  std::string decision_inputs;
};

// Formats what a request was dispatched or refused by, for the log.
std::string FormatDecisionInputs(const EndpointState& endpoint, double expected_latency_s,
                                 Duration time_left);

// Counts the outcomes of requests and logs a line for each.
class RequestReporter {
 public:
  RequestReporter(const ComponentLog& log, const RequestFormat& format, Metrics& metrics)
      : log_(log), format_(format), metrics_(metrics) {}

  // Reports the end of a request; the status is 0 if its caller has left.
  void ReportOutcome(const RequestSummary& request, unsigned status, const std::string& reason,
                     Instant now);
  // Reports an attempt that got no answer, or one that is not believed.
  void ReportFailedAttempt(const RequestSummary& request, const CallResult& result,
                           const std::string& reason, Instant now) const;

 private:
  void CountOutcome(const RequestSummary& request, unsigned status, const std::string& reason);

  const ComponentLog& log_;
  const RequestFormat& format_;
  Metrics& metrics_;
};

}  // namespace sycamorestall

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/boot_clock.h"
#include "core/outcome.h"

namespace sycamorestall {

// Labels of a request latency.
struct LatencyLabel {
  std::string rank;
  Outcome outcome = Outcome::kRun;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const LatencyLabel&, const LatencyLabel&) = default;
};

// Collects the counters, gauges and durations of a daemon. Not thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Records how long a caller waited for its answer.
  void RecordLatency(const LatencyLabel& label, Duration latency);
  // Records how long a request of a service waited for a slot.
  void RecordQueueTime(const std::string& service, Duration wait);
  // Records how long an endpoint took to answer.
  void RecordEndpointTime(const std::string& endpoint, Duration time);
  // Adds to a counter. Here and in SetGauge the name includes the labels in Prometheus syntax, but
  // not the common prefix "sycamorestall_".
  void IncrementCounter(const std::string& name, double amount = 1);
  void SetGauge(const std::string& name, double value);

  // Formats all metrics in the Prometheus text format.
  std::string FormatPrometheus() const;

 private:
  struct DurationSeries;

  std::map<LatencyLabel, std::unique_ptr<DurationSeries>> latencies_;
  std::map<std::string, std::unique_ptr<DurationSeries>> queue_times_;
  std::map<std::string, std::unique_ptr<DurationSeries>> endpoint_times_;
  std::map<std::string, double> counters_;
  std::map<std::string, double> gauges_;
};

}  // namespace sycamorestall

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/boot_clock.h"
#include "core/outcome.h"

namespace sycamorestall {

// What a latency is recorded under.
struct LatencyLabel {
  std::string rank;
  Outcome outcome = Outcome::kRun;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const LatencyLabel&, const LatencyLabel&) = default;
};

// Counts and measures what a daemon does. Used on one thread.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Records how long a caller waited.
  void RecordLatency(const LatencyLabel& label, Duration latency);
  // Records how long a request waited for a slot.
  void RecordQueueTime(const std::string& service, Duration wait);
  // Records how long an endpoint took to answer.
  void RecordEndpointTime(const std::string& endpoint, Duration time);
  // Adds to a counter; the name carries its labels in the Prometheus form.
  void Count(const std::string& name, double amount = 1);
  // Sets a gauge.
  void Set(const std::string& name, double value);

  // Everything in the Prometheus text form.
  std::string Write() const;

 private:
  struct Series;

  std::map<LatencyLabel, std::unique_ptr<Series>> latencies_;
  std::map<std::string, std::unique_ptr<Series>> queue_times_;
  std::map<std::string, std::unique_ptr<Series>> endpoint_times_;
  std::map<std::string, double> counters_;
  std::map<std::string, double> gauges_;
};

}  // namespace sycamorestall

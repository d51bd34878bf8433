#include "metrics/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <iterator>
#include <sstream>

namespace sycamorestall {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> kQuantiles{0.5, 0.9, 0.99};
// Upper bounds of the histogram buckets, in seconds.
constexpr std::array<double, 10> kBucketBounds{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

using Accumulator = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                                accumulators::tag::max, accumulators::tag::extended_p_square>>;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

// Quantiles, histogram, sum and maximum of the durations with one set of labels, in seconds.
struct Metrics::DurationSeries {
  Accumulator values{accumulators::tag::extended_p_square::probabilities = kQuantiles};
  // Cumulative counts: values less than or equal to each bucket's bound.
  std::array<std::uint64_t, kBucketBounds.size()> buckets{};

  void Record(Duration duration) {
    const double seconds = Seconds(duration);
    values(seconds);
    for (std::size_t i = 0; i < kBucketBounds.size(); ++i) {
      buckets.at(i) += seconds <= kBucketBounds.at(i) ? 1 : 0;
    }
  }

  void Write(std::ostream& out, const std::string& name, const std::string& labels) const {
    for (std::ptrdiff_t i = 0; i < std::ssize(kQuantiles); ++i) {
      out << name << "{" << labels << ",quantile=\"" << kQuantiles.at(static_cast<std::size_t>(i))
          << "\"} " << accumulators::extended_p_square(values)[i] << "\n";
    }
    for (std::size_t i = 0; i < kBucketBounds.size(); ++i) {
      out << name << "_bucket{" << labels << ",le=\"" << kBucketBounds.at(i) << "\"} "
          << buckets.at(i) << "\n";
    }
    out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << accumulators::count(values) << "\n";
    out << name << "_sum{" << labels << "} " << accumulators::sum(values) << "\n";
    out << name << "_count{" << labels << "} " << accumulators::count(values) << "\n";
    out << name << "_max{" << labels << "} " << accumulators::max(values) << "\n";
  }
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::RecordLatency(const LatencyLabel& label, Duration latency) {
  std::unique_ptr<DurationSeries>& series = latencies_[label];
  if (!series) {
    series = std::make_unique<DurationSeries>();
  }
  series->Record(latency);
}

void Metrics::RecordQueueTime(const std::string& service, Duration wait) {
  std::unique_ptr<DurationSeries>& series = queue_times_[service];
  if (!series) {
    series = std::make_unique<DurationSeries>();
  }
  series->Record(wait);
}

void Metrics::RecordEndpointTime(const std::string& endpoint, Duration time) {
  std::unique_ptr<DurationSeries>& series = endpoint_times_[endpoint];
  if (!series) {
    series = std::make_unique<DurationSeries>();
  }
  series->Record(time);
}

void Metrics::IncrementCounter(const std::string& name, double amount) {
  counters_[name] += amount;
}

void Metrics::SetGauge(const std::string& name, double value) { gauges_[name] = value; }

std::string Metrics::FormatPrometheus() const {
  std::ostringstream out;
  for (const auto& [label, series] : latencies_) {
    series->Write(out, "sycamorestall_request_seconds",
                  "rank=\"" + label.rank + "\",outcome=\"" + ToString(label.outcome) + "\"");
  }
  for (const auto& [service, series] : queue_times_) {
    series->Write(out, "sycamorestall_queue_seconds", "service=\"" + service + "\"");
  }
  for (const auto& [endpoint, series] : endpoint_times_) {
    series->Write(out, "sycamorestall_endpoint_seconds", "endpoint=\"" + endpoint + "\"");
  }
  for (const auto& [name, value] : counters_) {
    out << "sycamorestall_" << name << " " << value << "\n";
  }
  for (const auto& [name, value] : gauges_) {
    out << "sycamorestall_" << name << " " << value << "\n";
  }
  return out.str();
}

}  // namespace sycamorestall

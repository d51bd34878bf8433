#pragma once

#include "core/memory_account.h"
#include "log/log.h"
#include "metrics/metrics.h"

namespace sycamorestall {

// Reports the memory held for callers and endpoints, and what was taken back as it ran short.
class MemoryReporter {
 public:
  MemoryReporter(const MemoryAccount& account, const ComponentLog& log)
      : account_(account), log_(log) {}

  // Logs a line, at most once per second, if memory was taken back since the last one.
  void LogReleases(Instant now);
  void UpdateGauges(Metrics& metrics) const;

 private:
  const MemoryAccount& account_;
  const ComponentLog& log_;
  MemoryReleases logged_;
  Instant next_line_at_;
};

}  // namespace sycamorestall

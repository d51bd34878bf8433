#pragma once

#include <deque>
#include <map>

#include "core/boot_clock.h"
#include "core/identifiers.h"

namespace sycamorestall {

// How many requests may be sent a second time, by all daemons together.
struct RetryLimits {
  // Of the requests for a service in a window.
  double share = 0.2;
  // On top of the share, in a window.
  double extra = 50;
  Duration window = std::chrono::seconds{10};
};

// Counts the requests and retries of each service over a sliding window and lets
// this daemon retry within its part of what all daemons may. Daemons need not
// agree: each takes the share from its own requests, and an equal part of what
// is on top.
class RetryAllowance {
 public:
  explicit RetryAllowance(RetryLimits limits) : limits_(limits) {}

  // Counts a request for a service.
  void CountRequest(const ServiceName& service, Instant now);
  // Takes leave for one retry at a service; false when the allowance is spent.
  bool TakeRetry(const ServiceName& service, std::size_t daemons, Instant now);

 private:
  // Counts of one slice of time.
  struct Slice {
    std::int64_t number = 0;
    double requests = 0;
    double retries = 0;
  };
  struct Counts {
    std::deque<Slice> slices;
  };

  Slice& Current(const ServiceName& service, Instant now);
  Duration SliceLength() const;

  RetryLimits limits_;
  std::map<ServiceName, Counts> counts_;
};

}  // namespace sycamorestall

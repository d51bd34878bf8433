#pragma once

#include <algorithm>

namespace sycamorestall {

// Token bucket that limits retries to a fixed share of first attempts, so that a
// fault cannot cause a retry storm.
class RetryBudget {
 public:
  // share is the number of tokens added per first attempt, burst the capacity of the
  // bucket. The bucket starts full.
  RetryBudget(double share, double burst) : share_(share), burst_(burst), tokens_(burst) {}

  void CountFirstAttempt() { tokens_ = std::min(burst_, tokens_ + share_); }

  // Takes one token; returns false if none is left.
  bool TryConsumeRetry() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double share_;
  double burst_;
  double tokens_;
};

}  // namespace sycamorestall

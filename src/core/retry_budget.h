#pragma once

#include <algorithm>

namespace sycamorestall {

// Lets retries be a fixed share of first tries, so that they cannot multiply a
// fault into a storm.
class RetryBudget {
 public:
  // The share is a fraction of first tries; the burst is how many retries may
  // be saved up.
  RetryBudget(double share, double burst) : share_(share), burst_(burst), saved_(burst) {}

  // Counts a first try.
  void CountFirstTry() { saved_ = std::min(burst_, saved_ + share_); }

  // Takes leave for one retry; false when the budget is spent.
  bool TakeRetry() {
    if (saved_ < 1) {
      return false;
    }
    saved_ -= 1;
    return true;
  }

 private:
  double share_;
  double burst_;
  double saved_;
};

}  // namespace sycamorestall

#pragma once

#include <map>
#include <vector>

#include "core/boot_clock.h"
#include "core/key_range.h"

namespace sycamorestall {

// How often a key was asked for.
struct KeyCount {
  KeyNumber key = 0;
  std::uint32_t count = 0;

  friend bool operator==(const KeyCount&, const KeyCount&) = default;

  // Lets cereal read and write the count.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, count);
  }
};

// Requests a second for each key, with older requests counting less and less.
class KeyDemand {
 public:
  // Adds requests that were counted since the last call.
  void Add(const std::vector<KeyCount>& counts);
  // Lets the demand age.
  void Decay(Instant now);

  // How many requests a rate has been worked out from, about.
  static double SampleCount(double rate);
  // Requests a second for one key, and for all of a range.
  double Rate(KeyNumber key) const;
  double Rate(const KeyRange& range) const;
  // All keys that were asked for lately, with their requests a second.
  const std::map<KeyNumber, double>& rates() const { return rates_; }

 private:
  std::map<KeyNumber, double> rates_;
  Instant aged_at_;
};

}  // namespace sycamorestall

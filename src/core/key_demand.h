#pragma once

#include <map>
#include <vector>

#include "core/boot_clock.h"
#include "core/key_range.h"

namespace sycamorestall {

// The number of requests for a key.
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

// The requests per second for each key, as an exponentially decaying average. It is right soon
// after the first requests, as the decay is faster then.
class KeyDemand {
 public:
  // Adds the requests counted since the last call.
  void Add(const std::vector<KeyCount>& counts);
  // Applies the decay up to this time.
  void Decay(Instant now);

  // The approximate number of requests that a rate is based on.
  double SampleCount(double rate) const;
  // The requests per second for one key, or for all keys of a range.
  double Rate(KeyNumber key) const;
  double Rate(const KeyRange& range) const;
  // All keys requested recently, with their requests per second.
  const std::map<KeyNumber, double>& rates() const { return rates_; }

 private:
  double DecayTimeSeconds() const;

  std::map<KeyNumber, double> rates_;
  Instant decayed_at_;
  // When the first of the requests were counted.
  Instant began_at_;
};

}  // namespace sycamorestall

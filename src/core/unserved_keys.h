#pragma once

#include <map>

#include "core/boot_clock.h"
#include "core/key_range.h"

namespace sycamorestall {

// Remembers for a short time for which keys a request waited without success. Waiting
// is useful while a key moves between two owners, but not when its owner is lost;
// further requests for such a key are refused at once.
class UnservedKeys {
 public:
  // Notes that a request waited for the owner of the key and none came.
  void Add(KeyNumber key, Instant now);
  // Whether Add was called for the key recently.
  bool Contains(KeyNumber key, Instant now) const;

 private:
  std::map<KeyNumber, Instant> unserved_until_;
};

}  // namespace sycamorestall

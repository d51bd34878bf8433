#pragma once

#include <map>

#include "core/boot_clock.h"
#include "core/key_range.h"

namespace sycamorestall {

// Remembers for a short while which keys a request waited for in vain. A key on
// its way between two owners is worth waiting for; one whose owner is lost is not,
// and further requests for it are refused at once.
class UnservedKeys {
 public:
  // A request waited for the key's owner and none came.
  void Add(KeyNumber key, Instant now);
  // Whether that happened lately.
  bool Contains(KeyNumber key, Instant now) const;

 private:
  std::map<KeyNumber, Instant> until_;
};

}  // namespace sycamorestall

#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/boot_clock.h"
#include "store/store.h"

namespace sycamorestall {

// The recent versions of the store's large values. Daemons send each other the difference from a
// version that both have.
class ValueHistory {
 public:
  // Adds the current version of a value; small values are ignored.
  void Put(const StoreItem& item, Instant now);
  void Remove(const std::string& key) { versions_.erase(key); }
  // Discards versions that were replaced too long ago.
  void DiscardOld(Instant now);

  // The version of a value written at the revision; null if it is not known.
  const StoreItem* Find(const std::string& key, Revision revision) const;
  // The version that was current at the revision; null if it is not known.
  const StoreItem* CurrentAt(const std::string& key, Revision revision) const;

 private:
  struct Version {
    StoreItem item;
    Instant added_at;
  };

  // By key, oldest first.
  std::map<std::string, std::vector<Version>> versions_;
};

}  // namespace sycamorestall

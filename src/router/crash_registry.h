#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/crashing_requests.h"
#include "store/store.h"

namespace sycamorestall {

// Prefix of the store keys that name blocked requests.
inline constexpr std::string_view kCrashingKeyPrefix = "sycamorestall/crashing/";

// Keeps blocked requests in the store, so that daemons know them that start after all others have
// ended. An entry is bound to a lease that lasts as long as the block. The daemons that have seen
// one of the crashes write it; the first one does.
class CrashRegistry {
 public:
  using LogWriter = std::function<void(const std::string&)>;

  CrashRegistry(Store& store, CrashingRequests& requests, LogWriter log)
      : store_(store), requests_(requests), log_(std::move(log)) {}

  // Writes the entry of a blocked request that has none.
  void Tick(Instant now);

  // Apply changes of the store's entries.
  void AddEntry(const StoreItem& item, Instant now);
  void RemoveEntry(const std::string& key);

 private:
  void WriteEntry(RequestFingerprint request, LeaseId lease);
  // Ends the writing of an entry, whether or not it was written.
  void EndWriting();

  Store& store_;
  CrashingRequests& requests_;
  const LogWriter log_;
  std::set<RequestFingerprint> stored_;
  bool writing_ = false;
  Instant next_write_at_;
};

}  // namespace sycamorestall

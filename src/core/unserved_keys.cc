#include "core/unserved_keys.h"

namespace sycamorestall {

namespace {

// How long a key is remembered.
constexpr std::chrono::milliseconds kRetention{400};
// Expired keys are removed once there are more keys than this.
constexpr std::size_t kCleanupThreshold = 1000;

}  // namespace

void UnservedKeys::Add(KeyNumber key, Instant now) {
  if (unserved_until_.size() > kCleanupThreshold) {
    std::erase_if(unserved_until_, [now](const auto& each) { return now >= each.second; });
  }
  unserved_until_[key] = now + kRetention;
}

bool UnservedKeys::Contains(KeyNumber key, Instant now) const {
  const auto found = unserved_until_.find(key);
  return found != unserved_until_.end() && now < found->second;
}

}  // namespace sycamorestall

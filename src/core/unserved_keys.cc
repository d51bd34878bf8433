#include "core/unserved_keys.h"

namespace sycamorestall {

namespace {

constexpr std::chrono::milliseconds kMemory{400};
// More keys than this are looked through for outdated ones.
constexpr std::size_t kManyKeys = 1000;

}  // namespace

void UnservedKeys::Add(KeyNumber key, Instant now) {
  if (until_.size() > kManyKeys) {
    std::erase_if(until_, [now](const auto& each) { return now >= each.second; });
  }
  until_[key] = now + kMemory;
}

bool UnservedKeys::Contains(KeyNumber key, Instant now) const {
  const auto found = until_.find(key);
  return found != until_.end() && now < found->second;
}

}  // namespace sycamorestall

#include "store/value_history.h"

#include <algorithm>

namespace sycamorestall {

namespace {

// Smaller values are sent whole.
constexpr std::size_t kMinValueBytes = 1024;
// Until then all receivers have confirmed a later version, or read the contents.
constexpr std::chrono::seconds kRetention{15};

}  // namespace

void ValueHistory::Put(const StoreItem& item, Instant now) {
  if (item.value.size() < kMinValueBytes) {
    versions_.erase(item.key);
    return;
  }
  versions_[item.key].push_back({item, now});
}

void ValueHistory::DiscardOld(Instant now) {
  for (auto& [key, versions] : versions_) {
    while (versions.size() > 1 && now - versions[1].added_at > kRetention) {
      versions.erase(versions.begin());
    }
  }
}

const StoreItem* ValueHistory::Find(const std::string& key, Revision revision) const {
  const StoreItem* version = CurrentAt(key, revision);
  return version != nullptr && version->revision == revision ? version : nullptr;
}

const StoreItem* ValueHistory::CurrentAt(const std::string& key, Revision revision) const {
  const auto found = versions_.find(key);
  if (found == versions_.end()) {
    return nullptr;
  }
  const auto later =
      std::find_if(found->second.begin(), found->second.end(),
                   [revision](const Version& each) { return each.item.revision > revision; });
  return later == found->second.begin() ? nullptr : &std::prev(later)->item;
}

}  // namespace sycamorestall

#include "store/operator_revisions.h"

#include <algorithm>

namespace sycamorestall {

void OperatorRevisions::RecordApplied(const std::vector<StoreEvent>& events) {
  for (const StoreEvent& each : events) {
    if (each.item.key.starts_with(prefix_)) {
      latest_ = std::max(latest_, each.item.revision);
    }
  }
  ForgetKnown();
}

void OperatorRevisions::RecordRead(Revision revision) {
  read_until_ = std::max(read_until_, revision);
  ForgetKnown();
}

void OperatorRevisions::RecordPeer(const InstanceId& peer, Revision revision, Instant now) {
  if (revision > std::max(latest_, read_until_)) {
    missing_.try_emplace(revision, Missing{revision, peer, now});
  }
}

std::optional<OperatorRevisions::Missing> OperatorRevisions::OldestMissing() const {
  return missing_.empty() ? std::nullopt : std::optional{missing_.begin()->second};
}

void OperatorRevisions::ForgetKnown() {
  missing_.erase(missing_.begin(), missing_.upper_bound(std::max(latest_, read_until_)));
}

}  // namespace sycamorestall

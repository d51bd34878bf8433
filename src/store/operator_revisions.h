#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/boot_clock.h"
#include "core/identifiers.h"
#include "store/store.h"

namespace sycamorestall {

// The latest revisions at which the operator's items were written or removed, as far as this daemon
// and its peers know. A daemon that hears of a later one than its own misses a change, whatever
// revision of the whole store it has reached.
class OperatorRevisions {
 public:
  // A change that a peer knows and this daemon does not.
  struct Missing {
    Revision revision;
    // The first peer that told, and when.
    InstanceId peer;
    Instant heard_at;

    friend bool operator==(const Missing&, const Missing&) = default;
  };

  // The keys of the operator's items begin with the prefix.
  explicit OperatorRevisions(std::string prefix) : prefix_(std::move(prefix)) {}

  const std::string& prefix() const { return prefix_; }
  // Notes events that were applied here.
  void RecordApplied(const std::vector<StoreEvent>& events);
  // Notes that this daemon has read all items at a revision, so that nothing up to it is missing.
  void RecordRead(Revision revision);
  // Notes the latest revision that a peer knows.
  void RecordPeer(const InstanceId& peer, Revision revision, Instant now);

  // The latest change known here; 0 if none is.
  Revision latest() const { return latest_; }
  // The oldest change that is missing here; empty if none is.
  std::optional<Missing> OldestMissing() const;

 private:
  void ForgetKnown();

  const std::string prefix_;
  Revision latest_;
  Revision read_until_;
  std::map<Revision, Missing> missing_;
};

}  // namespace sycamorestall

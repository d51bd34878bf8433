#pragma once

#include <optional>

#include "core/boot_clock.h"
#include "core/identifiers.h"
#include "store/operator_revisions.h"

namespace sycamorestall {

// Why updates are asked for at a moment.
struct MissingUpdates {
  // Whether updates before the latest one are missing.
  bool gap = false;
  // A change of the operator's that a peer knows; empty if none is missing.
  std::optional<OperatorRevisions::Missing> change;
  // The peer that knows most of the store, if this daemon reaches the store neither itself nor
  // through updates; otherwise empty.
  std::optional<InstanceId> informed_peer;
};

// Decides when a daemon asks another one for store updates that did not arrive, and whom.
class UpdateRequestSchedule {
 public:
  // Notes that an update of the sender could not be applied, as earlier ones are missing.
  void RecordGap(const InstanceId& sender) { gap_sender_ = sender; }
  // The daemon to ask now; empty if none.
  std::optional<InstanceId> Next(const MissingUpdates& missing, Instant now);

 private:
  std::optional<InstanceId> Choose(const MissingUpdates& missing, Instant now) const;

  std::optional<InstanceId> gap_sender_;
  std::optional<InstanceId> last_asked_;
  Instant next_request_at_;
};

}  // namespace sycamorestall

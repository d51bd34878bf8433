#pragma once

#include <map>

#include "core/boot_clock.h"
#include "core/identifiers.h"

namespace sycamorestall {

// Tracks what was sent to each receiver of store updates, so that updates in transit are not sent
// again at once. Without that, a congested link would get the same changes over and over.
class UpdateProgress {
 public:
  // Where the next update of a receiver starts.
  struct Start {
    Revision after;
    // Whether the receiver has not confirmed this revision yet.
    bool assumed = false;
    // Whether what follows was sent before, and not confirmed in time.
    bool resent = false;

    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Start&, const Start&) = default;
  };

  // Returns where the next update of a receiver starts that has confirmed a revision, and records
  // that the update reaches up to `until`.
  Start Advance(const InstanceId& receiver, Revision confirmed, Revision until, Instant now);

  // The same for a receiver that asks for all after a revision.
  Start Restart(const InstanceId& receiver, Revision known, Revision until, Instant now);

 private:
  struct Sent {
    Revision until;
    // When the receiver was last sent all that it had not confirmed.
    Instant all_sent_at;
  };

  std::map<InstanceId, Sent> sent_;
};

}  // namespace sycamorestall

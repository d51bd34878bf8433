#pragma once

#include <algorithm>
#include <chrono>

#include "core/boot_clock.h"

namespace sycamorestall {

// How the time between the store's acknowledgement that an endpoint drains, or has been removed,
// and the arrival of the last request at the endpoint is shared out. Whatever a daemon does with a
// request or an update in that time has to fit into one of these parts.
//
//   acknowledged      list at most kMaxListAge old   asks the store   sends
//   |------------------------------------------------|----------------|-------|
//   |----------------------- kMaxSendDelay ---------------------------|-------|
//   |---------------------------- kDrainLimit --------------------------------|

// No request reaches an endpoint later than this. It is the shortest limit that a deployment sets.
inline constexpr std::chrono::milliseconds kDrainLimit{2000};
// From the decision to send a request until it reaches the endpoint.
inline constexpr std::chrono::milliseconds kMaxSendTime{250};
// Until the store answers a call of a daemon that nobody tells of changes any more.
inline constexpr std::chrono::milliseconds kMaxStoreCallTime{100};
// A daemon whose knowledge of the list is older than this asks the store itself.
inline constexpr std::chrono::milliseconds kMaxListAge =
    kDrainLimit - kMaxSendTime - kMaxStoreCallTime;
// No request is sent to the endpoint later than this after the acknowledgement.
inline constexpr std::chrono::milliseconds kMaxSendDelay = kDrainLimit - kMaxSendTime;
// For this long after a daemon has learned of a drain it sends requests for keys that the endpoint
// owns, as these may not have moved yet.
inline constexpr std::chrono::milliseconds kOwnedKeysGrace{1000};

// Until when requests for keys that a draining endpoint owns are sent to it. `earliest_drain` is
// the latest moment at which the endpoint is known not to have drained: a daemon that learned late
// has less than the grace period left, or none.
inline Instant OwnedKeysDeadline(Instant earliest_drain, Instant learned_at) {
  return std::min<Instant>(learned_at + kOwnedKeysGrace, earliest_drain + kMaxSendDelay);
}

}  // namespace sycamorestall

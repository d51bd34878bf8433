#pragma once

#include <chrono>

namespace sycamorestall {

// How the time between the store's acknowledgement that an endpoint drains, or has been removed,
// and the arrival of the last request at the endpoint is shared out. Whatever a daemon does with a
// request or an update in that time has to fit into one of these parts.
//
//   acknowledged      list at most kMaxListAge old   asks the store   sends
//   |------------------------------------------------|----------------|-------|
//   |---------------- kOwnedKeysGrace --------------------------------|-------|
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
// Until then requests for keys that a draining endpoint owns are sent to it, as the keys may not
// have moved yet. It counts from the latest moment at which the endpoint is known not to have
// drained, however late the daemon learned of it.
inline constexpr std::chrono::milliseconds kOwnedKeysGrace = kDrainLimit - kMaxSendTime;

}  // namespace sycamorestall

#include "store/update_request_schedule.h"

namespace sycamorestall {

namespace {

// Until the answer to a request counts as lost.
constexpr std::chrono::milliseconds kRequestInterval{200};
// Between two requests of a daemon that cannot reach the store.
constexpr std::chrono::milliseconds kUnreachableInterval{400};
// The update with a change may arrive just after the gossip that tells of it.
constexpr std::chrono::milliseconds kChangeDelay{60};

}  // namespace

std::optional<InstanceId> UpdateRequestSchedule::Choose(const MissingUpdates& missing,
                                                        Instant now) const {
  const bool change_due = missing.change && now - missing.change->heard_at >= kChangeDelay;
  const bool gap_due = missing.gap && gap_sender_;
  // If both can be asked, they take turns: one of them may not be reached.
  if (gap_due && (!change_due || last_asked_ != gap_sender_)) {
    return gap_sender_;
  }
  return change_due ? std::optional{missing.change->peer} : missing.informed_peer;
}

std::optional<InstanceId> UpdateRequestSchedule::Next(const MissingUpdates& missing, Instant now) {
  if (now < next_request_at_) {
    return std::nullopt;
  }
  auto peer = Choose(missing, now);
  if (peer) {
    last_asked_ = peer;
    const bool is_missing_some = missing.gap || missing.change;
    next_request_at_ = now + (is_missing_some ? kRequestInterval : kUnreachableInterval);
  }
  return peer;
}

}  // namespace sycamorestall

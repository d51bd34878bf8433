#include "store/update_progress.h"

#include <algorithm>

namespace sycamorestall {

namespace {

// Longer than the interval of gossip, which carries the confirmations.
constexpr std::chrono::milliseconds kResendDelay{1000};

}  // namespace

UpdateProgress::Start UpdateProgress::Advance(const InstanceId& receiver, Revision confirmed,
                                              Revision until, Instant now) {
  Sent& sent = sent_[receiver];
  const bool in_transit = sent.until > confirmed && now - sent.all_sent_at < kResendDelay;
  if (in_transit) {
    const Start start{sent.until, true, false};
    sent.until = std::max(sent.until, until);
    return start;
  }
  return Restart(receiver, confirmed, until, now);
}

UpdateProgress::Start UpdateProgress::Restart(const InstanceId& receiver, Revision known,
                                              Revision until, Instant now) {
  Sent& sent = sent_[receiver];
  const bool resent = sent.until > known;
  sent = {std::max(known, until), now};
  return {known, false, resent};
}

}  // namespace sycamorestall

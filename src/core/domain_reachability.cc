#include "core/domain_reachability.h"

namespace sycamorestall {

namespace {

// Up to this many consecutive daemon messages may be lost by chance.
constexpr int kMaxMissedMessages = 4;
// Endpoints under constant load answer more often than this.
constexpr std::chrono::milliseconds kAnswerTimeout{300};
constexpr std::chrono::milliseconds kProbeInterval{250};

}  // namespace

void DomainReachability::RecordDaemonMessage(const DomainName& domain, Duration interval,
                                             Instant now) {
  DomainState& state = domains_[domain];
  state.last_daemon_message_at = now;
  state.daemon_message_interval = interval;
}

void DomainReachability::RecordEndpointAnswer(const DomainName& domain, Instant now) {
  domains_[domain].last_answer_at = now;
}

bool DomainReachability::IsUnreachable(const DomainName& domain, Instant now) const {
  const auto found = domains_.find(domain);
  if (found == domains_.end() || found->second.daemon_message_interval == Duration{}) {
    // Silence means nothing if no daemon of the domain has ever been heard.
    return false;
  }
  const DomainState& state = found->second;
  return now - state.last_daemon_message_at > kMaxMissedMessages * state.daemon_message_interval &&
         now - state.last_answer_at > kAnswerTimeout;
}

bool DomainReachability::AllowRequest(const DomainName& domain, Instant now) {
  if (!IsUnreachable(domain, now)) {
    return true;
  }
  DomainState& state = domains_[domain];
  if (now < state.next_probe_at) {
    return false;
  }
  state.next_probe_at = now + kProbeInterval;
  return true;
}

}  // namespace sycamorestall

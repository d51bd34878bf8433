#include "core/domain_watch.h"

namespace sycamorestall {

namespace {

// So many messages of daemons in a row may be lost by chance.
constexpr int kMissedMessages = 4;
// Endpoints that are asked all the time answer more often than this.
constexpr std::chrono::milliseconds kAnswerSilence{300};
constexpr std::chrono::milliseconds kTryInterval{250};

}  // namespace

void DomainWatch::HearDaemon(const DomainName& domain, Duration interval, Instant now) {
  Row& row = domains_[domain];
  row.daemon_at = now;
  row.daemon_interval = interval;
}

void DomainWatch::HearAnswer(const DomainName& domain, Instant now) {
  domains_[domain].answer_at = now;
}

bool DomainWatch::IsSilent(const DomainName& domain, Instant now) const {
  const auto found = domains_.find(domain);
  if (found == domains_.end() || found->second.daemon_interval == Duration{}) {
    // Without a daemon that was ever heard its silence says nothing.
    return false;
  }
  const Row& row = found->second;
  return now - row.daemon_at > kMissedMessages * row.daemon_interval &&
         now - row.answer_at > kAnswerSilence;
}

bool DomainWatch::MayTry(const DomainName& domain, Instant now) {
  if (!IsSilent(domain, now)) {
    return true;
  }
  Row& row = domains_[domain];
  if (now < row.next_try) {
    return false;
  }
  row.next_try = now + kTryInterval;
  return true;
}

}  // namespace sycamorestall

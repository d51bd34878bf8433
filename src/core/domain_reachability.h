#pragma once

#include <map>

#include "core/boot_clock.h"
#include "core/identifiers.h"

namespace sycamorestall {

// Detects failure domains that are cut off by a network partition: those whose daemons
// and endpoints have both become silent. This covers the first seconds of a partition,
// when connections are still open and requests sent over them are lost.
class DomainReachability {
 public:
  // Records a message from a daemon of the domain; interval is the time between the
  // daemon's messages.
  void RecordDaemonMessage(const DomainName& domain, Duration interval, Instant now);
  // Records an answer from an endpoint of the domain.
  void RecordEndpointAnswer(const DomainName& domain, Instant now);

  // Whether neither daemons nor endpoints of the domain have been heard recently.
  // False for a domain without any known daemon.
  bool IsUnreachable(const DomainName& domain, Instant now) const;
  // Whether a request may be sent to the domain: always while it is reachable, else
  // one request per probe interval, to detect its return.
  bool AllowRequest(const DomainName& domain, Instant now);

 private:
  struct DomainState {
    Instant last_daemon_message_at;
    Duration daemon_message_interval{};
    Instant last_answer_at;
    Instant next_probe_at;
  };

  std::map<DomainName, DomainState> domains_;
};

}  // namespace sycamorestall

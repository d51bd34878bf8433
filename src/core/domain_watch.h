#pragma once

#include <map>

#include "core/boot_clock.h"
#include "core/identifiers.h"

namespace sycamorestall {

// Tells failure domains that a cut has put out of reach, from the silence of
// their daemons and endpoints together. Answers the first seconds of a cut, when
// connections still stand and requests sent over them are lost.
class DomainWatch {
 public:
  // A daemon of the domain was heard; daemons speak up this often.
  void HearDaemon(const DomainName& domain, Duration interval, Instant now);
  // An endpoint of the domain answered.
  void HearAnswer(const DomainName& domain, Instant now);

  // Whether nothing has been heard from the domain for a while.
  bool IsSilent(const DomainName& domain, Instant now) const;
  // Whether a request may try the domain: always while it is not silent, and now
  // and then while it is, to find its return.
  bool MayTry(const DomainName& domain, Instant now);

 private:
  struct Row {
    Instant daemon_at;
    Duration daemon_interval{};
    Instant answer_at;
    Instant next_try;
  };

  std::map<DomainName, Row> domains_;
};

}  // namespace sycamorestall

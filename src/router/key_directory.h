#pragma once

#include <optional>

#include "core/boot_clock.h"
#include "core/key_range.h"

namespace sycamorestall {

// Looks up the owners of keys of all services for requests, and collects what requests
// learn about them.
class KeyDirectory {
 public:
  virtual ~KeyDirectory() = default;

  // The endpoint that serves a key; empty if none is known.
  virtual std::optional<InstanceId> OwnerOf(const ServiceName& service, KeyNumber key,
                                            Instant now) const = 0;
  // Whether a key without a known owner is likely to get one shortly.
  virtual bool IsOwnerExpectedSoon(const ServiceName& service, KeyNumber key,
                                   Instant now) const = 0;
  // Reports that a request gave up waiting for a key's owner.
  virtual void ReportOwnerWaitTimeout(const ServiceName& service, KeyNumber key, Instant now) = 0;
  // Counts a request towards the demand for a key.
  virtual void CountRequest(const ServiceName& service, KeyNumber key) = 0;
  // Reports to the leader that an endpoint does not hold a key routed to it.
  virtual void ReportNotOwner(const ServiceName& service, KeyNumber key,
                              const InstanceId& endpoint) = 0;
};

}  // namespace sycamorestall

#pragma once

#include <optional>

#include "core/boot_clock.h"
#include "core/key_range.h"

namespace sycamorestall {

// Knows the owners of keys of all services, for requests.
class KeyDirectory {
 public:
  virtual ~KeyDirectory() = default;

  // Who serves a key; empty while nobody is known to.
  virtual std::optional<InstanceId> OwnerOf(const ServiceName& service, KeyNumber key,
                                            Instant now) const = 0;
  // Whether an owner of a key that has none is likely to be known in a moment.
  virtual bool IsOwnerExpectedSoon(const ServiceName& service, KeyNumber key,
                                   Instant now) const = 0;
  // A request waited for a key's owner and none came.
  virtual void ReportOwnerWaitTimeout(const ServiceName& service, KeyNumber key, Instant now) = 0;
  // Counts a request for a key.
  virtual void CountRequest(const ServiceName& service, KeyNumber key) = 0;
  // Tells the leader that an endpoint does not hold a key it was thought to.
  virtual void ReportNotOwner(const ServiceName& service, KeyNumber key,
                              const InstanceId& endpoint) = 0;
};

}  // namespace sycamorestall

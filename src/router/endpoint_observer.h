#pragma once

#include "core/boot_clock.h"
#include "core/endpoint_notice.h"
#include "core/identifiers.h"

namespace sycamorestall {

// Collects what endpoints say about themselves in their answers.
class EndpointObserver {
 public:
  virtual ~EndpointObserver() = default;

  // Handles the notice of an answer to a request that was sent at the given time.
  virtual void HandleNotice(const InstanceId& endpoint, const EndpointNotice& notice,
                            Instant sent_at, Instant now) = 0;
};

}  // namespace sycamorestall

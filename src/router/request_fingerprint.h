#pragma once

#include "core/crashing_requests.h"
#include "net/caller_connection.h"

namespace sycamorestall {

// Computes the fingerprint of a request: its caller, method, host, target, key and body. The id and
// the caller's timeout differ when it comes again, and do not count.
RequestFingerprint FingerprintOf(const CallerExchange& exchange, const std::string& host,
                                 std::optional<std::uint32_t> key);

}  // namespace sycamorestall

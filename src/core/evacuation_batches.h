#pragma once

#include <cstddef>
#include <vector>

#include "core/boot_clock.h"
#include "core/key_demand.h"

namespace sycamorestall {

// How often the leader releases a batch of the keys of an evacuated failure domain.
inline constexpr std::chrono::milliseconds kEvacuationBatchInterval{250};

// The load of keys, in requests per second. Keys without requests count a little, so that large
// idle ranges are spread over endpoints as well.
double KeyLoad(const KeyRange& range, const KeyDemand& demand);

// Splits a range into adjacent pieces of at most this load. A key of a higher load is a piece of
// its own.
std::vector<KeyRange> SplitByLoad(const KeyRange& range, const KeyDemand& demand, double max_load);

// How many of the pieces that are left are released now, so that batches of about the same size
// empty the domain in time. All of them are if that time is over.
std::size_t EvacuationBatchSize(std::size_t pieces_left, Instant learned_at, Instant now);

}  // namespace sycamorestall

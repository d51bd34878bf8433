#pragma once

#include <cstddef>
#include <functional>
#include <string>

namespace sycamorestall::bench {

// Prints the cost of the core's decisions for one request.
void MeasureDecisions();
// Prints placement policies side by side.
void MeasurePlacement();
// Prints how state, messages and processor time grow with sizes.
void MeasureCapacity();
// Starts real processes and prints throughput and latency through daemons and
// straight from an endpoint.
void MeasurePath();

// Nanoseconds of processor time that one call takes, over many calls.
double NanosecondsPerCall(std::size_t calls, const std::function<void(std::size_t)>& call);
// Processor time that this process has used, in seconds.
double ProcessCpuSeconds();
// Bytes that this process has allocated and not freed.
std::size_t AllocatedBytes();

}  // namespace sycamorestall::bench

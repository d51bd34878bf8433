#pragma once

#include <cstddef>
#include <functional>
#include <string>

namespace sycamorestall::bench {

// Prints the processor time that the core takes per request.
void MeasureDecisions();
// Compares placement policies in a simulation.
void MeasurePlacement();
// Prints how state, messages and processor time grow with the size of a deployment.
void MeasureCapacity();
// Starts a deployment and prints throughput and latency of requests through daemons
// and of requests sent directly to endpoints.
void MeasurePath();

// Mean processor time of a call in nanoseconds, over `calls` calls.
double NanosecondsPerCall(std::size_t calls, const std::function<void(std::size_t)>& call);
// Processor time of this process, in seconds.
double ProcessCpuSeconds();
// Heap bytes in use by this process.
std::size_t AllocatedBytes();

}  // namespace sycamorestall::bench

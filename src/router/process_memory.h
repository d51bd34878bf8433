#pragma once

#include <cstddef>

namespace sycamorestall {

// The memory of the machine in bytes.
std::size_t MachineMemoryBytes();

// Makes the allocator return large blocks to the system as soon as they are freed.
void ReturnLargeBlocks();

// Returns freed memory to the system that the allocator keeps.
void ReturnFreedMemory();

}  // namespace sycamorestall

#pragma once

namespace sycamorestall {

// Makes the allocator return large blocks to the system as soon as they are freed.
void ReturnLargeBlocks();

// Returns freed memory to the system that the allocator keeps.
void ReturnFreedMemory();

}  // namespace sycamorestall

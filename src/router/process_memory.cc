#include "router/process_memory.h"

#include <malloc.h>

namespace sycamorestall {

namespace {

// Blocks of this size are mapped each by itself. By default the allocator raises the size with the
// blocks that it has seen, and then keeps the memory of large bodies.
constexpr int kMappedBlockBytes = 256 * 1024;

}  // namespace

void ReturnLargeBlocks() { mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes); }

void ReturnFreedMemory() { malloc_trim(0); }

}  // namespace sycamorestall

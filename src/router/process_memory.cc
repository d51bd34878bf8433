#include "router/process_memory.h"

#include <malloc.h>
#include <unistd.h>

namespace sycamorestall {

namespace {

// Blocks of this size are mapped each by itself. By default the allocator raises the size with the
// blocks that it has seen, and then keeps the memory of large bodies.
constexpr int kMappedBlockBytes = 256 * 1024;

}  // namespace

std::size_t MachineMemoryBytes() {
  return static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) *
         static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

void ReturnLargeBlocks() { mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes); }

void ReturnFreedMemory() { malloc_trim(0); }

}  // namespace sycamorestall

#include <malloc.h>

#include <ctime>

#include "benchmarks.h"

namespace sycamorestall::bench {

double ProcessCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

double NanosecondsPerCall(std::size_t calls, const std::function<void(std::size_t)>& call) {
  const double start = ProcessCpuSeconds();
  for (std::size_t i = 0; i < calls; ++i) {
    call(i);
  }
  return (ProcessCpuSeconds() - start) * 1e9 / static_cast<double>(calls);
}

std::size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

}  // namespace sycamorestall::bench

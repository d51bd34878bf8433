#include "net/answer_memory.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace sycamorestall;  // NOLINT

// Guards against a daemon that many endpoints at once fill with bytes without end, each of them
// with few enough to pass.
TEST_CASE("answers of any number of connections that grow without end hold little memory") {
  constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
  // Half the memory of the smallest machines.
  constexpr std::size_t kMaxBytes = std::size_t{130} << 20;
  for (const std::size_t connections : {8, 100, 1000, 3000}) {
    CAPTURE(connections);
    AnswerMemory memory;
    std::vector<std::size_t> held(connections, 0);
    std::size_t most = 0;
    int small_refused = 0;
    for (int round = 0; round < 2000; ++round) {
      for (std::size_t& each : held) {
        const bool may_grow = memory.Change(each, each + kReadBytes);
        most = std::max(most, memory.total());
        if (!may_grow) {
          memory.Change(each, 0);
        }
      }
      // Answers of a usual size get through all the time.
      std::size_t small = 0;
      small_refused += memory.Change(small, kReadBytes / 2) ? 0 : 1;
      memory.Change(small, 0);
    }
    CHECK(most <= kMaxBytes);
    CHECK(small_refused == 0);
  }
}

#include "store/update_progress.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace sycamorestall;  // NOLINT
using std::chrono::milliseconds;

namespace {

struct Step {
  milliseconds at;
  std::uint64_t confirmed;
  std::uint64_t until;
  std::uint64_t expected_after;
  bool expected_assumed;
};

struct Row {
  std::string name;
  std::vector<Step> steps;
};

}  // namespace

TEST_CASE("changes in transit are not sent again with each update") {
  const Row rows[] = {
      {"confirmed in time",
       {{milliseconds{0}, 10, 20, 10, false},
        {milliseconds{400}, 10, 21, 20, true},
        {milliseconds{800}, 21, 21, 21, false}}},
      {"never confirmed",
       {{milliseconds{0}, 10, 20, 10, false},
        {milliseconds{400}, 10, 20, 20, true},
        {milliseconds{800}, 10, 22, 20, true},
        {milliseconds{1200}, 10, 23, 10, false},
        {milliseconds{1600}, 10, 23, 23, true}}},
      {"receiver ahead of the sender",
       {{milliseconds{0}, 30, 20, 30, false}, {milliseconds{400}, 30, 31, 30, false}}},
      {"receiver started again and knows less",
       {{milliseconds{0}, 20, 20, 20, false}, {milliseconds{2000}, 15, 21, 15, false}}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const Instant begin = Instant{} + std::chrono::hours{1};
    UpdateProgress progress;
    for (const Step& step : row.steps) {
      CAPTURE(step.at.count());
      const UpdateProgress::Start start =
          progress.Advance(InstanceId{"a"}, {step.confirmed}, {step.until}, begin + step.at);
      CHECK(start.after.value == step.expected_after);
      CHECK(start.assumed == step.expected_assumed);
    }
  }
}

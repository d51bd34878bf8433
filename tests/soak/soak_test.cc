#include "soak/soak.h"

#include <doctest/doctest.h>

#include <charconv>
#include <cstdlib>
#include <string>

using namespace sycamorestall::testing;  // NOLINT

namespace {

// Seeds that are played, the last included.
struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t last = 2;
};

// The seeds of CI, unless others are named as in SOAK_SEEDS=100-150.
SeedRange Seeds() {
  SeedRange seeds;
  if (const char* text = std::getenv("SOAK_SEEDS")) {
    const std::string_view range{text};
    const std::size_t dash = range.find('-');
    std::from_chars(range.data(), range.data() + std::min(dash, range.size()), seeds.first);
    seeds.last = seeds.first;
    if (dash != std::string_view::npos) {
      std::from_chars(range.data() + dash + 1, range.data() + range.size(), seeds.last);
    }
  }
  return seeds;
}

// Says what led to a failure.
void Tell(const SoakReport& report) {
  for (const std::string& each : report.faults) {
    MESSAGE(each);
  }
  for (const std::string& each : report.last_failures) {
    MESSAGE(each);
  }
  MESSAGE("logs: ", report.folder);
}

}  // namespace

TEST_CASE("promises hold while everything around the daemons goes wrong") {
  constexpr std::chrono::seconds kFaulty{15};
  const SeedRange seeds = Seeds();
  for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
    CAPTURE(seed);
    const SoakReport report = Soak{seed}.Run(kFaulty);
    for (const std::string& each : report.broken) {
      FAIL_CHECK(each);
    }
    // When all is well again, all are served but for what chance breaks.
    const bool recovered = report.last_served * 100 >= report.last_asked * 99;
    CHECK(report.asked > 0);
    CHECK(recovered);
    if (!report.broken.empty() || !recovered) {
      Tell(report);
    }
    MESSAGE("seed ", seed, ": ", report.served, " served and ", report.refused, " refused of ",
            report.asked, "; at last ", report.last_served, " of ", report.last_asked);
  }
}

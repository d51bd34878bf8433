#include "soak/soak.h"

#include <doctest/doctest.h>

#include <charconv>
#include <cstdlib>
#include <string>

#include "soak/stop_soak.h"

using namespace sycamorestall::testing;  // NOLINT

namespace {

// Seeds to run, including the last.
struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t last = 2;
};

// Reads SOAK_SEEDS, such as 100-150 or 7; without it returns the seeds that CI runs.
SeedRange ReadSeeds() {
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

// Prints the events that led to a failure.
void PrintEvents(const SoakReport& report) {
  for (const std::string& line : report.events) {
    MESSAGE(line);
  }
  for (const std::string& line : report.final_failures) {
    MESSAGE(line);
  }
  MESSAGE("logs: ", report.log_directory);
}

}  // namespace

TEST_CASE("guarantees hold under random faults of daemons and all that they connect to") {
  constexpr std::chrono::seconds kFaultDuration{15};
  const SeedRange seeds = ReadSeeds();
  for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
    CAPTURE(seed);
    const SoakReport report = Soak{seed}.Run(kFaultDuration);
    for (const std::string& line : report.violations) {
      FAIL_CHECK(line);
    }
    // After recovery at least 99 of 100 requests are served; rare failures are tolerated.
    const bool recovered = report.final_served * 100 >= report.final_requests * 99;
    CHECK(report.requests > 0);
    CHECK(recovered);
    if (!report.violations.empty() || !recovered) {
      PrintEvents(report);
    }
    MESSAGE("seed ", seed, ": ", report.served, " served and ", report.refused, " refused of ",
            report.requests, "; after recovery ", report.final_served, " of ",
            report.final_requests);
  }
}

TEST_CASE("no request that ran is left without an answer by planned stops") {
  constexpr std::chrono::seconds kStopsDuration{8};
  const SeedRange seeds = ReadSeeds();
  for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
    CAPTURE(seed);
    const StopSoakReport report = StopSoak{seed}.Run(kStopsDuration);
    for (const std::string& line : report.violations) {
      FAIL_CHECK(line);
    }
    CHECK(report.stops > 0);
    CHECK(report.answered > report.refused);
    MESSAGE("seed ", seed, ": ", report.stops, " stops, ", report.answered, " of ", report.requests,
            " answered, ", report.refused, " refused, ", report.unanswered, " without answer");
  }
}

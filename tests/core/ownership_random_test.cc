#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

#include "core/ownership_world.h"

namespace sycamorestall::testing {

namespace {

constexpr int kLongestMs = 12'000;
constexpr int kLongestFaultMs = 4000;

rc::Gen<Fault> AnyFault() {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind,
                   rc::gen::map(rc::gen::inRange(0, kFaultKinds),
                                [](int kind) { return static_cast<FaultKind>(kind); })),
      rc::gen::set(&Fault::at_ms, rc::gen::inRange(0, kLongestMs)),
      rc::gen::set(&Fault::first, rc::gen::inRange(0, 12)),
      rc::gen::set(&Fault::second, rc::gen::inRange(0, 12)),
      rc::gen::set(&Fault::lasts_ms, rc::gen::inRange(0, kLongestFaultMs)));
}

void CheckRandomRuns(bool endpoints_check_token) {
  const bool held = rc::check([endpoints_check_token] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto faults = *rc::gen::container<std::vector<Fault>>(40, AnyFault());
    OwnershipWorld world(seed, endpoints_check_token);
    const WorldReport report = world.Run(faults);
    RC_ASSERT(report.complaint == std::string{});
    RC_ASSERT(report.served_at_end == 6U);
    RC_ASSERT(report.grants_seen > 0U);
  });
  CHECK(held);
}

}  // namespace

}  // namespace sycamorestall::testing

using sycamorestall::testing::CheckRandomRuns;

TEST_CASE("no shard has two owners in random runs") {
  struct Row {
    const char* name;
    bool endpoints_check_token;
  };
  const Row rows[] = {{"endpoints that check the token", true},
                      {"endpoints that do not check it", false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CheckRandomRuns(row.endpoints_check_token);
  }
}

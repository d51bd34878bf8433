#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

#include "core/ownership_simulation.h"

namespace sycamorestall::testing {

namespace {

constexpr int kMaxFaultStartMs = 12'000;
constexpr int kMaxFaultDurationMs = 4000;

rc::Gen<Fault> AnyFault() {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind,
                   rc::gen::map(rc::gen::inRange(0, kFaultKindCount),
                                [](int kind) { return static_cast<FaultKind>(kind); })),
      rc::gen::set(&Fault::at_ms, rc::gen::inRange(0, kMaxFaultStartMs)),
      rc::gen::set(&Fault::leader, rc::gen::inRange(0, 12)),
      rc::gen::set(&Fault::target, rc::gen::inRange(0, 24)),
      rc::gen::set(&Fault::duration_ms, rc::gen::inRange(0, kMaxFaultDurationMs)));
}

void CheckRandomRuns(bool endpoints_check_token) {
  const bool passed = rc::check([endpoints_check_token] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto faults = *rc::gen::container<std::vector<Fault>>(40, AnyFault());
    OwnershipSimulation simulation(seed, endpoints_check_token);
    const OwnershipReport report = simulation.Run(faults);
    RC_ASSERT(report.violation == std::string{});
    RC_ASSERT(report.served_at_end == 6U);
    RC_ASSERT(report.grants_seen > 0U);
  });
  CHECK(passed);
}

}  // namespace

}  // namespace sycamorestall::testing

using sycamorestall::testing::CheckRandomRuns;

TEST_CASE("no shard has two owners in known critical schedules") {
  using sycamorestall::testing::Fault;
  using sycamorestall::testing::FaultKind;
  using sycamorestall::testing::OwnershipSimulation;
  struct Row {
    const char* name;
    std::vector<Fault> faults;
  };
  const Row rows[] = {
      // The old leader resumes in a partition with an endpoint that the new leader had
      // fenced, but that has restarted since and forgotten the term.
      {"a restarted endpoint gets orders of an old leader in a partition",
       {{FaultKind::kPauseLeader, 1000, 0, 0, 1700},
        {FaultKind::kPartitionLeaderFromPeers, 1000, 0, 0, 6000},
        {FaultKind::kClaim, 1200, 1, 0, 0},
        {FaultKind::kPartitionLeaderFromEndpoint, 2500, 1, 0, 5000},
        {FaultKind::kPartitionLeaderFromEndpoint, 2500, 0, 1, 5000},
        {FaultKind::kPartitionLeaderFromEndpoint, 2500, 0, 2, 5000},
        {FaultKind::kPartitionLeaderFromEndpoint, 2500, 0, 3, 5000},
        {FaultKind::kRestartEndpoint, 2600, 0, 0, 50}}},
      {"a frozen endpoint resumes with renewals in its queue",
       {{FaultKind::kFreezeEndpoint, 1000, 0, 0, 3000},
        {FaultKind::kFreezeEndpoint, 1000, 0, 1, 3000},
        {FaultKind::kDelayMessages, 900, 0, 0, 4000}}},
      {"a grant arrives after the revocation of its shard",
       {{FaultKind::kMove, 1000, 0, 6, 0},
        {FaultKind::kMove, 1500, 0, 12, 0},
        {FaultKind::kDelayGrant, 2000, 0, 1, 620},
        {FaultKind::kMove, 2001, 0, 6, 0},
        {FaultKind::kMove, 2500, 0, 12, 0}}},
      // Endpoints that do not check the token take the grant of the leader's earlier life.
      {"a restarted leader moves a shard while a grant that it sent before is on its way",
       {{FaultKind::kMove, 1000, 0, 6, 0},
        {FaultKind::kMove, 1500, 0, 12, 0},
        {FaultKind::kDelayGrant, 2000, 0, 1, 700},
        {FaultKind::kMove, 2001, 0, 6, 0},
        {FaultKind::kRestartLeader, 2150, 0, 0, 0},
        {FaultKind::kClaim, 2160, 0, 0, 0},
        {FaultKind::kMove, 2250, 0, 12, 0},
        {FaultKind::kMove, 2300, 0, 12, 0},
        {FaultKind::kMove, 2400, 0, 12, 0}}},
      {"a leader is paused between finding a lease expired and its write",
       {{FaultKind::kFreezeEndpoint, 1000, 0, 1, 4000},
        {FaultKind::kPauseLeader, 2050, 0, 0, 3000},
        {FaultKind::kClaim, 2500, 1, 0, 0},
        {FaultKind::kLoseStoreReplies, 2000, 0, 0, 2000}}},
  };
  constexpr std::uint64_t kSeeds = 40;
  for (const Row& row : rows) {
    for (const bool checks : {true, false}) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CAPTURE(std::string(row.name));
        CAPTURE(checks);
        CAPTURE(seed);
        const auto report = OwnershipSimulation(seed, checks).Run(row.faults);
        CHECK(report.violation == std::string{});
        CHECK(report.served_at_end == 6U);
      }
    }
  }
}

TEST_CASE("no shard has two owners in random runs") {
  struct Row {
    const char* name;
    bool endpoints_check_token;
  };
  const Row rows[] = {{"endpoints that check the token", true},
                      {"endpoints that do not check it", false}};
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    CheckRandomRuns(row.endpoints_check_token);
  }
}

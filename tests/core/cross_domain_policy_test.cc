// Decisions of the cross-domain policy for given loads.

#include "core/cross_domain_policy.h"

#include <doctest/doctest.h>

#include <string>

using namespace sycamorestall;  // NOLINT

namespace {

const ServiceName kService{"meters"};
const DomainName kOwn{"own"};
const DomainName kNear{"near"};
const DomainName kFar{"far"};
constexpr Instant kStart{std::chrono::hours{1}};
constexpr std::size_t kSlots = 10;
constexpr std::size_t kUploadBytes = 60'000;

// One endpoint in each domain, named after it.
EndpointFleet MakeFleet(std::size_t own, std::size_t near, std::size_t far) {
  EndpointFleet fleet;
  const std::pair<DomainName, std::size_t> loads[] = {{kOwn, own}, {kNear, near}, {kFar, far}};
  for (const auto& [domain, load] : loads) {
    EndpointEntry entry;
    entry.id = InstanceId{domain.value()};
    entry.service = kService;
    entry.domain = domain;
    entry.slots = kSlots;
    fleet.Put(entry, kStart);
    fleet.SetPeersInFlight(entry.id, load);
    fleet.AddServiceTimes(entry.id, {1, 0.5});
  }
  return fleet;
}

// Updates until the smoothed load has settled.
void Settle(CrossDomainPolicy& policy, const EndpointFleet& fleet,
            const DomainReachability& domains) {
  for (int i = 0; i < 30; ++i) {
    policy.Update(fleet, domains, {}, kStart + std::chrono::milliseconds{100} * i);
  }
}

}  // namespace

// Guards against requests that leave without a shortage, into domains as full, or into those that
// are out of reach or lose requests.
TEST_CASE("the share that leaves follows from the load at home and the room elsewhere") {
  struct Row {
    std::string name;
    std::size_t own;
    std::size_t near;
    std::size_t far;
    CrossDomainLoad peers;
    double min_share;
    double max_share;
    std::set<DomainName> targets;
  };
  const Row rows[] = {
      {"room at home", 8, 0, 0, {}, 0, 0, {kFar, kNear}},
      {"excess outside already", 9, 3, 0, {3, 0}, 0.1, 0.25, {kFar, kNear}},
      {"full, and one domain as well", 13, 12, 2, {}, 0.1, 0.3, {kFar}},
      {"full everywhere", 13, 12, 12, {}, 0, 0, {}},
      {"few of ours outside, and room at home again", 4, 2, 0, {2, 0}, 0, 0, {kFar, kNear}}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CrossDomainPolicy policy{kOwn};
    policy.SetPeerLoads({{kService, row.peers}});
    Settle(policy, MakeFleet(row.own, row.near, row.far), {});
    const CrossDomainShare& share = policy.ShareOf(kService);
    CHECK(share.large_bodies >= row.min_share);
    CHECK(share.large_bodies <= row.max_share);
    CHECK(share.targets == row.targets);
  }
}

// Guards against a shortage that is served with uploads abroad while small requests stay.
TEST_CASE("small bodies leave before large ones") {
  CrossDomainPolicy policy{kOwn};
  for (const std::size_t bytes : {std::size_t{0}, kUploadBytes}) {
    policy.RecordAttempt(kService, kOwn, bytes, AttemptResult::kServed, std::chrono::seconds{1},
                         kStart);
  }
  Settle(policy, MakeFleet(13, 0, 0), {});
  const CrossDomainShare& share = policy.ShareOf(kService);
  CHECK(share.small_bodies > 0.2);
  CHECK(share.large_bodies == 0);
}

// Guards against requests that are sent into a domain that cannot answer.
TEST_CASE("a domain that is cut off or loses requests is no target") {
  DomainReachability domains;
  domains.RecordDaemonMessage(kNear, std::chrono::milliseconds{100},
                              kStart - std::chrono::hours{1});
  CrossDomainPolicy policy{kOwn};
  for (int i = 0; i < 3; ++i) {
    policy.RecordAttempt(kService, kFar, 0, AttemptResult::kUnreachable, {},
                         kStart + std::chrono::seconds{3});
  }
  Settle(policy, MakeFleet(13, 0, 0), domains);
  CHECK(policy.ShareOf(kService).targets.empty());
  CHECK_FALSE(policy.Leaves(kService, 0, 1));
}

// Guards against requests that fail or come late at home although another domain can serve them.
TEST_CASE("a request goes elsewhere at once if home cannot serve it in time") {
  struct Row {
    std::string name;
    bool home_drains;
    bool tried_home;
    std::size_t home_load;
    bool stays;
  };
  const Row rows[] = {{"room at home", false, false, 0, true},
                      {"no endpoint at home", true, false, 0, false},
                      {"a retry", false, true, 0, false},
                      {"late at home", false, false, 40, false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EndpointFleet fleet = MakeFleet(0, 0, 0);
    EndpointEntry home = fleet.Find(InstanceId{kOwn.value()})->entry;
    home.draining = row.home_drains;
    fleet.Put(home, kStart);
    CrossDomainPolicy policy{kOwn};
    Settle(policy, fleet, {});
    // The load has only just risen, so the shares do not show it.
    fleet.SetPeersInFlight(home.id, row.home_load);
    const DomainReachability domains;
    EndpointChoiceRequest request{kService, kOwn, {}, 1.2, domains, kStart};
    if (row.tried_home) {
      request.tried.insert(home.id);
    }
    request.without_keys = {kUploadBytes, std::chrono::seconds{2}};
    const auto choice = CrossDomainChooser{policy}.Choose(fleet, request);
    REQUIRE(choice.has_value());
    CHECK((choice->endpoint == home.id) == row.stays);
  }
}

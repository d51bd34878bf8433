#include "core/reported_load.h"

#include <doctest/doctest.h>

#include "core/admission.h"

using namespace sycamorestall;  // NOLINT

using std::chrono::milliseconds;

namespace {

const InstanceId kEndpoint{"a"};
const Instant kStart{std::chrono::seconds{100}};

EndpointFleet MakeFleet() {
  EndpointFleet fleet;
  EndpointEntry entry;
  entry.id = kEndpoint;
  entry.service = ServiceName{"pumps"};
  entry.slots = 4;
  fleet.Put(entry, kStart);
  return fleet;
}

}  // namespace

// Guards against reports that make an endpoint look idle or full for good, and against wrong ones.
TEST_CASE("a reported load replaces the counted one while it is newer, if it can be") {
  struct Row {
    std::string name;
    ReportedLoad load;
    bool ignored;
    std::size_t expected;
  };
  // This daemon has 2 requests there, the others reported 5.
  const Row rows[] = {{"more than counted", {4, 9, 4, {}}, false, 13},
                      {"less than counted", {3, 0, 4, {}}, false, 3},
                      {"less than this daemon has there", {0, 0, 4, {}}, false, 2},
                      {"slots of another endpoint", {3, 0, 8, {}}, true, 7},
                      {"more running than slots", {5, 0, 4, {}}, true, 7}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    EndpointFleet fleet = MakeFleet();
    fleet.BeginRequest(kEndpoint);
    fleet.BeginRequest(kEndpoint);
    fleet.SetPeersInFlight(kEndpoint, 5);
    EndpointNotice notice;
    notice.load = row.load;
    const Instant now = kStart + milliseconds{10};
    CHECK(fleet.HandleNotice(kEndpoint, notice, kStart, now).ignored_load == row.ignored);
    fleet.DropReportedCounts(now - milliseconds{50});
    CHECK(fleet.Find(kEndpoint)->load() == row.expected);
    fleet.DropReportedCounts(now + milliseconds{1});
    CHECK(fleet.Find(kEndpoint)->load() == 7);
  }
}

TEST_CASE("a reported service time counts where there is a choice, for a short while") {
  EndpointFleet fleet = MakeFleet();
  EndpointEntry other = fleet.Find(kEndpoint)->entry;
  other.id = InstanceId{"b"};
  fleet.Put(other, kStart);
  EndpointNotice notice;
  notice.load = ReportedLoad{0, 0, 4, 300};
  fleet.HandleNotice(kEndpoint, notice, kStart, kStart);
  const double owner_s = ExpectedLatencySeconds(*fleet.Find(kEndpoint), 0.1, kStart);
  CHECK(owner_s == ExpectedLatencySeconds(*fleet.Find(other.id), 0.1, kStart));
  const DomainReachability domains;
  const auto choose = [&](Instant now) {
    return LeastLatencyChooser{}
        .Choose(fleet, {other.service, DomainName{}, {}, 1.2, domains, now})
        ->endpoint;
  };
  CHECK(choose(kStart) == other.id);
  CHECK(fleet.Find(kEndpoint)->reported_load.ServiceTimeFactor(kStart + milliseconds{1000}) < 1.05);
}

// Guards against filling an endpoint with a short queue as if it took what the target allows.
TEST_CASE("an endpoint that refused requests gets fewer for some seconds") {
  EndpointFleet fleet = MakeFleet();
  fleet.SetPeersInFlight(kEndpoint, 6);
  const auto admitted = [&](Instant now) {
    AdmissionRequest request;
    request.time_left = std::chrono::seconds{5};
    request.now = now;
    return CheckAdmission(*fleet.Find(kEndpoint), 0.2, request).admitted;
  };
  CHECK(admitted(kStart));
  // It was thought to have a free slot: nothing is learned from that.
  fleet.RecordRefusal(kEndpoint, 1, kStart);
  CHECK(admitted(kStart));
  fleet.RecordRefusal(kEndpoint, 1.5, kStart);
  CHECK_FALSE(admitted(kStart));
  CHECK(admitted(kStart + std::chrono::seconds{2}));
}

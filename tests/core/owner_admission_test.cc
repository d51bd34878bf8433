#include "core/owner_admission.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <queue>
#include <string>

using namespace sycamorestall;  // NOLINT

using std::chrono::milliseconds;

namespace {

const InstanceId kOwner{"owner"};

EndpointFleet MakeFleet(std::size_t peers_in_flight, Instant now) {
  EndpointFleet fleet;
  EndpointEntry entry;
  entry.id = kOwner;
  entry.slots = 6;
  fleet.Put(entry, now);
  fleet.SetPeersInFlight(kOwner, peers_in_flight);
  return fleet;
}

AdmissionRequest MakeRequest(Instant now) {
  AdmissionRequest request;
  request.time_left = milliseconds{2500};
  request.target_left = milliseconds{1500};
  request.now = now;
  return request;
}

}  // namespace

// Guards against daemons that together send a contended owner more than it finishes, and against
// shares below one request that never fall due, at some daemon or at all.
TEST_CASE("all daemons together send a contended owner what it finishes, each in its turn") {
  // Enough for 30 equal turns of each of 300 daemons.
  constexpr int kPeriods = 2400;
  constexpr double kServiceTimeSeconds = 0.4;
  // What the latency target allows while the owner is busy, 0.7 * 1.5 s / 0.4 s a slot, and how
  // long a request is there then.
  constexpr std::size_t kLoad = 15;
  constexpr Duration kTimeThere = milliseconds{1000};
  for (const std::size_t daemons : {5, 34, 93, 300}) {
    CAPTURE(daemons);
    const Duration age = milliseconds{260};
    int sent = 0;
    int least = kPeriods;
    for (std::size_t i = 0; i < daemons; ++i) {
      OwnerAdmission admission{InstanceId{"d" + std::to_string(i)}};
      EndpointFleet fleet = MakeFleet(kLoad, Instant{});
      std::queue<Instant> own_sent;
      int own = 0;
      // Requests come evenly, and so many that each daemon notices.
      for (Instant now{}; now < Instant{} + kPeriods * age; now += milliseconds{80}) {
        while (!own_sent.empty() && now - own_sent.front() >= kTimeThere) {
          own_sent.pop();
          fleet.CancelRequest(kOwner);
        }
        // The other daemons have the rest of the load.
        fleet.SetPeersInFlight(kOwner, kLoad - std::min(kLoad, own_sent.size()));
        fleet.CountDemand(kOwner, now);
        AdmissionRequest request = MakeRequest(now);
        request.daemons = daemons;
        const EndpointState& owner = *fleet.Find(kOwner);
        const double expected_s = kServiceTimeSeconds * owner.queueing_factor();
        if (admission.Admit(owner, expected_s, request, age).admitted) {
          ++own;
          own_sent.push(now);
          fleet.BeginRequest(kOwner);
        }
      }
      sent += own;
      least = std::min(least, own);
    }
    const double finished =
        6 / kServiceTimeSeconds * kPeriods * std::chrono::duration<double>(age).count();
    CHECK(sent >= 0.8 * finished);
    CHECK(sent <= 1.3 * finished);
    CHECK(least >= 1);
  }
}

// Guards against a kind of request that gets nothing while a more urgent one fills the queue.
TEST_CASE("requests of the lowest priority get some of the room that urgent ones fill") {
  // More than the least urgent kind may use: 6 + 0.2 * 9 requests.
  EndpointFleet fleet = MakeFleet(9, Instant{});
  constexpr int kRequests = 100;
  int urgent = 0;
  int other = 0;
  for (int i = 0; i < kRequests; ++i) {
    AdmissionRequest request = MakeRequest(Instant{});
    request.random = (i + 0.5) / kRequests;
    const EndpointState& owner = *fleet.Find(kOwner);
    urgent += CheckAdmission(owner, 0.4 * owner.queueing_factor(), request).admitted ? 1 : 0;
    request.priority = 9;
    other += CheckAdmission(owner, 0.4 * owner.queueing_factor(), request).admitted ? 1 : 0;
  }
  CHECK(urgent == kRequests);
  CHECK(other >= kRequests / 10);
  CHECK(other <= kRequests / 5);
}

// When the keys of an owner that leaves, returns or seems to have ended are free for others.

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>

#include "core/single_leader_setup.h"

using namespace sycamorestall;           // NOLINT
using namespace sycamorestall::testing;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// How long an endpoint may hold keys after a grant: 4 s by a clock that runs slow by 2 in 100.
constexpr milliseconds kLongestHold{4080};
constexpr milliseconds kReleaseTimeout{3000};
constexpr milliseconds kGrantTimeout{700};

// Lists the owner, in the domain north, as ready or draining.
void ListOwner(SingleLeaderSetup& setup, bool draining) {
  setup.AddEndpoint(ScriptedOwner::Id().value(), "10.0.0.1", "soil", "north", draining);
}

// Lists the owner and another endpoint, and runs until both own keys.
void StartWithTwoOwners(SingleLeaderSetup& setup) {
  ListOwner(setup, false);
  setup.AddEndpoint("b", "10.0.0.2", "soil", "south");
  setup.RunFor(seconds{5});
  REQUIRE(setup.Owners().size() == 2);
}

}  // namespace

// Guards against keys that are given to another endpoint while their owner still runs requests for
// them, as it has answered a grant with "outdated token" after a release that it has yet to answer.
TEST_CASE("a refused grant frees no keys for others before the owner's grants have run out") {
  using Change = std::function<void(SingleLeaderSetup&)>;
  const Change evacuate = [](SingleLeaderSetup& setup) {
    setup.fleet.SetEvacuated(DomainName{"north"}, true, setup.now);
  };
  const Change withdraw = [](SingleLeaderSetup& setup) {
    setup.fleet.SetEvacuated(DomainName{"north"}, false, setup.now);
  };
  const Change drain = [](SingleLeaderSetup& setup) { ListOwner(setup, true); };
  const Change list = [](SingleLeaderSetup& setup) { ListOwner(setup, false); };
  const Change remove = [](SingleLeaderSetup& setup) {
    setup.fleet.Remove(ScriptedOwner::Id(), setup.now);
  };
  struct Row {
    const char* name;
    Change leave;
    Change come_back;
    // Whether the owner is cold when it is back, so that others are preferred.
    bool cold;
    // Whether it leaves once more before the leader can act on its return.
    bool leaves_again;
    // When the release fails, as requests still run.
    milliseconds release_fails_after;
  };
  constexpr milliseconds kReset{100};
  const Row rows[] = {
      {"evacuation withdrawn", evacuate, withdraw, false, false, kReleaseTimeout},
      {"evacuation withdrawn, owner cold", evacuate, withdraw, true, false, kReleaseTimeout},
      {"evacuation withdrawn, connection reset", evacuate, withdraw, true, false, kReset},
      {"evacuation withdrawn, and another begins", evacuate, withdraw, true, true, kReset},
      {"draining withdrawn", drain, list, false, false, kReleaseTimeout},
      {"draining withdrawn, owner cold", drain, list, true, false, kReset},
      {"draining withdrawn, and draining again", drain, list, true, true, kReset},
      {"listed again", remove, list, false, false, kReleaseTimeout},
      {"listed again, owner cold", remove, list, true, false, kReset},
      {"listed again, and removed again", remove, list, true, true, kReset},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    SingleLeaderSetup setup;
    setup.fleet.SetColdTerms(ServiceName{"soil"}, {seconds{3}, 4});
    StartWithTwoOwners(setup);

    // The endpoint refuses tokens below that of a release.
    FencingToken seen;
    Instant held_until;
    bool granted_again = false;
    ScriptedOwner owner{setup,
                        [&](const SendGrant& grant) -> ScriptedOwner::Answer {
                          if (grant.grant.token < seen) {
                            return {OrderReply::Outcome::kOutdated};
                          }
                          granted_again = granted_again || seen != FencingToken{};
                          held_until = setup.now + grant.grant.time_to_live;
                          return {OrderReply::Outcome::kDone};
                        },
                        [&](const SendRelease& release) -> ScriptedOwner::Answer {
                          seen = std::max(seen, release.token);
                          return {std::nullopt, row.release_fails_after};
                        }};
    owner.RunFor(milliseconds{1500});
    row.leave(setup);
    while (seen == FencingToken{}) {
      owner.RunFor(milliseconds{20});
    }
    owner.RunFor(row.release_fails_after - milliseconds{40});
    row.come_back(setup);
    if (row.cold) {
      setup.fleet.AssumeCold(ScriptedOwner::Id(), setup.now + seconds{30});
    }
    if (row.leaves_again) {
      owner.RunFor(milliseconds{60});
      row.leave(setup);
    }
    owner.RunFor(seconds{1});
    // Its keys are served again at once by the only endpoint that may serve them.
    CHECK((granted_again || row.leaves_again));
    owner.RunFor(seconds{9});
    CHECK((!owner.given_on_at() || *owner.given_on_at() >= held_until));
    CHECK((owner.given_on_at() || !row.leaves_again));
  }
}

// Guards against keys that are given away at once, as an entry of another writer has the address of
// their owner, whose own entry has lapsed while it holds the keys and answers orders.
TEST_CASE("an entry with an owner's address frees its keys only if the answer there agrees") {
  // What is at the owner's address.
  enum class Answerer {
    kOwner,
    kNobody,
    kAnotherEndpoint,
    // Another endpoint, but nobody before it is listed.
    kAnotherEndpointOnceListed,
    kUnknownProgram
  };
  enum class GivenOn { kOnceReleased, kOnceExpired, kAtOnce };
  struct Row {
    const char* name;
    const char* service;
    Answerer answerer;
    // When the other entry is listed, after the removal of the owner's.
    milliseconds listed_after;
    GivenOn given_on;
  };
  constexpr milliseconds kEarlier{-3000};
  constexpr milliseconds kLater{1000};
  const Row rows[] = {
      {"unnamed service", "monitor", Answerer::kOwner, kEarlier, GivenOn::kOnceReleased},
      {"unnamed service, later", "monitor", Answerer::kOwner, kLater, GivenOn::kOnceReleased},
      {"unnamed service, silence", "monitor", Answerer::kNobody, kEarlier, GivenOn::kOnceExpired},
      {"unnamed service, silence, later", "monitor", Answerer::kNobody, kLater,
       GivenOn::kOnceExpired},
      {"unnamed service, refusal", "monitor", Answerer::kUnknownProgram, kEarlier,
       GivenOn::kOnceExpired},
      {"named service", "pumps", Answerer::kOwner, kEarlier, GivenOn::kOnceReleased},
      {"named service, later", "pumps", Answerer::kOwner, kLater, GivenOn::kOnceReleased},
      {"named service, silence", "pumps", Answerer::kNobody, kEarlier, GivenOn::kOnceExpired},
      {"named service, silence, later", "pumps", Answerer::kNobody, kLater, GivenOn::kOnceExpired},
      {"named service, refusal", "pumps", Answerer::kUnknownProgram, kEarlier,
       GivenOn::kOnceExpired},
      {"named service, refusal, later", "pumps", Answerer::kUnknownProgram, kLater,
       GivenOn::kOnceExpired},
      {"named service, another id", "pumps", Answerer::kAnotherEndpoint, kEarlier,
       GivenOn::kAtOnce},
      {"named service, another id once listed", "pumps", Answerer::kAnotherEndpointOnceListed,
       kLater, GivenOn::kAtOnce},
      {"unnamed service, another id once listed", "monitor", Answerer::kAnotherEndpointOnceListed,
       kLater, GivenOn::kOnceExpired},
      {"no entry, another id", "", Answerer::kAnotherEndpoint, kEarlier, GivenOn::kAtOnce},
      {"no entry, refusal", "", Answerer::kUnknownProgram, kEarlier, GivenOn::kOnceExpired},
  };
  constexpr milliseconds kRequestTime{500};
  // The rest of an unanswered order, its retry, a step of the test each to notice, to write and to
  // grant, and a write interval.
  constexpr milliseconds kSlack{1000};
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    SingleLeaderSetup setup;
    StartWithTwoOwners(setup);
    bool removed = false;
    bool other_listed = false;
    const auto list_other = [&] {
      other_listed = true;
      if (*row.service != '\0') {
        setup.AddEndpoint("other", "10.0.0.1", row.service);
      }
    };
    const auto answer_after_removal = [&](Duration if_by_owner) -> ScriptedOwner::Answer {
      switch (row.answerer) {
        case Answerer::kOwner:
          return {OrderReply::Outcome::kDone, if_by_owner};
        case Answerer::kUnknownProgram:
          return {OrderReply::Outcome::kRefused};
        case Answerer::kAnotherEndpoint:
          return {OrderReply::Outcome::kAnotherEndpoint};
        case Answerer::kAnotherEndpointOnceListed:
          if (other_listed) {
            return {OrderReply::Outcome::kAnotherEndpoint};
          }
          break;
        case Answerer::kNobody:
          break;
      }
      return {std::nullopt, kGrantTimeout};
    };
    Instant held_until;
    std::optional<Instant> released_at;
    ScriptedOwner owner{setup,
                        [&](const SendGrant& /*grant*/) -> ScriptedOwner::Answer {
                          if (removed) {
                            return answer_after_removal({});
                          }
                          held_until = setup.now + kLongestHold;
                          return {OrderReply::Outcome::kDone};
                        },
                        [&](const SendRelease& /*release*/) {
                          released_at = released_at.value_or(setup.now + kRequestTime);
                          return answer_after_removal(kRequestTime);
                        }};
    if (row.listed_after < milliseconds{0}) {
      list_other();
      owner.RunFor(-row.listed_after);
    }
    owner.RunFor(seconds{2});
    removed = true;
    setup.fleet.Remove(ScriptedOwner::Id(), setup.now);
    const Instant removed_at = setup.now;
    if (row.listed_after > milliseconds{0}) {
      owner.RunFor(row.listed_after);
      list_other();
    }
    owner.RunFor(seconds{9});
    REQUIRE(owner.given_on_at().has_value());
    const Instant earliest = row.given_on == GivenOn::kOnceReleased
                                 ? released_at.value_or(setup.now)
                             : row.given_on == GivenOn::kOnceExpired
                                 ? held_until
                                 : removed_at + std::max(row.listed_after, milliseconds{0});
    CHECK(*owner.given_on_at() >= earliest);
    CHECK(*owner.given_on_at() <= earliest + kSlack);
  }
}

#include "core/unconfirmed_entries.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace sycamorestall;  // NOLINT
using std::chrono::milliseconds;

namespace {

const Instant kStart = Instant{} + std::chrono::hours{1};
const InstanceId kEndpoint{"a"};

UnconfirmedEntries::Candidate MakeCandidate(std::uint64_t incarnation, std::uint64_t heartbeat,
                                            int at_ms, EntryAge age = EntryAge::kUnconfirmedStart) {
  UnconfirmedEntries::Candidate candidate;
  candidate.entry.id = kEndpoint;
  candidate.entry.incarnation = {incarnation};
  candidate.entry.heartbeat = heartbeat;
  candidate.age = age;
  candidate.since = kStart + milliseconds{at_ms};
  return candidate;
}

}  // namespace

TEST_CASE("an entry that is held back is confirmed by a later heartbeat or by its stay") {
  struct Row {
    std::string name;
    std::vector<UnconfirmedEntries::Candidate> added;
    // Whether the last one added confirms the first.
    bool confirmed_by_last;
    int later_ms;
    bool confirmed_by_stay;
  };
  constexpr auto kReturn = EntryAge::kUnconfirmedReturn;
  const Row rows[] = {
      {"a return", {MakeCandidate(5, 7, 0, kReturn)}, false, 3900, false},
      {"a return that stays", {MakeCandidate(5, 7, 0, kReturn)}, false, 4100, true},
      {"a return and the next heartbeat",
       {MakeCandidate(5, 7, 0, kReturn), MakeCandidate(5, 8, 200, kReturn)},
       true,
       1300,
       false},
      {"one entry", {MakeCandidate(5, 7, 0)}, false, 1000, false},
      {"one entry that stays", {MakeCandidate(5, 7, 0)}, false, 1300, true},
      {"the next heartbeat", {MakeCandidate(5, 7, 0), MakeCandidate(5, 8, 870)}, true, 1300, false},
      {"the same heartbeat",
       {MakeCandidate(5, 7, 0), MakeCandidate(5, 7, 870)},
       false,
       1000,
       false},
      {"an earlier heartbeat",
       {MakeCandidate(5, 7, 0), MakeCandidate(5, 6, 870)},
       false,
       1000,
       false},
      {"two late writes", {MakeCandidate(5, 7, 0), MakeCandidate(5, 8, 300)}, false, 1000, false},
      {"of another incarnation",
       {MakeCandidate(5, 7, 0), MakeCandidate(4, 8, 870)},
       false,
       1300,
       false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    UnconfirmedEntries entries;
    bool confirmed = false;
    for (const auto& each : row.added) {
      confirmed = entries.Add(each);
    }
    CHECK(confirmed == row.confirmed_by_last);
    const Instant later = kStart + milliseconds{row.later_ms};
    CHECK(entries.TakeConfirmed(later).size() == (row.confirmed_by_stay ? 1 : 0));
    CHECK(entries.WasConfirmedRecently(kEndpoint, later) ==
          (row.confirmed_by_last || row.confirmed_by_stay));
    CHECK_FALSE(entries.WasConfirmedRecently(kEndpoint, later + std::chrono::seconds{4}));
  }
}

TEST_CASE("an entry that another one contradicts is not held back any longer") {
  UnconfirmedEntries entries;
  CHECK_FALSE(entries.Discard(kEndpoint));
  entries.Add(MakeCandidate(5, 7, 0));
  CHECK(entries.Discard(kEndpoint));
  CHECK(entries.empty());
  CHECK(entries.TakeConfirmed(kStart + std::chrono::seconds{5}).empty());
}

TEST_CASE("only the entry that is held back is confirmed by a health check") {
  struct Row {
    std::string name;
    std::uint64_t incarnation;
    std::uint64_t heartbeat;
    bool confirmed;
  };
  const Row rows[] = {{"the same", 5, 7, true},
                      {"another heartbeat", 5, 8, false},
                      {"another incarnation", 6, 7, false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    UnconfirmedEntries entries;
    entries.Add(MakeCandidate(5, 7, 0));
    const auto checked = MakeCandidate(row.incarnation, row.heartbeat, 0);
    CHECK(entries.Confirm(checked.entry, kStart).has_value() == row.confirmed);
    CHECK(entries.empty() == row.confirmed);
  }
}

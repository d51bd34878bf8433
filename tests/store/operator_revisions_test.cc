#include "store/operator_revisions.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace sycamorestall;  // NOLINT
using std::chrono::milliseconds;

namespace {

// A change that was applied here, or the latest one that a peer told of.
struct Step {
  milliseconds at;
  // Empty if the change was applied here.
  std::string peer;
  std::string key;
  Revision revision;
};

struct Row {
  std::string name;
  std::vector<Step> steps;
  Revision expected_latest;
  // Revision 0 if nothing is missing.
  Revision expected_missing;
  milliseconds expected_heard_at{0};
};

}  // namespace

TEST_CASE("a daemon notices the operator's changes that its peers know and it does not") {
  const Row rows[] = {
      {"nothing known", {}, {}, {}},
      {"only other keys changed", {{milliseconds{1}, "", "servers/a", {9}}}, {}, {}},
      {"peer as far",
       {{milliseconds{1}, "", "op/config", {9}}, {milliseconds{2}, "p", "", {9}}},
       {9},
       {}},
      {"peer further",
       {{milliseconds{1}, "", "op/config", {9}}, {milliseconds{2}, "p", "", {12}}},
       {9},
       {12},
       milliseconds{2}},
      {"the first of several missing ones counts",
       {{milliseconds{2}, "p", "", {12}},
        {milliseconds{3}, "q", "", {12}},
        {milliseconds{4}, "q", "", {15}}},
       {},
       {12},
       milliseconds{2}},
      {"an earlier one arrived",
       {{milliseconds{2}, "p", "", {12}},
        {milliseconds{4}, "q", "", {15}},
        {milliseconds{5}, "", "op/config", {12}}},
       {12},
       {15},
       milliseconds{4}},
      {"a later one arrived",
       {{milliseconds{2}, "p", "", {12}}, {milliseconds{5}, "", "op/config", {15}}},
       {15},
       {}},
      {"one of a later era",
       {{milliseconds{1}, "", "op/config", {90, {1}}}, {milliseconds{2}, "p", "", {12, {2}}}},
       {90, {1}},
       {12, {2}},
       milliseconds{2}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const Instant begin = Instant{} + std::chrono::hours{1};
    OperatorRevisions revisions{"op/"};
    for (const Step& step : row.steps) {
      if (step.peer.empty()) {
        revisions.RecordApplied({{{step.key, "", step.revision}, false}});
      } else {
        revisions.RecordPeer(InstanceId{step.peer}, step.revision, begin + step.at);
      }
    }
    CHECK(revisions.latest() == row.expected_latest);
    const auto missing = revisions.OldestMissing();
    CHECK((missing ? missing->revision : Revision{}) == row.expected_missing);
    if (missing) {
      CHECK(missing->heard_at == begin + row.expected_heard_at);
    }
  }
}

#include <doctest/doctest.h>

#include <string>

#include "core/idempotency_table.h"
#include "core/uuid_v7.h"

using namespace sycamorestall;  // NOLINT

namespace {

constexpr WallMilliseconds kNow{1'800'000'000'000};

CommandId MakeCommandId(std::chrono::milliseconds age, std::uint64_t random = 1) {
  return {ServiceName{"pumps"}, CustomerName{"cafe"}, MakeUuidV7(kNow - age, random, random)};
}

}  // namespace

TEST_CASE("idempotency keys are UUIDs of version 7") {
  struct Row {
    std::string name;
    std::string text;
    bool valid;
  };
  const Row rows[] = {{"valid", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", true},
                      {"upper case", "017F22E2-79B0-7CC3-98C4-DC0C0C07398F", true},
                      {"version 4", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", false},
                      {"other variant", "017f22e2-79b0-7cc3-c8c4-dc0c0c07398f", false},
                      {"short", "017f22e2-79b0-7cc3-98c4-dc0c0c07398", false},
                      {"missing hyphen", "017f22e2a79b0-7cc3-98c4-dc0c0c07398f", false},
                      {"not hexadecimal", "017f22e2-79b0-7cc3-98c4-dc0c0c07398g", false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK(ParseUuidV7(row.text).has_value() == row.valid);
  }
  const auto parsed = ParseUuidV7("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
  CHECK(parsed->created() == WallMilliseconds{0x017f22e279b0});
  CHECK(ToString(*parsed) == "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
  CHECK(ParseUuidV7(ToString(MakeUuidV7(kNow, 3, 4)))->created() == kNow);
}

TEST_CASE("commands are classified by age and by what the table holds") {
  using CommandStatus = IdempotencyTable::CommandStatus;
  IdempotencyTable table(IdempotencySettings{});
  table.Insert(MakeCommandId(std::chrono::seconds{1}, 2));
  table.Insert(MakeCommandId(std::chrono::seconds{1}, 3));
  table.SetAnswer(MakeCommandId(std::chrono::seconds{1}, 3),
                  Answer{Outcome::kRun, 200, "", "", "done", 0});
  struct Row {
    std::string name;
    CommandId id;
    CommandStatus expected;
  };
  const Row rows[] = {
      {"new", MakeCommandId(std::chrono::seconds{1}), CommandStatus::kNew},
      {"open", MakeCommandId(std::chrono::seconds{1}, 2), CommandStatus::kInProgress},
      {"answered", MakeCommandId(std::chrono::seconds{1}, 3), CommandStatus::kAnswered},
      {"a little ahead", MakeCommandId(std::chrono::milliseconds{-400}), CommandStatus::kNew},
      {"from the future", MakeCommandId(std::chrono::milliseconds{-600}), CommandStatus::kTooNew},
      {"old", MakeCommandId(std::chrono::minutes{11}), CommandStatus::kTooOld},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK(table.Classify(row.id, kNow) == row.expected);
  }
  CHECK(table.FindAnswer(MakeCommandId(std::chrono::seconds{1}, 3))->body == "done");
  table.Erase(MakeCommandId(std::chrono::seconds{1}, 2));
  CHECK(table.Classify(MakeCommandId(std::chrono::seconds{1}, 2), kNow) == CommandStatus::kNew);
}

TEST_CASE("no key is erased while it could still be classified as new") {
  IdempotencyTable table(IdempotencySettings{});
  const CommandId id = MakeCommandId(std::chrono::milliseconds{-400});
  table.Insert(id);
  table.SetAnswer(id, Answer{});
  for (std::chrono::milliseconds elapsed{0}; elapsed < std::chrono::minutes{12};
       elapsed += std::chrono::seconds{1}) {
    table.EraseExpired(kNow + elapsed);
    CHECK(table.Classify(id, kNow + elapsed) != IdempotencyTable::CommandStatus::kNew);
  }
  CHECK(table.size() == 0U);
}

TEST_CASE("a command may have run before if an earlier leader could have dispatched it") {
  const IdempotencyTable table(IdempotencySettings{});
  const WallMilliseconds exclusive_since = kNow;
  CHECK(
      table.MayHaveRunUnderEarlierLeader(MakeCommandId(std::chrono::seconds{1}), exclusive_since));
  // The earlier leader's clock may have been ahead, and so the keys that it accepted.
  CHECK(table.MayHaveRunUnderEarlierLeader(MakeCommandId(std::chrono::milliseconds{-500}),
                                           exclusive_since));
  CHECK(!table.MayHaveRunUnderEarlierLeader(MakeCommandId(std::chrono::milliseconds{-501}),
                                            exclusive_since));
}

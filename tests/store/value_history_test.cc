#include "store/value_history.h"

#include <doctest/doctest.h>

#include <random>
#include <string>

#include "store/store_update.h"

using namespace sycamorestall;  // NOLINT

namespace {

constexpr std::size_t kLargeValue = 300'000;
// The size of a datagram that is not split on its way.
constexpr std::size_t kSmallDatagram = 1400;

// A value that does not compress, in which one byte depends on the version.
std::string LargeValue(char version) {
  std::mt19937 random{1};
  std::string value(kLargeValue, '\0');
  for (char& each : value) {
    each = static_cast<char>(random());
  }
  value[kLargeValue / 2] = version;
  return value;
}

StoreItem MakeItem(std::uint64_t revision) {
  return {"key", LargeValue(static_cast<char>(revision)), {revision}};
}

}  // namespace

TEST_CASE("a version of a large value is sent as the difference from one that the receiver has") {
  struct Row {
    std::string name;
    // The version that the sender takes the receiver to have, or 0.
    std::uint64_t assumed;
    bool restored;
    bool small;
  };
  const Row rows[] = {{"known to both", 5, true, true},
                      {"unknown to the receiver", 7, false, true},
                      {"none", 0, true, false}};
  const Instant now = Instant{} + std::chrono::hours{1};
  ValueHistory sender;
  ValueHistory receiver;
  sender.Put(MakeItem(5), now);
  receiver.Put(MakeItem(5), now);
  sender.Put(MakeItem(7), now);
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const StoreEvent event{MakeItem(9), false};
    const RelayedEvent sent = CompressEvent(event, sender.CurrentAt("key", {row.assumed}));
    CHECK((sent.value.size() < kSmallDatagram) == row.small);
    const auto restored = DecompressEvent(sent, receiver);
    REQUIRE(restored.has_value() == row.restored);
    if (restored) {
      CHECK(*restored == event);
    }
  }
}

TEST_CASE("the version current at a revision is found until it has been replaced for long") {
  const Instant now = Instant{} + std::chrono::hours{1};
  ValueHistory values;
  values.Put(MakeItem(5), now);
  values.Put(MakeItem(7), now);
  CHECK(values.CurrentAt("key", {4}) == nullptr);
  CHECK(values.CurrentAt("key", {6})->revision.value == 5);
  CHECK(values.CurrentAt("key", {8})->revision.value == 7);
  CHECK(values.Find("key", {6}) == nullptr);
  values.DiscardOld(now + std::chrono::seconds{10});
  CHECK(values.Find("key", {5}) != nullptr);
  values.DiscardOld(now + std::chrono::seconds{20});
  CHECK(values.Find("key", {5}) == nullptr);
  CHECK(values.Find("key", {7}) != nullptr);
  values.Put({"key", "small", {9}}, now);
  CHECK(values.CurrentAt("key", {9}) == nullptr);
}

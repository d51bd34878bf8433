// The messages between daemons: what they take on the wire, and that bytes from anywhere are safe.

#include "router/daemon_message.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

#include "router/compact_archive.h"
#include "router/endpoint_hashes.h"

using namespace sycamorestall;  // NOLINT

namespace {

// Sizes of a deployment with 34 daemons.
constexpr std::size_t kEndpoints = 377;
constexpr std::size_t kOwners = 226;
constexpr std::size_t kLoads = 60;
constexpr std::size_t kRangesPerDatagram = 160;

std::string RandomId(std::mt19937& random) {
  std::string id = "i-";
  for (int i = 0; i < 10; ++i) {
    id.push_back("0123456789abcdef"[random() % 16]);
  }
  return id;
}

std::vector<InstanceId> MakeIds(std::mt19937& random) {
  std::set<InstanceId> ids;
  while (ids.size() < kEndpoints) {
    ids.insert(InstanceId{RandomId(random)});
  }
  return {ids.begin(), ids.end()};
}

EndpointFleet MakeFleet(const std::vector<InstanceId>& ids) {
  EndpointFleet fleet;
  for (const InstanceId& id : ids) {
    EndpointEntry entry;
    entry.id = id;
    fleet.Put(entry, {});
  }
  return fleet;
}

DaemonMessage MakeGossip(const std::vector<InstanceId>& ids, std::mt19937& random) {
  DaemonMessage message;
  message.sender = InstanceId{RandomId(random)};
  message.domain = DomainName{"z-1"};
  message.store_revision = {123'456, {1}};
  message.knows_recent_changes = true;
  message.weight = 0.24;
  EndpointHashes hashes;
  hashes.Update(MakeFleet(ids));
  std::vector<InstanceId> chosen;
  std::sample(ids.begin(), ids.end(), std::back_inserter(chosen), kLoads, random);
  for (const InstanceId& id : chosen) {
    const auto in_flight = static_cast<std::uint16_t>(1 + random() % 3);
    if (const auto hash = hashes.HashOf(id)) {
      message.hashed_loads.push_back({*hash, in_flight});
    } else {
      message.loads.push_back({id, in_flight});
    }
  }
  std::sort(message.hashed_loads.begin(), message.hashed_loads.end(),
            [](const HashedLoad& left, const HashedLoad& right) {
              return left.endpoint_hash < right.endpoint_hash;
            });
  return message;
}

DaemonMessage MakeAnnouncement(const std::vector<InstanceId>& ids, std::mt19937& random) {
  DaemonMessage message;
  message.sender = InstanceId{RandomId(random)};
  AnnouncementPart part;
  part.service = ServiceName{"soil"};
  part.term = {7};
  part.sequence = 4000;
  part.part_count = 2;
  KeyNumber first = 0;
  for (std::size_t i = 0; i < kRangesPerDatagram; ++i) {
    const KeyNumber last = first + static_cast<KeyNumber>(random() % 540);
    part.ranges.push_back({{first, last}, ids[random() % kOwners]});
    first = last + 1;
  }
  message.announcements = {part};
  return message;
}

}  // namespace

// Guards against an encoding that grows: traffic between failure domains is billed.
TEST_CASE("gossip and announcements take few bytes and survive a round trip") {
  std::mt19937 random{11};
  const std::vector<InstanceId> ids = MakeIds(random);
  const DaemonMessage gossip = MakeGossip(ids, random);
  const std::string gossip_bytes = EncodeMessage(gossip);
  const DaemonMessage announcement = MakeAnnouncement(ids, random);
  const std::string announcement_bytes = EncodeMessage(announcement);
  MESSAGE("gossip " << gossip_bytes.size() << " bytes, announcement " << announcement_bytes.size()
                    << " bytes");
  CHECK(gossip_bytes.size() <= 180);
  CHECK(announcement_bytes.size() <= 1450);
  const auto decoded_gossip = DecodeMessage(gossip_bytes);
  REQUIRE(decoded_gossip.has_value());
  CHECK(decoded_gossip->sender == gossip.sender);
  CHECK(decoded_gossip->domain == gossip.domain);
  CHECK(decoded_gossip->hashed_loads == gossip.hashed_loads);
  CHECK(decoded_gossip->loads.size() == gossip.loads.size());
  CHECK(decoded_gossip->store_revision == gossip.store_revision);
  CHECK(decoded_gossip->weight == gossip.weight);
  CHECK(decoded_gossip->knows_recent_changes);
  CHECK_FALSE(decoded_gossip->stopping);
  const auto decoded_announcement = DecodeMessage(announcement_bytes);
  REQUIRE(decoded_announcement.has_value());
  CHECK(decoded_announcement->announcements.front().ranges ==
        announcement.announcements.front().ranges);
}

// Guards against values that change on the way, at the limits of their types and of the encoding.
TEST_CASE("numbers and texts survive a round trip in the compact archive") {
  const std::uint64_t numbers[] = {
      0, 1, 127, 128, 16'383, 16'384, std::uint64_t{1} << 63U, ~std::uint64_t{0}};
  const std::string texts[] = {"",
                               "d1",
                               "i-48aa677580",
                               "i-0000000000",
                               "i-48aa67",
                               "i-48AA67",
                               "beef",
                               "i-123",
                               "x.1f2e",
                               std::string(40, 'z') + "0123",
                               std::string("\0a1b2", 5)};
  CompactOutputArchive out;
  for (const std::uint64_t number : numbers) {
    out(number);
  }
  for (const std::string& text : texts) {
    out(text);
  }
  CompactInputArchive in{out.bytes()};
  for (const std::uint64_t number : numbers) {
    std::uint64_t read = 0;
    in(read);
    CHECK(read == number);
  }
  for (const std::string& text : texts) {
    std::string read;
    in(read);
    CHECK(read == text);
  }
  CHECK(in.rest().empty());
}

// Guards against a datagram of another version, or from elsewhere, that ends the daemon, takes
// memory or counts as a message.
TEST_CASE("malformed datagrams are rejected") {
  struct Row {
    std::string name;
    std::string bytes;
  };
  const Row rows[] = {
      {"nothing", ""},
      {"another version",
       {"\x01\x00\x01\x08"
        "d1",
        6}},
      {"bytes behind the message",
       {"\xd2\x00\x01\x08"
        "d1x",
        7}},
      {"unknown part", {"\xd2\x00\x80\x80\x08", 5}},
      {"number of more than 64 bits", {"\xd2\x00\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\x7f", 13}},
      {"more loads than bytes", {"\xd2\x00\x20\xff\xff\xff\xff\x0f", 8}},
      {"odd number of digits", {"\xd2\x00\x01\x0d\x00\x12\x34", 7}},
      {"owner that is not listed",
       {"\xd2\x00\x80\x01\x01\x00\x00\x00\x00\x00\x01\x00\x01\x00\x01"
        "\x00",
        16}}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK_FALSE(DecodeMessage(row.bytes).has_value());
  }
  std::mt19937 random{3};
  const std::string usual = EncodeMessage(MakeGossip(MakeIds(random), random));
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = usual.substr(0, random() % (usual.size() + 1));
    for (std::size_t change = 0; change < 3 && !bytes.empty(); ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    const auto message = DecodeMessage(bytes);
    CHECK((!message || message->hashed_loads.size() <= bytes.size()));
  }
}

// Guards against requests counted at the wrong endpoint when two of them share a hash.
TEST_CASE("an endpoint that shares its hash with another is not named by it") {
  // Enough endpoints that some share their hashes of 16 bits.
  std::mt19937 random{5};
  std::vector<InstanceId> ids;
  for (int i = 0; i < 2000; ++i) {
    ids.emplace_back(RandomId(random));
  }
  EndpointHashes hashes;
  hashes.Update(MakeFleet(ids));
  std::size_t ambiguous = 0;
  for (const InstanceId& id : ids) {
    const auto hash = hashes.HashOf(id);
    ambiguous += hash ? 0 : 1;
    if (hash) {
      REQUIRE(hashes.Find(*hash) != nullptr);
      CHECK(*hashes.Find(*hash) == id);
    }
  }
  CHECK(ambiguous > 0);
  CHECK(ambiguous < 200);
  hashes.Update(MakeFleet({ids.front()}));
  CHECK(hashes.HashOf(ids.front()).has_value());
  CHECK_FALSE(hashes.HashOf(ids.back()).has_value());
}

#include <doctest/doctest.h>

#include <string>

#include "platform/directory_format.h"
#include "router/compact_archive.h"
#include "router/daemon_message.h"
#include "router/record_codec.h"

using namespace sycamorestall;  // NOLINT
using sycamorestall::platform::PlatformDirectoryFormat;

namespace {

// An endpoint entry in which the value of one field is replaced.
std::string EntryWith(const std::string& field, const std::string& value) {
  const std::pair<std::string, std::string> fields[] = {
      {"service", R"("soil")"}, {"address", R"("10.0.0.9:8080")"},
      {"zone", R"("north")"},   {"version", R"("v1")"},
      {"max_concurrency", "6"}, {"state", R"("ready")"},
      {"warmup_left_s", "0.5"}, {"seq", "4"},
      {"born", "1700000000000"}};
  std::string text = "{";
  bool replaced = false;
  for (const auto& [name, usual] : fields) {
    text += text.size() > 1 ? "," : "";
    text += "\"" + name + "\":" + (name == field ? value : usual);
    replaced = replaced || name == field;
  }
  return text + (replaced ? "}" : ",\"" + field + "\":" + value + "}");
}

// An endpoint entry without a field.
std::string EntryWithout(const std::string& field) {
  std::string text = EntryWith(field, "@");
  const std::size_t begin = text.find("\"" + field + "\":@");
  const std::size_t end = text.find('@', begin) + 1;
  // With the comma behind it, or before it if it is the last one.
  return text[end] == ',' ? text.erase(begin, end + 1 - begin)
                          : text.erase(begin - 1, end - begin + 1);
}

std::string Nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

}  // namespace

TEST_CASE("an entry of another writer names no endpoint, whatever is odd about it") {
  struct Row {
    std::string name;
    std::string field;
    std::string value;
    bool valid;
  };
  const Row rows[] = {
      {"usual", "seq", "5", true},
      {"unknown field", "note", R"({"a":[1,2]})", true},
      {"no start time", "born", "0", true},
      {"slots out of range", "max_concurrency", "18446744073709551615", false},
      {"slots as a huge fraction", "max_concurrency", "1e300", false},
      {"slots as a number too large to read", "max_concurrency", "1e999", false},
      {"negative slots", "max_concurrency", "-1", false},
      {"no slots", "max_concurrency", "0", false},
      {"part of a slot", "max_concurrency", "2.5", false},
      {"slots as a truth value", "max_concurrency", "true", false},
      {"endless warm-up", "warmup_left_s", "1e300", false},
      {"negative warm-up", "warmup_left_s", "-1e300", false},
      {"warm-up as a truth value", "warmup_left_s", "true", false},
      {"start time too large", "born", "1e30", false},
      {"negative start time", "born", "-5", false},
      {"start time with a fraction", "born", "17.5", false},
      {"start time as text", "born", R"("17")", false},
      {"port too large", "address", R"("10.0.0.9:65536")", false},
      {"port far too large", "address", R"("10.0.0.9:99999999999999999999")", false},
      {"port zero", "address", R"("10.0.0.9:0")", false},
      {"negative port", "address", R"("10.0.0.9:-80")", false},
      {"host name", "address", R"("endpoint.example:80")", false},
      {"no host", "address", R"(":80")", false},
      {"part of the address too large", "address", R"("10.0.0.999:80")", false},
      {"any address", "address", R"("0.0.0.0:80")", false},
      {"address of many", "address", R"("224.0.0.1:80")", false},
      {"empty service", "service", R"("")", false},
      {"empty domain", "zone", R"("")", false},
      {"deeply nested field", "note", Nested(2'000), false},
      {"very deeply nested field", "note", Nested(400'000), false},
      {"nested instead of a number", "max_concurrency", Nested(100'000), false},
      {"huge text", "note", "\"" + std::string(300'000, 'x') + "\"", false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::string reason;
    const StoreItem item{"servers/i-1", EntryWith(row.field, row.value), {7}};
    CHECK(PlatformDirectoryFormat{}.ParseEndpoint(item, reason).has_value() == row.valid);
    CHECK(reason.empty() == row.valid);
    // The reason goes into a log line.
    CHECK(reason.size() < 300);
  }
}

// Guards against an entry of another writer that is used because only some fields are looked at.
TEST_CASE("an entry that lacks a field, or has one of another type, names no endpoint") {
  struct Row {
    std::string field;
    // A value of another type than the field's.
    std::string other_type;
    // Whether an endpoint may leave it out.
    bool optional;
  };
  const Row rows[] = {{"service", "7", false},
                      {"address", R"(["10.0.0.9:8080"])", false},
                      {"zone", "null", false},
                      {"version", "1", false},
                      {"max_concurrency", R"("6")", false},
                      {"state", "true", false},
                      {"warmup_left_s", R"("0.5")", false},
                      {"seq", R"("4")", false},
                      {"born", R"("1700000000000")", true}};
  for (const Row& row : rows) {
    CAPTURE(row.field);
    std::string reason;
    const StoreItem mistyped{"servers/i-1", EntryWith(row.field, row.other_type), {7}};
    CHECK_FALSE(PlatformDirectoryFormat{}.ParseEndpoint(mistyped, reason).has_value());
    const StoreItem lacking{"servers/i-1", EntryWithout(row.field), {7}};
    CHECK(PlatformDirectoryFormat{}.ParseEndpoint(lacking, reason).has_value() == row.optional);
  }
}

TEST_CASE("an entry whose id could not stand in a header names no endpoint") {
  struct Row {
    std::string key;
    bool valid;
  };
  const Row rows[] = {{"servers/i-7f3a91c2", true},
                      {"servers/", false},
                      {"servers/a b", false},
                      {"servers/a\r\nX-Other: 1", false},
                      {std::string{"servers/a\0b", 11}, false},
                      {"servers/\x7f", false}};
  for (const Row& row : rows) {
    CAPTURE(row.key);
    std::string reason;
    const StoreItem item{row.key, EntryWith("seq", "1"), {7}};
    CHECK(PlatformDirectoryFormat{}.ParseEndpoint(item, reason).has_value() == row.valid);
  }
}

TEST_CASE("a configuration with a number out of range is refused as a whole") {
  struct Row {
    std::string name;
    std::string route_fields;
    bool valid;
  };
  const Row rows[] = {{"usual", R"("timeout_s":1.5,"max_attempts":2)", true},
                      {"huge timeout", R"("timeout_s":1e300)", false},
                      {"negative timeout", R"("timeout_s":-1)", false},
                      {"huge attempts", R"("timeout_s":1,"max_attempts":1e300)", false},
                      {"negative attempts", R"("timeout_s":1,"max_attempts":-1)", false},
                      {"huge priority", R"("timeout_s":1,"priority":1e300)", false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const std::string text =
        R"({"version":7,"services":[{"name":"s"}],"hosts":[{"host":"h","paths":[)"
        R"({"prefix":"/x/","kind":"safe","service":"s",)" +
        row.route_fields + "}]}]}";
    std::string reason;
    CHECK(PlatformDirectoryFormat{}.ParseConfig(text, reason).has_value() == row.valid);
  }
}

TEST_CASE("an ownership record with impossible ranges is refused") {
  struct Row {
    std::string name;
    std::vector<KeyRange> ranges;
    bool valid;
  };
  const Row rows[] = {
      {"usual", {{0, 9}, {10, 65535}}, true}, {"gap", {{0, 9}, {20, 29}}, true},
      {"overlap", {{0, 9}, {9, 29}}, false},  {"twice", {{0, 9}, {0, 9}}, false},
      {"backwards", {{9, 0}}, false},         {"beyond all keys", {{0, 65536}}, false}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    OwnershipRecord record;
    record.leader = InstanceId{"d1"};
    for (const KeyRange& range : row.ranges) {
      record.ranges.push_back({range, InstanceId{"e"}, {1}, {1}});
    }
    std::string reason;
    CHECK(DecodeRecord(EncodeRecord(record), reason).has_value() == row.valid);
  }
}

TEST_CASE("a datagram that announces more than it holds is dropped before memory is taken") {
  // The length of the sender's name, its first field, is replaced.
  struct Row {
    std::string name;
    std::uint64_t length;
  };
  const Row rows[] = {{"one more than there is", 200},
                      {"gigabytes", std::uint64_t{1} << 33U},
                      {"as large as can be", ~std::uint64_t{0}}};
  DaemonMessage message;
  message.sender = InstanceId{"d1"};
  const std::string usual = EncodeMessage(message);
  REQUIRE(DecodeMessage(usual).has_value());
  // The version, the size before compression and the parts come first, a byte each. The length is
  // above two bits that tell how the text is written.
  constexpr std::size_t kLengthOffset = 3;
  constexpr unsigned kFlagBits = 2;
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CompactOutputArchive length;
    length.WriteNumber(row.length << kFlagBits);
    std::string bytes = usual;
    bytes.replace(kLengthOffset, 1, length.bytes());
    CHECK_FALSE(DecodeMessage(bytes).has_value());
  }
}

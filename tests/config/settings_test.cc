#include <doctest/doctest.h>

#include <string>

#include "config/settings_parser.h"

using sycamorestall::ParseSettings;
using sycamorestall::Settings;
using sycamorestall::SettingsError;

namespace {

constexpr const char* kValid = R"([daemon]
instance = "d1"
domain = "north"
http = "127.0.0.1:8080"
peer = "127.0.0.1:9080"

[platform]
address = "http://127.0.0.1:7000"

[ranks]
order = ["commands", "reads"]
reads = { reserved = 10, limit = 100 }

[services.soil]
rank = "reads"
shards = 32
domains = ["north", "south"]
slots = 6
)";

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  const std::size_t position = text.find(from);
  REQUIRE(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

}  // namespace

TEST_CASE("valid settings are parsed") {
  const auto parsed = ParseSettings(kValid, "a.toml");
  const auto* settings = std::get_if<Settings>(&parsed);
  REQUIRE(settings != nullptr);
  CHECK(settings->http.port == 8080);
  CHECK(settings->ranks.size() == 2U);
  CHECK(settings->ranks[1].limits.limit == 100U);
  const auto& soil = settings->services.at(sycamorestall::ServiceName{"soil"});
  CHECK(soil.shards == 32U);
  CHECK(soil.rank == 1U);
  CHECK(soil.idempotent);
}

TEST_CASE("settings errors name the line and the field") {
  struct Row {
    const char* name;
    const char* from;
    const char* to;
    const char* error;
  };
  const Row rows[] = {
      {"syntax", "instance = \"d1\"", "instance = ", "a.toml:2: "},
      {"missing", "instance = \"d1\"\n", "", "a.toml:1: daemon.instance: is required"},
      {"wrong type", "\"north\"\n", "7\n", "a.toml:3: daemon.domain: must be a string"},
      {"port", "127.0.0.1:8080", "127.0.0.1:99999", "a.toml:4: daemon.http: must be an IP number"},
      {"host name", "127.0.0.1:9080", "here:9080", "a.toml:5: daemon.peer: must be an IP number"},
      {"unknown", "peer =", "pier = 1\npeer =", "a.toml:5: daemon.pier: is not a known setting"},
      {"address", "http://127", "127", "a.toml:8: platform.address: must start with http://"},
      {"rank twice", "\"reads\"]", "\"commands\"]", "a.toml:11: ranks.order: names 'commands'"},
      {"rank unknown", "rank = \"reads\"", "rank = \"best\"",
       "a.toml:15: services.soil.rank: 'best'"},
      {"reserved", "reserved = 10", "reserved = 200", "a.toml:12: ranks.reads.reserved: must not"},
      {"power", "shards = 32", "shards = 33", "a.toml:16: services.soil.shards: must be a power"},
      {"range", "slots = 6", "slots = 0", "a.toml:18: services.soil.slots: must be between"},
      {"empty list", "[\"north\", \"south\"]", "[]", "a.toml:17: services.soil.domains: must be"},
      {"leases", "[platform]", "[leases]\nrenew_interval_ms = 900\n[platform]",
       "a.toml:8: leases.renew_interval_ms: three intervals"},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    const auto parsed = ParseSettings(Replace(kValid, row.from, row.to), "a.toml");
    const auto* error = std::get_if<SettingsError>(&parsed);
    REQUIRE(error != nullptr);
    CHECK(ToString(*error).substr(0, std::string(row.error).size()) == row.error);
  }
}

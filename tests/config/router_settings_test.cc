#include "config/router_settings.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <variant>

#include "core/descriptor_budget.h"

using namespace sycamorestall;  // NOLINT

namespace {

std::string SettingsWith(const std::string& daemon_line) {
  return "[daemon]\ninstance = \"d1\"\ndomain = \"north\"\ncallers = \"10.0.0.1:8641\"\n"
         "readiness = \"10.0.0.1:8640\"\nmetrics = \"10.0.0.1:8649\"\npeer = \"10.0.0.1:7620\"\n" +
         daemon_line + "\n[store]\naddress = \"10.0.0.2:8642\"\n";
}

}  // namespace

TEST_CASE("the number of descriptors is checked, and not limited by default") {
  struct Row {
    std::string line;
    std::optional<std::size_t> descriptors;
  };
  const Row rows[] = {{"", 0},
                      {"max_descriptors = 0", 0},
                      {"max_descriptors = 4100", 4100},
                      {"max_descriptors = -1", std::nullopt},
                      {"max_descriptors = 1.5", std::nullopt},
                      {"max_descriptors = \"4100\"", std::nullopt},
                      {"max_descriptors = 99999999999", std::nullopt}};
  for (const Row& row : rows) {
    CAPTURE(row.line);
    const auto parsed = ParseRouterSettings(SettingsWith(row.line), "router.toml");
    const auto* settings = std::get_if<RouterSettings>(&parsed);
    REQUIRE((settings != nullptr) == row.descriptors.has_value());
    if (settings != nullptr) {
      CHECK(settings->max_descriptors == *row.descriptors);
    }
  }
}

TEST_CASE("callers' connections leave descriptors for files, endpoints and the store") {
  CHECK(MaxCallerConnections(0) == 0);
  for (const std::size_t descriptors : {1U, 64U, 512U, 513U, 1024U, 4100U, 12'300U}) {
    CAPTURE(descriptors);
    const std::size_t callers = MaxCallerConnections(descriptors);
    CHECK(callers >= 1);
    CHECK(callers <= descriptors);
  }
  // 200 are for files; three connections to each of 479 endpoints have room, or six to each of 38.
  constexpr std::size_t kFiles = 200;
  constexpr std::size_t kManyConnections = 1437;
  constexpr std::size_t kFewConnections = 228;
  CHECK(MaxCallerConnections(8192) + kFiles + kManyConnections <= 8192);
  CHECK(MaxCallerConnections(4100) + kFiles + kFewConnections <= 4100);
}

TEST_CASE("terms of cold endpoints and evacuations are checked, and not in force by default") {
  struct Row {
    std::string line;
    std::optional<double> factor;
  };
  const Row rows[] = {{"", 0},
                      {"cold_rate_factor = 1.5", 1.5},
                      {"cold_rate_factor = 2", 2},
                      {"cold_rate_factor = 0", 0},
                      {"cold_rate_factor = -1", std::nullopt},
                      {"cold_rate_factor = \"1\"", std::nullopt},
                      {"cold_rate_slack = -0.5", std::nullopt},
                      {"evacuation_s = -1", std::nullopt},
                      {"evacuation = 1", std::nullopt}};
  for (const Row& row : rows) {
    CAPTURE(row.line);
    const auto parsed =
        ParseRouterSettings(SettingsWith("") + "[endpoints]\n" + row.line + "\n", "router.toml");
    const auto* settings = std::get_if<RouterSettings>(&parsed);
    REQUIRE((settings != nullptr) == row.factor.has_value());
    if (settings != nullptr) {
      CHECK(settings->cold_rate_factor == *row.factor);
    }
  }
}

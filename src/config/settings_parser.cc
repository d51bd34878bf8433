#include "config/settings_parser.h"

#include <algorithm>
#include <limits>

#include "config/settings_fields.h"

namespace sycamorestall {

namespace {

constexpr std::uint32_t kMostShards = 1 << 16;
constexpr std::int64_t kMostBodyBytes = std::int64_t{64} << 20;
constexpr std::int64_t kMostRequests = 1'000'000;
constexpr std::int64_t kMinuteMs = 60'000;
constexpr std::int64_t kDayMs = 1440 * kMinuteMs;

void ParseDaemon(TomlReader reader, Settings& settings) {
  settings.instance = InstanceId{CheckedName(reader, "instance")};
  settings.domain = DomainName{CheckedName(reader, "domain")};
  settings.http = ParseAddress(reader, "http");
  settings.peer = ParseAddress(reader, "peer");
  settings.max_in_flight =
      static_cast<std::size_t>(reader.Number("max_in_flight", {1, kMostRequests}, 4000));
  settings.allow_faults = reader.Flag("allow_faults", false);
  settings.log_level = ParseLevel(reader);
  reader.RefuseOthers();
}

void ParsePlatform(TomlReader reader, Settings& settings) {
  settings.platform = reader.Text("address");
  if (!settings.platform.starts_with("http://")) {
    reader.Fail("address", "must start with http://");
  }
  settings.platform_timeout = reader.Milliseconds("timeout_ms", {10, kMinuteMs}, 1000);
  settings.list_interval = reader.Milliseconds("list_interval_ms", {10, kMinuteMs}, 500);
  reader.RefuseOthers();
}

void ParseLeases(TomlReader reader, Settings& settings) {
  LeaseSettings& leases = settings.leases;
  leases.time_to_live = reader.Milliseconds("time_to_live_ms", {50, kMinuteMs}, 1000);
  leases.clock_margin = reader.Milliseconds("clock_margin_ms", {1, kMinuteMs}, 100);
  leases.renew_interval = reader.Milliseconds("renew_interval_ms", {10, kMinuteMs}, 200);
  leases.order_timeout = reader.Milliseconds("order_timeout_ms", {10, kMinuteMs}, 250);
  if (leases.renew_interval * 3 + leases.clock_margin > leases.time_to_live) {
    reader.Fail("renew_interval_ms",
                "three intervals and clock_margin_ms must fit into time_to_live_ms");
  }
  reader.RefuseOthers();
}

void ParseCommands(TomlReader reader, Settings& settings) {
  settings.command_age_limit = reader.Milliseconds("age_limit_ms", {1000, kDayMs}, 10 * kMinuteMs);
  settings.command_clock_margin = reader.Milliseconds("clock_margin_ms", {1, kMinuteMs}, 500);
  reader.RefuseOthers();
}

void ParseRanks(TomlReader reader, Settings& settings) {
  const auto most = static_cast<std::int64_t>(settings.max_in_flight);
  std::size_t reserved = 0;
  for (const std::string& name : reader.Texts("order")) {
    TomlReader rank = reader.Table(name, true);
    RankSettings entry;
    entry.name = name;
    entry.share.reserved = static_cast<std::size_t>(rank.Number("reserved", {0, most}, 0));
    entry.share.limit = static_cast<std::size_t>(rank.Number("limit", {1, most}, most));
    if (entry.share.reserved > entry.share.limit) {
      rank.Fail("reserved", "must not be above limit");
    }
    reserved += entry.share.reserved;
    if (reserved > settings.max_in_flight) {
      rank.Fail("reserved", "all ranks' reserved together exceed daemon.max_in_flight");
    }
    rank.RefuseOthers();
    settings.ranks.push_back(std::move(entry));
  }
  reader.RefuseOthers();
}

std::size_t FindRank(TomlReader& reader, const Settings& settings) {
  const std::string name = reader.Text("rank");
  for (std::size_t i = 0; i < settings.ranks.size(); ++i) {
    if (settings.ranks[i].name == name) {
      return i;
    }
  }
  reader.Fail("rank", "'" + name + "' is not in ranks.order");
}

ServiceSettings ParseService(TomlReader reader, const Settings& settings) {
  ServiceSettings service;
  service.rank = FindRank(reader, settings);
  service.shards = static_cast<std::uint32_t>(reader.Number("shards", {1, kMostShards}, 64));
  if ((service.shards & (service.shards - 1)) != 0) {
    reader.Fail("shards", "must be a power of two");
  }
  for (const std::string& domain : reader.Texts("domains")) {
    service.domains.emplace_back(domain);
  }
  service.slots = static_cast<std::size_t>(reader.Number("slots", {1, 1000}));
  service.queue = static_cast<std::size_t>(reader.Number("queue", {1, kMostRequests}, 200));
  service.idempotent = reader.Flag("idempotent", true);
  service.endpoints_check_token = reader.Flag("endpoints_check_token", true);
  service.max_body_bytes =
      static_cast<std::uint64_t>(reader.Number("max_body_bytes", {0, kMostBodyBytes}, 1 << 16));
  service.default_timeout = reader.Milliseconds("default_timeout_ms", {1, kDayMs}, 2000);
  service.max_timeout = reader.Milliseconds("max_timeout_ms", {1, kDayMs}, kMinuteMs);
  if (service.default_timeout > service.max_timeout) {
    reader.Fail("default_timeout_ms", "must not be above max_timeout_ms");
  }
  reader.RefuseOthers();
  return service;
}

Settings ParseAll(TomlReader reader) {
  Settings settings;
  ParseDaemon(reader.Table("daemon"), settings);
  ParsePlatform(reader.Table("platform"), settings);
  ParseLeases(reader.Table("leases", true), settings);
  ParseCommands(reader.Table("commands", true), settings);
  ParseRanks(reader.Table("ranks"), settings);
  TomlReader services = reader.Table("services");
  for (const std::string& name : services.Names()) {
    if (!IsName(name)) {
      services.Fail(name, "a service's name must be up to 64 letters, digits, '-', '_' or '.'");
    }
    settings.services[ServiceName{name}] = ParseService(services.Table(name), settings);
  }
  if (settings.services.empty()) {
    reader.Fail("services", "must name at least one service");
  }
  reader.RefuseOthers();
  return settings;
}

}  // namespace

std::string ToString(const SettingsError& error) {
  std::string text = error.file + ":" + std::to_string(error.line) + ": ";
  if (!error.field.empty()) {
    text += error.field + ": ";
  }
  return text + error.message;
}

std::variant<Settings, SettingsError> ParseSettings(std::string_view text,
                                                    const std::string& file) {
  return ParseTable<Settings>(text, file, ParseAll);
}

std::variant<Settings, SettingsError> LoadSettings(const std::string& file) {
  return LoadTable<Settings>(file, ParseSettings);
}

}  // namespace sycamorestall

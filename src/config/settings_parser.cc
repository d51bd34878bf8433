#include "config/settings_parser.h"

#include <algorithm>
#include <limits>

#include "config/settings_fields.h"

namespace sycamorestall {

namespace {

constexpr std::uint32_t kMaxShards = 1 << 16;
constexpr std::int64_t kMaxBodyBytes = std::int64_t{64} << 20;
constexpr std::int64_t kMaxRequests = 1'000'000;
constexpr std::int64_t kMinuteMs = 60'000;
constexpr std::int64_t kDayMs = 1440 * kMinuteMs;

void ParseDaemon(TomlReader reader, Settings& settings) {
  settings.instance = InstanceId{ReadName(reader, "instance")};
  settings.domain = DomainName{ReadName(reader, "domain")};
  settings.http = ReadAddress(reader, "http");
  settings.peer = ReadAddress(reader, "peer");
  settings.max_in_flight =
      static_cast<std::size_t>(reader.ReadInteger("max_in_flight", {1, kMaxRequests}, 4000));
  settings.allow_faults = reader.ReadBool("allow_faults", false);
  settings.log_level = ReadLogLevel(reader);
  reader.RejectUnreadFields();
}

void ParsePlatform(TomlReader reader, Settings& settings) {
  settings.platform_address = reader.ReadString("address");
  if (!settings.platform_address.starts_with("http://")) {
    reader.Fail("address", "must start with http://");
  }
  settings.platform_timeout = reader.ReadMilliseconds("timeout_ms", {10, kMinuteMs}, 1000);
  settings.list_interval = reader.ReadMilliseconds("list_interval_ms", {10, kMinuteMs}, 500);
  reader.RejectUnreadFields();
}

void ParseLeases(TomlReader reader, Settings& settings) {
  LeaseSettings& leases = settings.leases;
  leases.time_to_live = reader.ReadMilliseconds("time_to_live_ms", {50, kMinuteMs}, 1000);
  leases.clock_margin = reader.ReadMilliseconds("clock_margin_ms", {1, kMinuteMs}, 100);
  leases.renew_interval = reader.ReadMilliseconds("renew_interval_ms", {10, kMinuteMs}, 200);
  leases.order_timeout = reader.ReadMilliseconds("order_timeout_ms", {10, kMinuteMs}, 250);
  if (leases.renew_interval * 3 + leases.clock_margin > leases.time_to_live) {
    reader.Fail("renew_interval_ms",
                "three intervals and clock_margin_ms must fit into time_to_live_ms");
  }
  reader.RejectUnreadFields();
}

void ParseCommands(TomlReader reader, Settings& settings) {
  settings.command_age_limit =
      reader.ReadMilliseconds("age_limit_ms", {1000, kDayMs}, 10 * kMinuteMs);
  settings.command_clock_margin = reader.ReadMilliseconds("clock_margin_ms", {1, kMinuteMs}, 500);
  reader.RejectUnreadFields();
}

void ParseRanks(TomlReader reader, Settings& settings) {
  const auto max_in_flight = static_cast<std::int64_t>(settings.max_in_flight);
  std::size_t reserved = 0;
  for (const std::string& name : reader.ReadStrings("order")) {
    TomlReader rank = reader.ReadTable(name, true);
    RankSettings entry;
    entry.name = name;
    entry.limits.reserved =
        static_cast<std::size_t>(rank.ReadInteger("reserved", {0, max_in_flight}, 0));
    entry.limits.limit =
        static_cast<std::size_t>(rank.ReadInteger("limit", {1, max_in_flight}, max_in_flight));
    if (entry.limits.reserved > entry.limits.limit) {
      rank.Fail("reserved", "must not be above limit");
    }
    reserved += entry.limits.reserved;
    if (reserved > settings.max_in_flight) {
      rank.Fail("reserved", "all ranks' reserved together exceed daemon.max_in_flight");
    }
    rank.RejectUnreadFields();
    settings.ranks.push_back(std::move(entry));
  }
  reader.RejectUnreadFields();
}

std::size_t FindRank(TomlReader& reader, const Settings& settings) {
  const std::string name = reader.ReadString("rank");
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
  service.shards = static_cast<std::uint32_t>(reader.ReadInteger("shards", {1, kMaxShards}, 64));
  if ((service.shards & (service.shards - 1)) != 0) {
    reader.Fail("shards", "must be a power of two");
  }
  for (const std::string& domain : reader.ReadStrings("domains")) {
    service.domains.emplace_back(domain);
  }
  service.slots = static_cast<std::size_t>(reader.ReadInteger("slots", {1, 1000}));
  service.queue = static_cast<std::size_t>(reader.ReadInteger("queue", {1, kMaxRequests}, 200));
  service.idempotent = reader.ReadBool("idempotent", true);
  service.endpoints_check_token = reader.ReadBool("endpoints_check_token", true);
  service.max_body_bytes =
      static_cast<std::uint64_t>(reader.ReadInteger("max_body_bytes", {0, kMaxBodyBytes}, 1 << 16));
  service.default_timeout = reader.ReadMilliseconds("default_timeout_ms", {1, kDayMs}, 2000);
  service.max_timeout = reader.ReadMilliseconds("max_timeout_ms", {1, kDayMs}, kMinuteMs);
  if (service.default_timeout > service.max_timeout) {
    reader.Fail("default_timeout_ms", "must not be above max_timeout_ms");
  }
  reader.RejectUnreadFields();
  return service;
}

Settings ParseAll(TomlReader reader) {
  Settings settings;
  ParseDaemon(reader.ReadTable("daemon"), settings);
  ParsePlatform(reader.ReadTable("platform"), settings);
  ParseLeases(reader.ReadTable("leases", true), settings);
  ParseCommands(reader.ReadTable("commands", true), settings);
  ParseRanks(reader.ReadTable("ranks"), settings);
  TomlReader services = reader.ReadTable("services");
  for (const std::string& name : services.FieldNames()) {
    if (!IsValidName(name)) {
      services.Fail(name, "a service's name must be up to 64 letters, digits, '-', '_' or '.'");
    }
    settings.services[ServiceName{name}] = ParseService(services.ReadTable(name), settings);
  }
  if (settings.services.empty()) {
    reader.Fail("services", "must name at least one service");
  }
  reader.RejectUnreadFields();
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
  return ParseSettingsText<Settings>(text, file, ParseAll);
}

std::variant<Settings, SettingsError> LoadSettings(const std::string& file) {
  return LoadSettingsFile<Settings>(file, ParseSettings);
}

}  // namespace sycamorestall

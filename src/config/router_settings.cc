#include "config/router_settings.h"

#include "config/settings_fields.h"

namespace sycamorestall {

namespace {

// The lower limit, exclusive, of numbers that may be 0.
constexpr double kBelowZero = -1e-9;
constexpr std::size_t kBytesPerMegabyte = std::size_t{1024} * 1024;

std::chrono::milliseconds ReadSeconds(TomlReader& reader, const std::string& field,
                                      double default_seconds) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(reader.ReadDouble(field, 0, default_seconds)));
}

void ParseDaemon(TomlReader reader, RouterSettings& settings) {
  settings.instance = InstanceId{ReadName(reader, "instance")};
  settings.domain = DomainName{ReadName(reader, "domain")};
  settings.weight = reader.ReadDouble("weight", 0, 1);
  settings.callers = ReadAddress(reader, "callers");
  settings.readiness = ReadAddress(reader, "readiness");
  settings.metrics = ReadAddress(reader, "metrics");
  settings.peer = ReadAddress(reader, "peer");
  settings.stop_timeout = ReadSeconds(reader, "stop_s", 6);
  constexpr std::int64_t kMaxDescriptors = 10'000'000;
  settings.max_descriptors =
      static_cast<std::size_t>(reader.ReadInteger("max_descriptors", {0, kMaxDescriptors}, 0));
  constexpr std::int64_t kMaxMemoryMegabytes = 1'000'000;
  settings.max_memory_bytes =
      static_cast<std::size_t>(reader.ReadInteger("memory_mb", {0, kMaxMemoryMegabytes}, 0)) *
      kBytesPerMegabyte;
  settings.log_level = ReadLogLevel(reader);
  reader.RejectUnreadFields();
}

void ParseEndpoints(TomlReader reader, RouterSettings& settings) {
  settings.cold_rate_factor = reader.ReadDouble("cold_rate_factor", kBelowZero, 0);
  settings.cold_rate_slack = reader.ReadDouble("cold_rate_slack", kBelowZero, 0);
  settings.evacuation_time = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(reader.ReadDouble("evacuation_s", kBelowZero, 0)));
  reader.RejectUnreadFields();
}

void ParseRetries(TomlReader reader, RouterSettings& settings) {
  settings.retries.share = reader.ReadDouble("share", -1, settings.retries.share);
  settings.retries.extra = reader.ReadDouble("extra", -1, settings.retries.extra);
  settings.retries.window = ReadSeconds(reader, "window_s", 10);
  reader.RejectUnreadFields();
}

RouterSettings ParseAll(TomlReader reader) {
  RouterSettings settings;
  ParseDaemon(reader.ReadTable("daemon"), settings);
  TomlReader store = reader.ReadTable("store");
  settings.store = ReadAddress(store, "address");
  store.RejectUnreadFields();
  ParseRetries(reader.ReadTable("retries", true), settings);
  TomlReader grants = reader.ReadTable("grants", true);
  settings.max_grant_time_to_live = ReadSeconds(grants, "max_s", 10);
  grants.RejectUnreadFields();
  ParseEndpoints(reader.ReadTable("endpoints", true), settings);
  reader.RejectUnreadFields();
  return settings;
}

}  // namespace

std::variant<RouterSettings, SettingsError> ParseRouterSettings(std::string_view text,
                                                                const std::string& file) {
  return ParseSettingsText<RouterSettings>(text, file, ParseAll);
}

std::variant<RouterSettings, SettingsError> LoadRouterSettings(const std::string& file) {
  return LoadSettingsFile<RouterSettings>(file, ParseRouterSettings);
}

}  // namespace sycamorestall

#include "config/router_settings.h"

#include "config/settings_fields.h"

namespace sycamorestall {

namespace {

std::chrono::milliseconds Seconds(TomlReader& reader, const std::string& field, double otherwise) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(reader.Real(field, 0, otherwise)));
}

void ParseDaemon(TomlReader reader, RouterSettings& settings) {
  settings.instance = InstanceId{CheckedName(reader, "instance")};
  settings.domain = DomainName{CheckedName(reader, "domain")};
  settings.weight = reader.Real("weight", 0, 1);
  settings.callers = ParseAddress(reader, "callers");
  settings.readiness = ParseAddress(reader, "readiness");
  settings.metrics = ParseAddress(reader, "metrics");
  settings.peer = ParseAddress(reader, "peer");
  settings.stop_time = Seconds(reader, "stop_s", 6);
  settings.log_level = ParseLevel(reader);
  reader.RefuseOthers();
}

void ParseRetries(TomlReader reader, RouterSettings& settings) {
  settings.retries.share = reader.Real("share", -1, settings.retries.share);
  settings.retries.extra = reader.Real("extra", -1, settings.retries.extra);
  settings.retries.window = Seconds(reader, "window_s", 10);
  reader.RefuseOthers();
}

RouterSettings ParseAll(TomlReader reader) {
  RouterSettings settings;
  ParseDaemon(reader.Table("daemon"), settings);
  TomlReader store = reader.Table("store");
  settings.store = ParseAddress(store, "address");
  store.RefuseOthers();
  ParseRetries(reader.Table("retries", true), settings);
  TomlReader grants = reader.Table("grants", true);
  settings.max_grant = Seconds(grants, "max_s", 10);
  grants.RefuseOthers();
  reader.RefuseOthers();
  return settings;
}

}  // namespace

std::variant<RouterSettings, SettingsError> ParseRouterSettings(std::string_view text,
                                                                const std::string& file) {
  return ParseTable<RouterSettings>(text, file, ParseAll);
}

std::variant<RouterSettings, SettingsError> LoadRouterSettings(const std::string& file) {
  return LoadTable<RouterSettings>(file, ParseRouterSettings);
}

}  // namespace sycamorestall

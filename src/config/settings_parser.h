#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "config/settings.h"

namespace sycamorestall {

// Why settings are invalid: file, line, field and a description.
struct SettingsError {
  std::string file;
  std::uint32_t line = 0;
  std::string field;
  std::string message;

  friend bool operator==(const SettingsError&, const SettingsError&) = default;
};

// Formats the error as "file:line: field: message".
std::string ToString(const SettingsError& error);

// Parses and validates settings in TOML; the file name is used only in errors.
std::variant<Settings, SettingsError> ParseSettings(std::string_view text, const std::string& file);

// Reads, parses and validates a settings file.
std::variant<Settings, SettingsError> LoadSettings(const std::string& file);

}  // namespace sycamorestall

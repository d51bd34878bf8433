#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "config/settings.h"

namespace sycamorestall {

// Why settings were refused: where, which field, and what is wrong with it.
struct SettingsError {
  std::string file;
  std::uint32_t line = 0;
  std::string field;
  std::string message;

  friend bool operator==(const SettingsError&, const SettingsError&) = default;
};

// The error in one line: file:line: field: message.
std::string ToString(const SettingsError& error);

// Reads settings from TOML text and checks all of it; the file name is only
// used in errors.
std::variant<Settings, SettingsError> ParseSettings(std::string_view text, const std::string& file);

// Reads a settings file.
std::variant<Settings, SettingsError> LoadSettings(const std::string& file);

}  // namespace sycamorestall

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "config/toml_reader.h"
#include "core/network_address.h"

namespace sycamorestall {

// Whether the text can name an instance, a failure domain or a service.
bool IsName(const std::string& text);
// Reads a name, and refuses text that is none.
std::string CheckedName(TomlReader& reader, const std::string& field);
// Reads an IP number and a port.
NetworkAddress ParseAddress(TomlReader& reader, const std::string& field);
// Reads the level of the log.
LogLevel ParseLevel(TomlReader& reader);
// The text of a file; empty when it cannot be read.
std::optional<std::string> ReadFile(const std::string& file);

// Parses TOML text by a function over its top table, which may refuse it.
template <typename Result, typename Parse>
std::variant<Result, SettingsError> ParseTable(std::string_view text, const std::string& file,
                                               Parse parse) {
  try {
    const toml::table table = toml::parse(text);
    return parse(TomlReader{table, "", file});
  } catch (const toml::parse_error& error) {
    return SettingsError{file, error.source().begin.line, "", std::string(error.description())};
  } catch (const SettingsProblem& problem) {
    return problem.error;
  }
}

// Reads a file and parses its text by a function of text and file name.
template <typename Result, typename ParseText>
std::variant<Result, SettingsError> LoadTable(const std::string& file, ParseText parse_text) {
  const std::optional<std::string> text = ReadFile(file);
  if (!text) {
    return SettingsError{file, 0, "", "cannot be read"};
  }
  return parse_text(*text, file);
}

}  // namespace sycamorestall

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "config/toml_reader.h"
#include "core/network_address.h"

namespace sycamorestall {

// Whether the text is a valid name of an instance, a failure domain or a service.
bool IsValidName(const std::string& text);
// Reads a field that must be a valid name. This and the functions below throw SettingsException
// through the reader when the field is invalid.
std::string ReadName(TomlReader& reader, const std::string& field);
// Reads an IP address and port.
NetworkAddress ReadAddress(TomlReader& reader, const std::string& field);
// Reads the log level; info when absent.
LogLevel ReadLogLevel(TomlReader& reader);
// Reads a whole file; nullopt when it cannot be opened.
std::optional<std::string> ReadTextFile(const std::string& file);

// Parses TOML text and passes a reader of its root table to the function, which returns the
// settings or throws SettingsException.
template <typename Result, typename Parse>
std::variant<Result, SettingsError> ParseSettingsText(std::string_view text,
                                                      const std::string& file, Parse parse) {
  try {
    const toml::table table = toml::parse(text);
    return parse(TomlReader{table, "", file});
  } catch (const toml::parse_error& error) {
    return SettingsError{file, error.source().begin.line, "", std::string(error.description())};
  } catch (const SettingsException& exception) {
    return exception.error;
  }
}

// Reads a file and passes its text and name to the function.
template <typename Result, typename ParseText>
std::variant<Result, SettingsError> LoadSettingsFile(const std::string& file,
                                                     ParseText parse_text) {
  const std::optional<std::string> text = ReadTextFile(file);
  if (!text) {
    return SettingsError{file, 0, "", "cannot be read"};
  }
  return parse_text(*text, file);
}

}  // namespace sycamorestall

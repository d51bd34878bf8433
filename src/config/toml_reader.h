#pragma once

#include <toml++/toml.h>

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "config/settings_parser.h"

namespace sycamorestall {

// Thrown while settings are parsed; ParseSettingsText returns its error.
struct SettingsException {
  SettingsError error;
};

// Inclusive limits of an integer setting.
struct IntegerRange {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

// Reads the fields of one TOML table, checks their types and ranges, and detects unknown fields.
// The functions throw SettingsException when a field is missing or invalid. The table must outlive
// the reader.
class TomlReader {
 public:
  TomlReader(const toml::table& table, std::string path, std::string file)
      : table_(table), path_(std::move(path)), file_(std::move(file)) {}

  // Functions without a default require the field. Strings must not be empty.
  std::string ReadString(const std::string& name);
  std::string ReadString(const std::string& name, const std::string& default_value);
  bool ReadBool(const std::string& name, bool default_value);
  std::int64_t ReadInteger(const std::string& name, IntegerRange range);
  std::int64_t ReadInteger(const std::string& name, IntegerRange range, std::int64_t default_value);
  double ReadDouble(const std::string& name, double exclusive_min, double default_value);
  std::chrono::milliseconds ReadMilliseconds(const std::string& name, IntegerRange range,
                                             std::int64_t default_value);
  std::vector<std::string> ReadStrings(const std::string& name, bool optional = false);
  // Reads a nested table; an absent optional one is empty.
  TomlReader ReadTable(const std::string& name, bool optional = false);
  // The names of all fields, sorted.
  std::vector<std::string> FieldNames() const;
  // Throws if the table has a field that was not read.
  void RejectUnreadFields() const;
  // Throws an error about a field with its line, or the line of the table if it is absent.
  [[noreturn]] void Fail(const std::string& name, const std::string& message) const;

 private:
  // Marks the field as read; nullptr when it is absent.
  const toml::node* FindField(const std::string& name);

  const toml::table& table_;
  std::string path_;
  std::string file_;
  std::set<std::string> read_fields_;
};

}  // namespace sycamorestall

#pragma once

#include <toml++/toml.h>

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "config/settings_parser.h"

namespace sycamorestall {

// Thrown inside the parser only, and turned into its result.
struct SettingsProblem {
  SettingsError error;
};

// Limits of a whole number in the settings.
struct NumberRange {
  std::int64_t least = 0;
  std::int64_t most = 0;
};

// Reads the fields of one TOML table, checks their kinds and ranges, and tells
// fields that nobody asked for.
class TomlReader {
 public:
  TomlReader(const toml::table& table, std::string path, std::string file)
      : table_(table), path_(std::move(path)), file_(std::move(file)) {}

  // Reads a field that must be there.
  std::string Text(const std::string& name);
  // Reads a field that may be absent.
  std::string Text(const std::string& name, const std::string& otherwise);
  bool Flag(const std::string& name, bool otherwise);
  std::int64_t Number(const std::string& name, NumberRange range);
  std::int64_t Number(const std::string& name, NumberRange range, std::int64_t otherwise);
  double Real(const std::string& name, double above, double otherwise);
  std::chrono::milliseconds Milliseconds(const std::string& name, NumberRange range,
                                         std::int64_t otherwise);
  std::vector<std::string> Texts(const std::string& name, bool may_be_absent = false);
  // Reads a table that must be there, or an empty one when it may be absent.
  TomlReader Table(const std::string& name, bool may_be_absent = false);
  // The names of all fields, in order.
  std::vector<std::string> Names() const;
  // Refuses fields that were not read.
  void RefuseOthers() const;
  // Refuses a field with a message.
  [[noreturn]] void Fail(const std::string& name, const std::string& message) const;

 private:
  const toml::node* Find(const std::string& name);

  const toml::table& table_;
  std::string path_;
  std::string file_;
  std::set<std::string> known_;
};

}  // namespace sycamorestall

#include "config/toml_reader.h"

#include <utility>

namespace sycamorestall {

namespace {

const toml::table kEmptyTable;

}  // namespace

const toml::node* TomlReader::FindField(const std::string& name) {
  read_fields_.insert(name);
  return table_.get(name);
}

void TomlReader::Fail(const std::string& name, const std::string& message) const {
  const toml::node* node = table_.get(name);
  const toml::source_region& source = node == nullptr ? table_.source() : node->source();
  const std::string field = path_.empty() ? name : path_ + "." + name;
  throw SettingsException{{file_, source.begin.line, field, message}};
}

std::string TomlReader::ReadString(const std::string& name) {
  const toml::node* node = FindField(name);
  if (node == nullptr) {
    Fail(name, "is required");
  }
  if (!node->is_string()) {
    Fail(name, "must be a string");
  }
  std::string text = **node->as_string();
  if (text.empty()) {
    Fail(name, "must not be empty");
  }
  return text;
}

std::string TomlReader::ReadString(const std::string& name, const std::string& default_value) {
  return FindField(name) == nullptr ? default_value : ReadString(name);
}

bool TomlReader::ReadBool(const std::string& name, bool default_value) {
  const toml::node* node = FindField(name);
  if (node == nullptr) {
    return default_value;
  }
  if (!node->is_boolean()) {
    Fail(name, "must be true or false");
  }
  return **node->as_boolean();
}

std::int64_t TomlReader::ReadInteger(const std::string& name, IntegerRange range) {
  const toml::node* node = FindField(name);
  if (node == nullptr) {
    Fail(name, "is required");
  }
  if (!node->is_integer()) {
    Fail(name, "must be a whole number");
  }
  const std::int64_t value = **node->as_integer();
  if (value < range.min || value > range.max) {
    Fail(name,
         "must be between " + std::to_string(range.min) + " and " + std::to_string(range.max));
  }
  return value;
}

std::int64_t TomlReader::ReadInteger(const std::string& name, IntegerRange range,
                                     std::int64_t default_value) {
  return FindField(name) == nullptr ? default_value : ReadInteger(name, range);
}

double TomlReader::ReadDouble(const std::string& name, double exclusive_min, double default_value) {
  const toml::node* node = FindField(name);
  if (node == nullptr) {
    return default_value;
  }
  if (!node->is_number()) {
    Fail(name, "must be a number");
  }
  const double value =
      node->is_integer() ? static_cast<double>(**node->as_integer()) : **node->as_floating_point();
  if (!(value > exclusive_min)) {
    Fail(name, "must be greater than " + std::to_string(exclusive_min));
  }
  return value;
}

std::chrono::milliseconds TomlReader::ReadMilliseconds(const std::string& name, IntegerRange range,
                                                       std::int64_t default_value) {
  return std::chrono::milliseconds{ReadInteger(name, range, default_value)};
}

std::vector<std::string> TomlReader::ReadStrings(const std::string& name, bool optional) {
  const toml::node* node = FindField(name);
  if (node == nullptr) {
    if (optional) {
      return {};
    }
    Fail(name, "is required");
  }
  if (!node->is_array() || node->as_array()->empty()) {
    Fail(name, "must be a list of strings that is not empty");
  }
  std::vector<std::string> strings;
  std::set<std::string> seen;
  for (const toml::node& each : *node->as_array()) {
    if (!each.is_string() || (**each.as_string()).empty()) {
      Fail(name, "must be a list of strings that is not empty");
    }
    if (!seen.insert(**each.as_string()).second) {
      Fail(name, "names '" + **each.as_string() + "' twice");
    }
    strings.push_back(**each.as_string());
  }
  return strings;
}

TomlReader TomlReader::ReadTable(const std::string& name, bool optional) {
  const toml::node* node = FindField(name);
  const std::string path = path_.empty() ? name : path_ + "." + name;
  if (node == nullptr && optional) {
    return {kEmptyTable, path, file_};
  }
  if (node == nullptr) {
    Fail(name, "is required");
  }
  if (!node->is_table()) {
    Fail(name, "must be a table");
  }
  return {*node->as_table(), path, file_};
}

std::vector<std::string> TomlReader::FieldNames() const {
  std::vector<std::string> names;
  for (const auto& [key, node] : table_) {
    names.emplace_back(key.str());
  }
  return names;
}

void TomlReader::RejectUnreadFields() const {
  for (const std::string& name : FieldNames()) {
    if (!read_fields_.contains(name)) {
      Fail(name, "is not a known setting");
    }
  }
}

}  // namespace sycamorestall

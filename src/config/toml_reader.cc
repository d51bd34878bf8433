#include "config/toml_reader.h"

#include <utility>

namespace sycamorestall {

namespace {

const toml::table kEmptyTable;

}  // namespace

const toml::node* TomlReader::Find(const std::string& name) {
  known_.insert(name);
  return table_.get(name);
}

void TomlReader::Fail(const std::string& name, const std::string& message) const {
  const toml::node* node = table_.get(name);
  const toml::source_region& source = node == nullptr ? table_.source() : node->source();
  const std::string field = path_.empty() ? name : path_ + "." + name;
  throw SettingsProblem{{file_, source.begin.line, field, message}};
}

std::string TomlReader::Text(const std::string& name) {
  const toml::node* node = Find(name);
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

std::string TomlReader::Text(const std::string& name, const std::string& otherwise) {
  return Find(name) == nullptr ? otherwise : Text(name);
}

bool TomlReader::Flag(const std::string& name, bool otherwise) {
  const toml::node* node = Find(name);
  if (node == nullptr) {
    return otherwise;
  }
  if (!node->is_boolean()) {
    Fail(name, "must be true or false");
  }
  return **node->as_boolean();
}

std::int64_t TomlReader::Number(const std::string& name, NumberRange range) {
  const toml::node* node = Find(name);
  if (node == nullptr) {
    Fail(name, "is required");
  }
  if (!node->is_integer()) {
    Fail(name, "must be a whole number");
  }
  const std::int64_t value = **node->as_integer();
  if (value < range.least || value > range.most) {
    Fail(name,
         "must be between " + std::to_string(range.least) + " and " + std::to_string(range.most));
  }
  return value;
}

std::int64_t TomlReader::Number(const std::string& name, NumberRange range,
                                std::int64_t otherwise) {
  return Find(name) == nullptr ? otherwise : Number(name, range);
}

double TomlReader::Real(const std::string& name, double above, double otherwise) {
  const toml::node* node = Find(name);
  if (node == nullptr) {
    return otherwise;
  }
  if (!node->is_number()) {
    Fail(name, "must be a number");
  }
  const double value =
      node->is_integer() ? static_cast<double>(**node->as_integer()) : **node->as_floating_point();
  if (!(value > above)) {
    Fail(name, "must be greater than " + std::to_string(above));
  }
  return value;
}

std::chrono::milliseconds TomlReader::Milliseconds(const std::string& name, NumberRange range,
                                                   std::int64_t otherwise) {
  return std::chrono::milliseconds{Number(name, range, otherwise)};
}

std::vector<std::string> TomlReader::Texts(const std::string& name, bool may_be_absent) {
  const toml::node* node = Find(name);
  if (node == nullptr) {
    if (may_be_absent) {
      return {};
    }
    Fail(name, "is required");
  }
  if (!node->is_array() || node->as_array()->empty()) {
    Fail(name, "must be a list of strings that is not empty");
  }
  std::vector<std::string> texts;
  std::set<std::string> seen;
  for (const toml::node& each : *node->as_array()) {
    if (!each.is_string() || (**each.as_string()).empty()) {
      Fail(name, "must be a list of strings that is not empty");
    }
    if (!seen.insert(**each.as_string()).second) {
      Fail(name, "names '" + **each.as_string() + "' twice");
    }
    texts.push_back(**each.as_string());
  }
  return texts;
}

TomlReader TomlReader::Table(const std::string& name, bool may_be_absent) {
  const toml::node* node = Find(name);
  const std::string path = path_.empty() ? name : path_ + "." + name;
  if (node == nullptr && may_be_absent) {
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

std::vector<std::string> TomlReader::Names() const {
  std::vector<std::string> names;
  for (const auto& [key, node] : table_) {
    names.emplace_back(key.str());
  }
  return names;
}

void TomlReader::RefuseOthers() const {
  for (const std::string& name : Names()) {
    if (!known_.contains(name)) {
      Fail(name, "is not a known setting");
    }
  }
}

}  // namespace sycamorestall

#include "config/json_field.h"

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <string>

namespace sycamorestall {

namespace {

using nlohmann::json;

constexpr std::int64_t kMax = std::numeric_limits<std::int64_t>::max();

// The depth to which objects and arrays of the text are nested. Brackets in strings do not count.
std::size_t NestingDepth(std::string_view text) {
  std::size_t depth = 0;
  std::size_t deepest = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char character = text[i];
    if (in_string) {
      // The character behind a backslash is part of the string.
      i += character == '\\' ? 1 : 0;
      in_string = character != '"';
    } else if (character == '"') {
      in_string = true;
    } else if (character == '[' || character == '{') {
      deepest = std::max(deepest, ++depth);
    } else if ((character == ']' || character == '}') && depth > 0) {
      --depth;
    }
  }
  return deepest;
}

}  // namespace

json ParseBoundedJson(std::string_view text, std::size_t max_bytes, std::size_t max_depth) {
  if (text.size() > max_bytes) {
    throw std::invalid_argument("longer than " + std::to_string(max_bytes) + " bytes");
  }
  if (NestingDepth(text) > max_depth) {
    throw std::invalid_argument("nested deeper than " + std::to_string(max_depth));
  }
  return json::parse(text);
}

std::int64_t ParseWholeNumber(const json& value, std::int64_t min, std::int64_t max) {
  const bool too_large =
      value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(kMax);
  if (value.is_number_integer() && !too_large) {
    const auto number = value.get<std::int64_t>();
    if (number >= min && number <= max) {
      return number;
    }
  }
  throw std::invalid_argument("not a whole number from " + std::to_string(min) + " to " +
                              std::to_string(max));
}

std::int64_t ParseOptionalWholeNumber(const json& object, const char* name, std::int64_t fallback,
                                      std::int64_t min, std::int64_t max) {
  const auto found = object.find(name);
  return found == object.end() ? fallback : ParseWholeNumber(*found, min, max);
}

Duration ParseSeconds(const json& value, std::chrono::seconds max) {
  const double seconds = value.is_number() ? value.get<double>() : -1;
  // Written so that a value that is not a number fails as well.
  const bool in_range = seconds >= 0 && seconds <= static_cast<double>(max.count());
  if (!in_range) {
    throw std::invalid_argument("not a number of seconds from 0 to " + std::to_string(max.count()));
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace sycamorestall

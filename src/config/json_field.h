#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

#include "core/boot_clock.h"

namespace sycamorestall {

// Fields of JSON that others wrote. Numbers are checked before they are converted: a value out of
// range would become another one without notice.

// Parses text whose objects and arrays are nested at most max_depth deep. Throws json::exception
// for invalid JSON and std::invalid_argument for text that is longer or nested deeper.
nlohmann::json ParseBoundedJson(std::string_view text, std::size_t max_bytes,
                                std::size_t max_depth);

// Returns a whole number within the limits. Throws std::invalid_argument for anything else.
std::int64_t ParseWholeNumber(const nlohmann::json& value, std::int64_t min, std::int64_t max);
// Like that, for a field that may be missing.
std::int64_t ParseOptionalWholeNumber(const nlohmann::json& object, const char* name,
                                      std::int64_t fallback, std::int64_t min, std::int64_t max);

// Returns a number of seconds from 0 to the limit as a duration. Throws std::invalid_argument for
// anything else.
Duration ParseSeconds(const nlohmann::json& value, std::chrono::seconds max);

}  // namespace sycamorestall

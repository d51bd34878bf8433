#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sycamorestall {

// Compresses a value against an earlier version of it, which may be empty. Empty if that fails.
std::optional<std::string> CompressValue(std::string_view value, std::string_view earlier);
// Restores a value of the given size in bytes; needs the same earlier version. Empty if the
// bytes do not yield such a value.
std::optional<std::string> DecompressValue(std::string_view bytes, std::size_t size,
                                           std::string_view earlier);

}  // namespace sycamorestall

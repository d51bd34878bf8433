#pragma once

#include <string>

namespace sycamorestall {

// Bytes as standard base64 text with padding, and back.
std::string EncodeBase64(const std::string& bytes);
std::string DecodeBase64(const std::string& text);

}  // namespace sycamorestall

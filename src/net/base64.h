#pragma once

#include <string>

namespace sycamorestall {

// Encodes bytes as standard base64 with padding.
std::string EncodeBase64(const std::string& bytes);
// Decodes standard base64, up to the first invalid character.
std::string DecodeBase64(const std::string& text);

}  // namespace sycamorestall

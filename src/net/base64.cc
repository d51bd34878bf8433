#include "net/base64.h"

#include <boost/beast/core/detail/base64.hpp>

namespace sycamorestall {

namespace base64 = boost::beast::detail::base64;

std::string EncodeBase64(const std::string& bytes) {
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes(base64::decoded_size(text.size()), '\0');
  bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
  return bytes;
}

}  // namespace sycamorestall

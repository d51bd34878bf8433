#include "http/http_message.h"

#include <strings.h>

#include <boost/locale/utf.hpp>

namespace sycamorestall::http {

namespace {

constexpr std::uint32_t kFirstPrintable = 0x20;
constexpr std::uint32_t kDelete = 0x7f;

}  // namespace

const char* ToString(Method method) {
  switch (method) {
    case Method::kGet:
      return "GET";
    case Method::kPut:
      return "PUT";
    case Method::kPost:
      return "POST";
    case Method::kDelete:
      return "DELETE";
    case Method::kOther:
      break;
  }
  return "OTHER";
}

const std::string* FindHeader(const std::vector<Header>& headers, std::string_view name) {
  for (const Header& header : headers) {
    const bool same_length = header.name.size() == name.size();
    if (same_length && strncasecmp(header.name.data(), name.data(), name.size()) == 0) {
      return &header.value;
    }
  }
  return nullptr;
}

bool IsPrintableUtf8(std::string_view text) {
  using Traits = boost::locale::utf::utf_traits<char>;
  const char* position = text.data();
  const char* end = text.data() + text.size();
  while (position != end) {
    const boost::locale::utf::code_point point = Traits::decode(position, end);
    const bool valid = boost::locale::utf::is_valid_codepoint(point);
    if (!valid || point < kFirstPrintable || point == kDelete) {
      return false;
    }
  }
  return true;
}

}  // namespace sycamorestall::http

#include "http/http_message.h"

#include <curl/curl.h>
#include <strings.h>

#include <boost/locale/utf.hpp>
#include <cctype>

namespace sycamorestall::http {

namespace {

constexpr std::uint32_t kFirstPrintable = 0x20;
constexpr std::uint32_t kDelete = 0x7f;

bool IsHex(char character) { return std::isxdigit(static_cast<unsigned char>(character)) != 0; }

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

bool DecodePercent(std::string_view text, std::string& decoded) {
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      continue;
    }
    if (i + 2 >= text.size() || !IsHex(text[i + 1]) || !IsHex(text[i + 2])) {
      return false;
    }
  }
  int length = 0;
  const std::string copy{text};
  char* raw = curl_easy_unescape(nullptr, copy.c_str(), static_cast<int>(copy.size()), &length);
  if (raw == nullptr) {
    return false;
  }
  decoded.assign(raw, static_cast<std::size_t>(length));
  curl_free(raw);
  return true;
}

std::string EncodePercent(std::string_view text) {
  if (text.empty()) {
    return {};
  }
  char* raw = curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
  std::string encoded = raw == nullptr ? "" : raw;
  curl_free(raw);
  return encoded;
}

bool IsPlainUtf8(std::string_view text) {
  using Traits = boost::locale::utf::utf_traits<char>;
  const char* place = text.data();
  const char* end = text.data() + text.size();
  while (place != end) {
    const boost::locale::utf::code_point point = Traits::decode(place, end);
    const bool valid = boost::locale::utf::is_valid_codepoint(point);
    if (!valid || point < kFirstPrintable || point == kDelete) {
      return false;
    }
  }
  return true;
}

std::string QueryParameter(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
      std::string value;
      return DecodePercent(pair.substr(equals + 1), value) ? value : std::string{};
    }
    query = end == std::string_view::npos ? std::string_view{} : query.substr(end + 1);
  }
  return {};
}

}  // namespace sycamorestall::http

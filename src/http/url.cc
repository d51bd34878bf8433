#include "http/url.h"

#include <charconv>

namespace sycamorestall::http {

namespace {

constexpr std::uint16_t kDefaultPort = 80;
constexpr int kHexBase = 16;

bool IsUnreserved(char character) {
  const bool letter_or_digit = (character >= 'a' && character <= 'z') ||
                               (character >= 'A' && character <= 'Z') ||
                               (character >= '0' && character <= '9');
  return letter_or_digit || character == '-' || character == '.' || character == '_' ||
         character == '~';
}

bool ParsePort(std::string_view text, std::uint16_t& port) {
  const auto result = std::from_chars(text.data(), text.data() + text.size(), port);
  return result.ec == std::errc{} && result.ptr == text.data() + text.size() && port != 0;
}

}  // namespace

std::optional<Url> ParseUrl(std::string_view text) {
  constexpr std::string_view kScheme = "http://";
  if (!text.starts_with(kScheme)) {
    return std::nullopt;
  }
  text.remove_prefix(kScheme.size());
  const std::size_t end = text.find_first_of("/?");
  const std::string_view authority = text.substr(0, end);
  const std::size_t colon = authority.rfind(':');
  Url url;
  url.authority = authority;
  url.address = {std::string{authority.substr(0, colon)}, kDefaultPort};
  const bool port_is_invalid =
      colon != std::string_view::npos && !ParsePort(authority.substr(colon + 1), url.address.port);
  if (url.address.host.empty() || port_is_invalid) {
    return std::nullopt;
  }
  url.target = end == std::string_view::npos ? "/" : text.substr(end);
  if (url.target.front() == '?') {
    url.target.insert(0, "/");
  }
  return url;
}

bool DecodePercent(std::string_view text, std::string& decoded) {
  decoded.clear();
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded.push_back(text[i]);
      continue;
    }
    const std::string_view digits = text.substr(i + 1, 2);
    unsigned char byte = 0;
    const auto result =
        std::from_chars(digits.data(), digits.data() + digits.size(), byte, kHexBase);
    if (digits.size() != 2 || result.ec != std::errc{} || result.ptr != digits.data() + 2) {
      return false;
    }
    decoded.push_back(static_cast<char>(byte));
    i += 2;
  }
  return true;
}

std::string EncodePercent(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : text) {
    if (IsUnreserved(character)) {
      encoded.push_back(character);
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    encoded.push_back('%');
    encoded.push_back(kDigits[byte / kHexBase]);
    encoded.push_back(kDigits[byte % kHexBase]);
  }
  return encoded;
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

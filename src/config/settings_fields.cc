#include "config/settings_fields.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <fstream>
#include <sstream>

namespace sycamorestall {

namespace {

constexpr std::size_t kLongestName = 64;

}  // namespace

bool IsName(const std::string& text) {
  const auto fits = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kLongestName &&
         std::all_of(text.begin(), text.end(), fits);
}

std::string CheckedName(TomlReader& reader, const std::string& field) {
  std::string text = reader.Text(field);
  if (!IsName(text)) {
    reader.Fail(field, "must be up to 64 letters, digits, '-', '_' or '.'");
  }
  return text;
}

NetworkAddress ParseAddress(TomlReader& reader, const std::string& field) {
  const std::string text = reader.Text(field);
  const std::size_t colon = text.rfind(':');
  const std::string why = "must be an IP number and a port, such as 127.0.0.1:8080";
  if (colon == std::string::npos) {
    reader.Fail(field, why);
  }
  NetworkAddress address{text.substr(0, colon), 0};
  boost::system::error_code bad_host;
  boost::asio::ip::make_address(address.host, bad_host);
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto [last, bad_port] = std::from_chars(begin, end, address.port);
  if (bad_host || bad_port != std::errc{} || last != end || address.port == 0) {
    reader.Fail(field, why);
  }
  return address;
}

LogLevel ParseLevel(TomlReader& reader) {
  LogLevel level = LogLevel::kInfo;
  if (!ParseLogLevel(reader.Text("log_level", "info"), level)) {
    reader.Fail("log_level", "must be debug, info, warning or error");
  }
  return level;
}

std::optional<std::string> ReadFile(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace sycamorestall

#include "config/settings_fields.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <fstream>
#include <sstream>

namespace sycamorestall {

namespace {

constexpr std::size_t kMaxNameBytes = 64;

}  // namespace

bool IsValidName(const std::string& text) {
  const auto is_allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

std::string ReadName(TomlReader& reader, const std::string& field) {
  std::string text = reader.ReadString(field);
  if (!IsValidName(text)) {
    reader.Fail(field, "must be up to 64 letters, digits, '-', '_' or '.'");
  }
  return text;
}

NetworkAddress ReadAddress(TomlReader& reader, const std::string& field) {
  const std::string text = reader.ReadString(field);
  const std::size_t colon = text.rfind(':');
  const std::string message = "must be an IP number and a port, such as 127.0.0.1:8080";
  if (colon == std::string::npos) {
    reader.Fail(field, message);
  }
  NetworkAddress address{text.substr(0, colon), 0};
  boost::system::error_code host_error;
  boost::asio::ip::make_address(address.host, host_error);
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto [last, port_error] = std::from_chars(begin, end, address.port);
  if (host_error || port_error != std::errc{} || last != end || address.port == 0) {
    reader.Fail(field, message);
  }
  return address;
}

LogLevel ReadLogLevel(TomlReader& reader) {
  LogLevel level = LogLevel::kInfo;
  if (!ParseLogLevel(reader.ReadString("log_level", "info"), level)) {
    reader.Fail("log_level", "must be debug, info, warning or error");
  }
  return level;
}

std::optional<std::string> ReadTextFile(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace sycamorestall

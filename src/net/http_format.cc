#include "net/http_format.h"

#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace sycamorestall {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::array<std::string_view, 9> kConnectionHeaders{
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
    "TE",         "Trailer",    "Upgrade",          "Content-Length",
    "Expect"};

beast::string_view ToBeastView(std::string_view text) { return {text.data(), text.size()}; }

}  // namespace

bool IsConnectionHeader(std::string_view name) {
  for (const std::string_view each : kConnectionHeaders) {
    if (beast::iequals(ToBeastView(each), ToBeastView(name))) {
      return true;
    }
  }
  return false;
}

bool IsListedInConnection(const http::fields& headers, std::string_view name) {
  const auto connection = headers.find(http::field::connection);
  if (connection == headers.end()) {
    return false;
  }
  return http::token_list{connection->value()}.exists(ToBeastView(name));
}

void AppendHeader(std::string& head, std::string_view name, std::string_view value) {
  head.append(name).append(": ").append(value).append("\r\n");
}

std::string StatusLine(unsigned status) {
  const beast::string_view reason = http::obsolete_reason(static_cast<http::status>(status));
  std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
  line.append(reason.data(), reason.size()).append("\r\n");
  return line;
}

}  // namespace sycamorestall

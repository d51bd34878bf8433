#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorestall::http {

// The methods that the project uses.
enum class Method : std::uint8_t { kGet, kPut, kPost, kDelete, kOther };

// The method as HTTP spells it.
const char* ToString(Method method);

// One header line.
struct Header {
  std::string name;
  std::string value;

  friend bool operator==(const Header&, const Header&) = default;
};

// The value of the first header with that name, compared without regard to
// case; null when there is none.
const std::string* FindHeader(const std::vector<Header>& headers, std::string_view name);

// A request as it came from a connection. The path is still percent-encoded.
struct Request {
  Method method = Method::kOther;
  std::string path;
  std::string query;
  std::vector<Header> headers;
  std::string body;

  // The value of a header; null when there is none.
  const std::string* header(std::string_view name) const { return FindHeader(headers, name); }
};

// A response to be sent on a connection.
struct Response {
  std::uint16_t status = 200;
  std::vector<Header> headers;
  std::string content_type;
  std::string body;
  // The connection is closed behind this response.
  bool close = false;
};

// Whether the text is valid UTF-8 without control characters.
bool IsPlainUtf8(std::string_view text);

}  // namespace sycamorestall::http

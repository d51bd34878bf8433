#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorestall::http {

// Request methods; kOther stands for all that are not supported.
enum class Method : std::uint8_t { kGet, kPut, kPost, kDelete, kOther };

// Returns the method's name in HTTP.
const char* ToString(Method method);

// A header field.
struct Header {
  std::string name;
  std::string value;

  friend bool operator==(const Header&, const Header&) = default;
};

// Returns the value of the first header with this name (case-insensitive), or null.
const std::string* FindHeader(const std::vector<Header>& headers, std::string_view name);

// A received request. The path is still percent-encoded.
struct Request {
  Method method = Method::kOther;
  std::string path;
  std::string query;
  std::vector<Header> headers;
  std::string body;

  // Returns the value of a header, or null.
  const std::string* header(std::string_view name) const { return FindHeader(headers, name); }
};

// A response to be sent.
struct Response {
  std::uint16_t status = 200;
  std::vector<Header> headers;
  std::string content_type;
  std::string body;
  // Whether the connection is closed after this response.
  bool close = false;
};

// Whether the text is valid UTF-8 without ASCII control characters.
bool IsPrintableUtf8(std::string_view text);

}  // namespace sycamorestall::http

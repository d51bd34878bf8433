#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/network_address.h"

namespace sycamorestall::http {

// The parts of a URL that a call needs.
struct Url {
  // Host and port as they stand in the URL.
  std::string authority;
  NetworkAddress address;
  // Path and query.
  std::string target;

  friend bool operator==(const Url&, const Url&) = default;
};

// Reads a URL such as http://10.0.0.5:7000/kv/a?b=c; empty when it is not one.
std::optional<Url> ParseUrl(std::string_view text);

// Undoes percent-encoding; false when it is malformed.
bool DecodePercent(std::string_view text, std::string& decoded);

// Percent-encodes all but unreserved characters (RFC 3986, section 2.3).
std::string EncodePercent(std::string_view text);

// The value of a parameter in a query string, decoded; empty when it is absent.
std::string QueryParameter(std::string_view query, std::string_view name);

}  // namespace sycamorestall::http

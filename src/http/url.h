#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/network_address.h"

namespace sycamorestall::http {

// The parts of an http URL.
struct Url {
  // Host and port as written in the URL.
  std::string authority;
  NetworkAddress address;
  // Path and query.
  std::string target;

  friend bool operator==(const Url&, const Url&) = default;
};

// Parses a URL such as http://10.0.0.5:7000/kv/a?b=c; returns nullopt if it is invalid.
std::optional<Url> ParseUrl(std::string_view text);

// Decodes percent-encoding; returns false if it is malformed.
bool DecodePercent(std::string_view text, std::string& decoded);

// Percent-encodes all but unreserved characters (RFC 3986, section 2.3).
std::string EncodePercent(std::string_view text);

// Returns the decoded value of a query parameter; empty if it is absent or malformed.
std::string QueryParameter(std::string_view query, std::string_view name);

}  // namespace sycamorestall::http

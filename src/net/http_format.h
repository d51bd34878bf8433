#pragma once

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>

namespace sycamorestall {

// Whether a header is hop-by-hop and so must not be forwarded. Content-Length counts as one, as
// it is rewritten for each message.
bool IsConnectionHeader(std::string_view name);

// Whether the Connection header lists the named header as hop-by-hop.
bool IsListedInConnection(const boost::beast::http::fields& headers, std::string_view name);

// Appends a header line with its line end to a message head.
void AppendHeader(std::string& head, std::string_view name, std::string_view value);

// Returns the status line of an answer, with its line end.
std::string StatusLine(unsigned status);

}  // namespace sycamorestall

#pragma once

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>

namespace sycamorestall {

// Whether a header concerns one connection only, and so must not be passed on.
// Content-Length counts too: it is written anew for each message.
bool IsConnectionHeader(std::string_view name);

// Whether a Connection header lists the named header as concerning this
// connection only.
bool IsListedInConnection(const boost::beast::http::fields& headers, std::string_view name);

// Appends one header line.
void AppendHeader(std::string& head, std::string_view name, std::string_view value);

// The head of an answer up to its first header line.
std::string StatusLine(unsigned status);

}  // namespace sycamorestall

#pragma once

#include <optional>
#include <string>

#include "core/endpoint_order.h"

namespace sycamorestall {

// Formats an order as the JSON that endpoints accept.
std::string FormatOrder(const EndpointOrder& order);
// Parses an order; nullopt when the text is malformed.
std::optional<EndpointOrder> ParseOrder(const std::string& text);

// Formats an endpoint's reply to an order as JSON.
std::string FormatReply(const EndpointReply& reply);
// Parses a reply; nullopt when the text is malformed.
std::optional<EndpointReply> ParseReply(const std::string& text);

}  // namespace sycamorestall

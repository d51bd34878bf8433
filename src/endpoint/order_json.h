#pragma once

#include <optional>
#include <string>

#include "core/endpoint_order.h"

namespace sycamorestall {

// Writes an order as the JSON that endpoints take.
std::string WriteOrder(const EndpointOrder& order);
// Reads an order; empty when the text is not one.
std::optional<EndpointOrder> ParseOrder(const std::string& text);

// Writes an endpoint's reply to an order.
std::string WriteReply(const EndpointReply& reply);
// Reads a reply; empty when the text is not one.
std::optional<EndpointReply> ParseReply(const std::string& text);

}  // namespace sycamorestall

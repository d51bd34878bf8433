#pragma once

#include <boost/asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include "core/network_address.h"
#include "net/caller_connection.h"

namespace sycamorestall::fakes {

// Sends an answer with a JSON body. `more_head` is further lines of the head.
void AnswerJson(CallerExchange& exchange, unsigned status, const nlohmann::json& body,
                const std::string& more_head = "");

// Returns a loopback address with a port that is currently free.
NetworkAddress FindFreeAddress(boost::asio::io_context& context);

}  // namespace sycamorestall::fakes

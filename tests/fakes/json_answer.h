#pragma once

#include <boost/asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include "core/network_address.h"
#include "net/caller_connection.h"

namespace sycamorestall::fakes {

// Answers with a status and a JSON body.
void AnswerJson(CallerExchange& exchange, unsigned status, const nlohmann::json& body);

// An address of this machine that nobody listens at.
NetworkAddress FreeAddress(boost::asio::io_context& context);

}  // namespace sycamorestall::fakes

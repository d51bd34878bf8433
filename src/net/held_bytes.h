#pragma once

#include <boost/beast/http/fields.hpp>
#include <memory>
#include <string>

#include "core/memory_account.h"
#include "net/http_types.h"

namespace sycamorestall {

// Returns the bytes as shared ones that count in the account until the last owner lets go of them.
SharedBytes HoldBytes(std::string bytes, const std::shared_ptr<MemoryAccount>& account);

// About how many bytes of memory the fields of a message take.
std::size_t MemoryOfFields(const boost::beast::http::fields& fields);

// The bytes of the fields as sent.
std::size_t SizeOfFields(const boost::beast::http::fields& fields);

}  // namespace sycamorestall

#pragma once

#include <system_error>

namespace sycamorestall::http {

// Why an HTTP call got no answer.
enum class ClientError {
  // No connection was made, so not a byte of the request was sent.
  kNotConnected = 1,
  // The time was up.
  kTimeout,
  // The connection broke, or the answer was cut short.
  kBroken,
  // The client was stopped.
  kStopped,
};

// The category of the errors above.
const std::error_category& ClientErrorCategory();

// Makes an error code of a client error.
std::error_code make_error_code(ClientError error);

}  // namespace sycamorestall::http

// Lets client errors turn into error codes by themselves.
template <>
struct std::is_error_code_enum<sycamorestall::http::ClientError> : std::true_type {};

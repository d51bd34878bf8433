#pragma once

#include <system_error>

namespace sycamorestall::http {

// Reason why an HTTP call has no response.
enum class ClientError {
  // No connection was established, so no byte of the request was sent.
  kNotConnected = 1,
  // The response did not arrive before the timeout.
  kTimeout,
  // The connection broke, or the response was truncated.
  kBroken,
  // The call was cancelled or the client was stopped.
  kStopped,
};

// Returns the error category of ClientError.
const std::error_category& ClientErrorCategory();

// Converts a ClientError to an error code; std::error_code finds it by its name.
std::error_code make_error_code(ClientError error);

}  // namespace sycamorestall::http

// Allows the implicit conversion of ClientError to std::error_code.
template <>
struct std::is_error_code_enum<sycamorestall::http::ClientError> : std::true_type {};

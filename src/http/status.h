#pragma once

#include <cstdint>

namespace sycamorestall::http {

// The statuses that the project sends or understands (RFC 9110, section 15).
inline constexpr std::uint16_t kOk = 200;
inline constexpr std::uint16_t kBadRequest = 400;
inline constexpr std::uint16_t kForbidden = 403;
inline constexpr std::uint16_t kNotFound = 404;
inline constexpr std::uint16_t kMethodNotAllowed = 405;
inline constexpr std::uint16_t kConflict = 409;
inline constexpr std::uint16_t kLengthRequired = 411;
inline constexpr std::uint16_t kTooLarge = 413;
inline constexpr std::uint16_t kTooMany = 429;
inline constexpr std::uint16_t kHeadTooLarge = 431;
inline constexpr std::uint16_t kServerError = 500;
inline constexpr std::uint16_t kBadGateway = 502;
inline constexpr std::uint16_t kUnavailable = 503;
inline constexpr std::uint16_t kGatewayTimeout = 504;

}  // namespace sycamorestall::http

#pragma once

#include <cstdint>

namespace sycamorestall::http {

// Status codes that are sent or interpreted (RFC 9110, section 15; 429 and 431: RFC 6585).
inline constexpr std::uint16_t kOk = 200;
inline constexpr std::uint16_t kBadRequest = 400;
inline constexpr std::uint16_t kForbidden = 403;
inline constexpr std::uint16_t kNotFound = 404;
inline constexpr std::uint16_t kMethodNotAllowed = 405;
inline constexpr std::uint16_t kRequestTimeout = 408;
inline constexpr std::uint16_t kConflict = 409;
inline constexpr std::uint16_t kLengthRequired = 411;
inline constexpr std::uint16_t kContentTooLarge = 413;
inline constexpr std::uint16_t kMisdirectedRequest = 421;
inline constexpr std::uint16_t kTooManyRequests = 429;
inline constexpr std::uint16_t kHeaderFieldsTooLarge = 431;
inline constexpr std::uint16_t kInternalServerError = 500;
inline constexpr std::uint16_t kBadGateway = 502;
inline constexpr std::uint16_t kServiceUnavailable = 503;
inline constexpr std::uint16_t kGatewayTimeout = 504;

// Whether callers take the status as a guarantee that their request has not been executed.
constexpr bool DeniesExecution(unsigned status) {
  return status == kRequestTimeout || status == kMisdirectedRequest || status == kTooManyRequests ||
         status == kServiceUnavailable;
}

}  // namespace sycamorestall::http

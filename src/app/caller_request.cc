#include "app/caller_request.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "core/shard_map.h"
#include "http/status.h"
#include "http/url.h"

namespace sycamorestall {

namespace {

constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::string_view kKeysInfix = "/keys/";
constexpr std::size_t kMaxKeyBytes = 512;
constexpr std::size_t kMaxCustomerBytes = 128;

Answer MakeNotRunRefusal(std::uint16_t status, const std::string& reason,
                         const std::string& message) {
  return MakeErrorAnswer(status, Outcome::kNotRun, reason, message);
}

// Parses the caller's timeout, or takes the default of the service. Returns an
// answer if the header is not valid.
std::optional<Answer> ParseTimeout(const http::Request& request, const ServiceSettings& service,
                                   std::chrono::milliseconds& timeout) {
  timeout = service.default_timeout;
  const std::string* text = request.header("Sycamorestall-Timeout-Ms");
  if (text == nullptr) {
    return std::nullopt;
  }
  std::int64_t value = 0;
  const char* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, value);
  const bool valid = parsed.ec == std::errc{} && parsed.ptr == end && value > 0 &&
                     value <= service.max_timeout.count();
  if (!valid) {
    return MakeNotRunRefusal(http::kBadRequest, "bad-timeout",
                             "Sycamorestall-Timeout-Ms must be a whole number from 1 to " +
                                 std::to_string(service.max_timeout.count()));
  }
  timeout = std::chrono::milliseconds{value};
  return std::nullopt;
}

// Parses the idempotency key if the service requires one. Returns an answer if it
// is missing or not valid.
std::optional<Answer> ParseIdempotencyKey(const http::Request& request,
                                          const ServiceSettings& service,
                                          std::optional<UuidV7>& command) {
  if (service.idempotent || request.method == http::Method::kGet) {
    return std::nullopt;
  }
  const std::string* text = request.header("Idempotency-Key");
  if (text == nullptr) {
    return MakeNotRunRefusal(
        http::kBadRequest, "idempotency-key-missing",
        "requests that change state need an Idempotency-Key with a UUID of version 7");
  }
  command = ParseUuidV7(*text);
  if (!command) {
    return MakeNotRunRefusal(http::kBadRequest, "idempotency-key-bad",
                             "the Idempotency-Key must be a UUID of version 7");
  }
  return std::nullopt;
}

// The service and the percent-encoded key of a path.
struct PathParts {
  std::string service;
  std::string_view key;
};

// Returns nothing when the path does not have the form of a caller's request.
std::optional<PathParts> SplitPath(std::string_view path) {
  if (!path.starts_with(kServicesPrefix)) {
    return std::nullopt;
  }
  path.remove_prefix(kServicesPrefix.size());
  const std::size_t infix_at = path.find(kKeysInfix);
  if (infix_at == std::string_view::npos) {
    return std::nullopt;
  }
  return PathParts{std::string(path.substr(0, infix_at)),
                   path.substr(infix_at + kKeysInfix.size())};
}

}  // namespace

Answer MakeErrorAnswer(std::uint16_t status, Outcome outcome, const std::string& reason,
                       const std::string& message) {
  Answer answer;
  answer.outcome = outcome;
  answer.status = status;
  answer.reason = reason;
  answer.content_type = "application/json";
  const nlohmann::json body{{"error", {{"code", reason}, {"message", message}}}};
  answer.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  return answer;
}

http::Response MakeResponse(Answer answer) {
  http::Response response;
  response.status = answer.status;
  response.content_type = std::move(answer.content_type);
  response.body = std::move(answer.body);
  response.headers.push_back({"Sycamorestall-Outcome", ToString(answer.outcome)});
  if (answer.retry_after_s > 0) {
    response.headers.push_back({"Retry-After", std::to_string(answer.retry_after_s)});
  }
  return response;
}

std::variant<CallerRequest, Answer> ParseCallerRequest(const http::Request& request,
                                                       std::uint64_t body_bytes,
                                                       const Settings& settings) {
  const std::optional<PathParts> parts = SplitPath(request.path);
  if (!parts) {
    return MakeNotRunRefusal(http::kNotFound, "unknown-path",
                             "the path must be /v1/services/SERVICE/keys/KEY");
  }
  if (request.method == http::Method::kOther) {
    return MakeNotRunRefusal(http::kMethodNotAllowed, "method-not-allowed",
                             "use GET, PUT, POST or DELETE");
  }
  CallerRequest caller_request;
  caller_request.method = request.method;
  caller_request.service = ServiceName{parts->service};
  const auto found = settings.services.find(caller_request.service);
  if (found == settings.services.end()) {
    return MakeNotRunRefusal(http::kNotFound, "unknown-service",
                             "there is no service of that name");
  }
  const ServiceSettings& service = found->second;
  const bool decoded = http::DecodePercent(parts->key, caller_request.key);
  if (!decoded || caller_request.key.empty() || !http::IsPrintableUtf8(caller_request.key)) {
    return MakeNotRunRefusal(http::kBadRequest, "bad-key",
                             "the key must be percent-encoded UTF-8 and not empty");
  }
  if (caller_request.key.size() > kMaxKeyBytes) {
    return MakeNotRunRefusal(http::kBadRequest, "key-too-long",
                             "the key must be at most 512 bytes long");
  }
  const std::string* customer = request.header("Sycamorestall-Customer");
  if (customer == nullptr || customer->empty() || customer->size() > kMaxCustomerBytes) {
    return MakeNotRunRefusal(http::kBadRequest, "customer-missing",
                             "Sycamorestall-Customer must name the customer, in at most 128 bytes");
  }
  caller_request.customer = CustomerName{*customer};
  std::optional<Answer> refusal = ParseTimeout(request, service, caller_request.timeout);
  if (!refusal) {
    refusal = ParseIdempotencyKey(request, service, caller_request.command);
  }
  if (!refusal && body_bytes > service.max_body_bytes) {
    refusal = MakeNotRunRefusal(
        http::kContentTooLarge, "body-too-large",
        "the body must be at most " + std::to_string(service.max_body_bytes) + " bytes");
  }
  if (refusal) {
    return *refusal;
  }
  caller_request.shard = ShardOfKey(caller_request.key, service.shards);
  const std::string* content_type = request.header("Content-Type");
  caller_request.content_type = content_type == nullptr ? "" : *content_type;
  caller_request.body = request.body;
  return caller_request;
}

}  // namespace sycamorestall

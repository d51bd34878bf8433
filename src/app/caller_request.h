#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <variant>

#include "config/settings.h"
#include "core/identifiers.h"
#include "core/outcome.h"
#include "core/uuid_v7.h"
#include "http/http_message.h"

namespace sycamorestall {

// A caller's request that has been parsed and validated.
struct CallerRequest {
  ServiceName service;
  std::string key;
  ShardId shard;
  http::Method method = http::Method::kGet;
  CustomerName customer;
  std::chrono::milliseconds timeout{};
  // The Idempotency-Key; set when the request must run at most once.
  std::optional<UuidV7> command;
  std::string content_type;
  std::string body;

  // Whether the request may run more than once.
  bool idempotent() const { return !command.has_value(); }
};

// Parses a request to /v1/services/{service}/keys/{key}. body_bytes is the length
// of its body. Returns an answer that says what is wrong if it is not valid.
std::variant<CallerRequest, Answer> ParseCallerRequest(const http::Request& request,
                                                       std::uint64_t body_bytes,
                                                       const Settings& settings);

// Makes the answer to a request for which there is no result of an endpoint. The
// reason is a fixed error code for programs, the message a sentence for people.
Answer MakeErrorAnswer(std::uint16_t status, Outcome outcome, const std::string& reason,
                       const std::string& message);

// Converts an answer to the HTTP response for the caller.
http::Response MakeResponse(Answer answer);

}  // namespace sycamorestall

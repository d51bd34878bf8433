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

// A caller's request once everything about its form has been checked.
struct CallerRequest {
  ServiceName service;
  std::string key;
  ShardId shard;
  http::Method method = http::Method::kGet;
  CustomerName customer;
  std::chrono::milliseconds timeout{};
  // Set when the request changes state and must run at most once.
  std::optional<UuidV7> command;
  std::string content_type;
  std::string body;

  // Whether it may run more than once.
  bool idempotent() const { return !command.has_value(); }
};

// Checks a request to /v1/services/{service}/keys/{key}; body_bytes is the
// length that its head announces. What is wrong with it is said in an answer.
std::variant<CallerRequest, Answer> ParseCallerRequest(const http::Request& request,
                                                       std::uint64_t body_bytes,
                                                       const Settings& settings);

// An answer made by a daemon: the reason is a short fixed word, the message a
// sentence for people.
Answer MakeRefusal(std::uint16_t status, Outcome outcome, const std::string& reason,
                   const std::string& message);

// The HTTP response that carries an answer.
http::Response MakeResponse(Answer answer);

}  // namespace sycamorestall

#pragma once

#include <optional>
#include <string>

#include "core/endpoint_entry.h"
#include "core/key_range.h"
#include "core/routing_config.h"
#include "net/http_types.h"
#include "store/store.h"

namespace sycamorestall {

// What the daemon needs to know of a caller's request.
struct RequestAttributes {
  // Identifies this try of the caller; empty if the caller gave none.
  std::string id;
  std::string host;
  std::string path;
  // How long the caller will wait; unset: as long as the route allows.
  std::optional<Duration> caller_timeout;
  // The key, for services whose endpoints own keys.
  std::optional<KeyNumber> key;
};

// What an endpoint's answer says of its request.
enum class AnswerKind {
  // It ran, and the answer is the caller's.
  kRun,
  // It ran and failed, and the answer is the caller's.
  kFailed,
  // It was not run and never will be.
  kNotRun,
  // It was not run, as the endpoint does not own its key or is another one.
  kNotOwner,
  // It is not an answer to this request, or not one that can be trusted.
  kInvalid,
};

// How requests and answers are written, between callers, daemons and endpoints.
class RequestFormat {
 public:
  virtual ~RequestFormat() = default;

  // Reads what decides about a caller's request.
  virtual RequestAttributes ParseRequest(const HttpRequest& request) const = 0;
  // The head of the request as one endpoint gets it. The body goes with it unchanged.
  virtual std::string FormatRequestHead(const HttpRequest& request, std::size_t body_size,
                                        const InstanceId& endpoint, Duration time_left) const = 0;
  // Judges an endpoint's answer to the request with the given id.
  virtual AnswerKind ClassifyAnswer(const HttpAnswer& answer, const std::string& id) const = 0;
  // The head of an endpoint's answer as its caller gets it, without its last line.
  virtual std::string FormatAnswerHead(const HttpAnswer& answer) const = 0;
  // The head of an answer of the daemon's own, without its last line. With a time
  // to come back the answer says so.
  virtual std::string FormatLocalAnswerHead(unsigned status, const std::string& id,
                                            std::size_t body_size,
                                            std::optional<Duration> retry_after) const = 0;
};

// How grants of keys are asked of endpoints.
class OrderFormat {
 public:
  virtual ~OrderFormat() = default;

  // The request that grants keys, or renews the grant.
  virtual OutgoingMessage FormatGrant(const InstanceId& endpoint, const KeyGrant& grant) const = 0;
  // The request that takes keys back.
  virtual OutgoingMessage FormatRelease(const InstanceId& endpoint, KeyRange range,
                                        FencingToken token) const = 0;
  // What an endpoint answered to either.
  virtual OrderReply ParseReply(const HttpAnswer& answer) const = 0;
};

// How the store's keys that others write are named and read.
class DirectoryFormat {
 public:
  virtual ~DirectoryFormat() = default;

  // Whether the key holds the routing configuration.
  virtual bool IsConfigKey(const std::string& key) const = 0;
  // Whether the key holds what an endpoint says of itself.
  virtual bool IsEndpointKey(const std::string& key) const = 0;
  // The endpoint that a key is about.
  virtual InstanceId EndpointIdFromKey(const std::string& key) const = 0;
  // Reads the configuration; empty when it cannot be read, with the reason.
  virtual std::optional<RoutingConfig> ParseConfig(const std::string& text,
                                                   std::string& reason) const = 0;
  // Reads an endpoint's entry; empty when it names no endpoint to use, with the reason.
  virtual std::optional<EndpointEntry> ParseEndpoint(const StoreItem& item,
                                                     std::string& reason) const = 0;
};

}  // namespace sycamorestall

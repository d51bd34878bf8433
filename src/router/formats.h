#pragma once

#include <optional>
#include <string>

#include "core/endpoint_entry.h"
#include "core/endpoint_notice.h"
#include "core/key_range.h"
#include "core/routing_config.h"
#include "net/answer_matcher.h"
#include "net/http_types.h"
#include "store/store.h"

namespace sycamorestall {

// The attributes of a caller's request that decide how it is routed.
struct RequestAttributes {
  // Identifies this attempt of the caller; empty if the caller sent no id.
  std::string id;
  std::string host;
  std::string path;
  // How long the caller waits for an answer; if unset, only the route's timeout applies.
  std::optional<Duration> caller_timeout;
  // The key; used only for services whose endpoints own keys.
  std::optional<KeyNumber> key;
};

// What an endpoint's answer says about the execution of its request.
enum class AnswerKind {
  // It ran; the answer is forwarded to the caller.
  kRun,
  // It ran and failed; the answer is forwarded unless the request is retried.
  kFailed,
  // It was not run and never will be.
  kNotRun,
  // It was not run: the endpoint does not own its key or is not the addressed instance.
  kNotOwner,
  // It bears the id of another request, whose answer it is.
  kOtherRequest,
  // It cannot be trusted.
  kInvalid,
};

// Parses and formats the requests and answers between callers, daemons and endpoints.
class RequestFormat : public AnswerMatcher {
 public:
  // Extracts the routing attributes of a caller's request.
  virtual RequestAttributes ParseRequest(const HttpRequest& request) const = 0;
  // Formats the head of the request for one endpoint, with the time left for the answer.
  // The body is forwarded unchanged.
  virtual std::string FormatRequestHead(const HttpRequest& request, std::size_t body_size,
                                        const InstanceId& endpoint, Duration time_left) const = 0;
  // Classifies an endpoint's answer to the request with the given id. An answer without an id can't
  // be told from one to another request, so it says nothing, not even that the request was not run.
  virtual AnswerKind ClassifyAnswer(const HttpAnswer& answer, const std::string& id) const = 0;
  bool IsAnswerTo(const HttpAnswer& answer, const std::string& id) const final {
    const AnswerKind kind = ClassifyAnswer(answer, id);
    return kind != AnswerKind::kOtherRequest && kind != AnswerKind::kInvalid;
  }
  // Parses what an accepted answer says about the endpoint itself.
  virtual EndpointNotice ParseNotice(const HttpAnswer& answer) const = 0;
  // Formats the head of an endpoint's answer for the caller, without the final empty line.
  virtual std::string FormatAnswerHead(const HttpAnswer& answer) const = 0;
  // Formats the head of an answer that the daemon itself gives, without the final empty
  // line. If retry_after is set, the answer tells the caller when to retry.
  virtual std::string FormatLocalAnswerHead(unsigned status, const std::string& id,
                                            std::size_t body_size,
                                            std::optional<Duration> retry_after) const = 0;
};

// Which order an answer is for.
enum class AnsweredOrder {
  kThis,
  // The answer does not tell.
  kUnknown,
  kAnother,
};

// Formats grants and releases of keys for endpoints and parses their replies. Each order has
// an id of its own.
class OrderFormat {
 public:
  virtual ~OrderFormat() = default;

  // Formats the request that grants keys or renews their grant.
  virtual OutgoingMessage FormatGrant(const std::string& id, const InstanceId& endpoint,
                                      const KeyGrant& grant) const = 0;
  // Formats the request that makes the endpoint give keys back.
  virtual OutgoingMessage FormatRelease(const std::string& id, const InstanceId& endpoint,
                                        KeyRange range, FencingToken token) const = 0;
  // Tells whether an answer is for the order with the given id.
  virtual AnsweredOrder IdentifyOrder(const HttpAnswer& answer, const std::string& id) const = 0;
  // Parse an endpoint's reply to a grant and to a release.
  virtual OrderReply ParseGrantReply(const HttpAnswer& answer) const = 0;
  virtual OrderReply ParseReleaseReply(const HttpAnswer& answer) const = 0;
};

// Formats health checks of endpoints and judges the answers.
class HealthFormat {
 public:
  virtual ~HealthFormat() = default;

  // Formats a check of an endpoint whose service names the path.
  virtual OutgoingMessage FormatCheck(const std::string& path,
                                      const InstanceId& endpoint) const = 0;
  // Whether the answer is of that endpoint, which takes requests and is not being removed from
  // service.
  virtual bool IsHealthy(const HttpAnswer& answer, const InstanceId& endpoint) const = 0;
};

// Recognizes and parses the store items written by operators and endpoints.
class DirectoryFormat {
 public:
  virtual ~DirectoryFormat() = default;

  // What the keys of all items that the operator writes begin with.
  virtual std::string OperatorPrefix() const = 0;
  // Whether the key holds the routing configuration.
  virtual bool IsConfigKey(const std::string& key) const = 0;
  // Whether the key holds an endpoint's entry.
  virtual bool IsEndpointKey(const std::string& key) const = 0;
  // The id of the endpoint whose entry the key holds.
  virtual InstanceId EndpointIdFromKey(const std::string& key) const = 0;
  // The failure domain that the operator evacuates with this key, whatever its value; empty if the
  // key is another one.
  virtual std::optional<DomainName> EvacuatedDomain(const std::string& key) const = 0;
  // Parses the configuration; empty, with the reason, if it is not valid.
  virtual std::optional<RoutingConfig> ParseConfig(const std::string& text,
                                                   std::string& reason) const = 0;
  // Parses an endpoint's entry; empty, with the reason, if it describes no usable endpoint.
  virtual std::optional<EndpointEntry> ParseEndpoint(const StoreItem& item,
                                                     std::string& reason) const = 0;
};

}  // namespace sycamorestall

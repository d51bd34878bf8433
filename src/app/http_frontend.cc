#include "app/http_frontend.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "app/caller_request.h"
#include "app/daemon.h"
#include "app/explain.h"
#include "http/status.h"
#include "http/url.h"

namespace sycamorestall {

namespace {

using nlohmann::json;

constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::string_view kExplainPrefix = "/v1/explain/";
constexpr std::uint64_t kMaxDocumentBytes = 1 << 20;

http::Response JsonResponse(std::uint16_t status, std::string body) {
  return {status, {}, "application/json", std::move(body) + "\n", false};
}

http::Response ErrorResponse(std::uint16_t status, const std::string& code,
                             const std::string& message) {
  return MakeResponse(MakeErrorAnswer(status, Outcome::kNotRun, code, message));
}

http::ServerSettings MakeServerSettings(const Settings& settings) {
  http::ServerSettings server;
  server.host = settings.http.host;
  server.port = settings.http.port;
  server.max_body_bytes = kMaxDocumentBytes;
  for (const auto& [name, service] : settings.services) {
    server.max_body_bytes = std::max(server.max_body_bytes, service.max_body_bytes);
  }
  return server;
}

json DescribeChange(const DocumentChange& change) {
  return {{"version", change.version},
          {"change_id", change.change_id},
          {"author", change.author},
          {"at_ms", change.at_ms}};
}

http::Response EditResponse(const EditResult& result) {
  json body{{"version", result.version}, {"message", result.message}};
  if (result.winner) {
    body["winner"] = DescribeChange(*result.winner);
  }
  switch (result.outcome) {
    case EditOutcome::kAccepted:
      return JsonResponse(http::kOk, body.dump(2));
    case EditOutcome::kConflict:
      return JsonResponse(http::kConflict, body.dump(2));
    case EditOutcome::kInvalid:
      return JsonResponse(http::kBadRequest, body.dump(2));
    case EditOutcome::kUnavailable:
      return JsonResponse(http::kServiceUnavailable, body.dump(2));
    case EditOutcome::kUnknown:
      break;
  }
  return JsonResponse(http::kGatewayTimeout, body.dump(2));
}

}  // namespace

HttpFrontend::HttpFrontend(Daemon& daemon)
    : daemon_(daemon), server_(MakeServerSettings(daemon.settings()), *this) {}

http::Response HttpFrontend::MakeMalformedResponse(std::uint16_t status, const std::string& why) {
  return ErrorResponse(status, "malformed-request", why);
}

void HttpFrontend::Handle(http::Request request, http::Responder responder) {
  if (!request.path.starts_with(kServicesPrefix)) {
    if (request.body.size() > kMaxDocumentBytes) {
      responder.Send(ErrorResponse(http::kContentTooLarge, "body-too-large",
                                   "the body must be at most 1048576 bytes"));
      return;
    }
    daemon_.loop().Post([this, request = std::move(request), responder] {
      HandleOperatorRequest(request, responder);
    });
    return;
  }
  auto parsed = ParseCallerRequest(request, request.body.size(), daemon_.settings());
  if (auto* refusal = std::get_if<Answer>(&parsed)) {
    responder.Send(MakeResponse(std::move(*refusal)));
    return;
  }
  daemon_.loop().Post(
      [this, caller = std::get<CallerRequest>(std::move(parsed)), responder]() mutable {
        daemon_.ingress().HandleRequest(std::move(caller), responder);
      });
}

void HttpFrontend::HandleCallerDisconnect(std::uint64_t number) {
  daemon_.loop().Post([this, number] { daemon_.ingress().HandleCallerDisconnect(number); });
}

void HttpFrontend::HandleOperatorRequest(const http::Request& request,
                                         const http::Responder& responder) {
  const std::string& path = request.path;
  const bool is_get = request.method == http::Method::kGet;
  if (path == "/healthz" && is_get) {
    responder.Send(JsonResponse(http::kOk, R"({"healthy":true})"));
  } else if (path == "/readyz" && is_get) {
    responder.Send(daemon_.ready() ? JsonResponse(http::kOk, R"({"ready":true})")
                                   : JsonResponse(http::kServiceUnavailable, R"({"ready":false})"));
  } else if (path == "/metrics" && is_get) {
    responder.Send(
        {http::kOk, {}, "text/plain; version=0.0.4", daemon_.metrics().FormatPrometheus(), false});
  } else if (path == "/v1/status" && is_get) {
    responder.Send(JsonResponse(http::kOk, DescribeDaemon(daemon_)));
  } else if (path.starts_with(kExplainPrefix) && is_get) {
    HandleExplain(path.substr(kExplainPrefix.size()), responder);
  } else if (path == "/v1/plans" || path == "/v1/plans/history") {
    HandleDocumentRequest(DocumentKind::kPlans, request, path.ends_with("history"), responder);
  } else if (path == "/v1/customers" || path == "/v1/customers/history") {
    HandleDocumentRequest(DocumentKind::kCustomers, request, path.ends_with("history"), responder);
  } else if (path == "/v1/drain" && request.method == http::Method::kPost) {
    responder.Send(JsonResponse(http::kOk, R"({"leaving":true})"));
    daemon_.Drain();
  } else if (path == "/v1/log-level" && request.method == http::Method::kPut) {
    HandleLogLevel(request.body, responder);
  } else if (path == "/v1/faults" && request.method == http::Method::kPost) {
    HandleFaults(request.body, responder);
  } else {
    responder.Send(ErrorResponse(http::kNotFound, "unknown-path", "there is nothing at this path"));
  }
}

void HttpFrontend::HandleDocumentRequest(DocumentKind kind, const http::Request& request,
                                         bool history, const http::Responder& responder) {
  if (request.method == http::Method::kPut && !history) {
    HandleDocumentEdit(kind, request.body, responder);
    return;
  }
  if (request.method != http::Method::kGet) {
    responder.Send(ErrorResponse(http::kMethodNotAllowed, "method-not-allowed", "use GET or PUT"));
    return;
  }
  const StoredDocument& document = daemon_.config().Document(kind);
  json body{{"version", document.version}};
  if (history) {
    body["history"] = json::array();
    for (const DocumentChange& change : document.history) {
      body["history"].push_back(DescribeChange(change));
    }
  } else {
    body["document"] = json::parse(document.content.empty() ? "{}" : document.content);
  }
  responder.Send(JsonResponse(http::kOk, body.dump(2)));
}

void HttpFrontend::HandleDocumentEdit(DocumentKind kind, const std::string& body,
                                      const http::Responder& responder) {
  DocumentEdit edit;
  edit.kind = kind;
  try {
    const json object = json::parse(body);
    edit.expected_version = object.at("expected_version").get<std::uint64_t>();
    edit.change_id = object.at("change_id").get<std::string>();
    edit.author = object.at("author").get<std::string>();
    edit.content = object.at("document").dump();
  } catch (const json::exception& error) {
    responder.Send(ErrorResponse(http::kBadRequest, "bad-change", error.what()));
    return;
  }
  daemon_.config().Edit(std::move(edit), [responder](const EditResult& result) {
    responder.Send(EditResponse(result));
  });
}

void HttpFrontend::HandleExplain(const std::string& path, const http::Responder& responder) {
  const std::size_t slash_at = path.find('/');
  const std::string encoded = slash_at == std::string::npos ? "" : path.substr(slash_at + 1);
  std::string key;
  const bool valid_key = http::DecodePercent(encoded, key) && !key.empty();
  if (!valid_key) {
    responder.Send(ErrorResponse(http::kBadRequest, "bad-key", "use /v1/explain/SERVICE/KEY"));
    return;
  }
  daemon_.Explain(ServiceName{path.substr(0, slash_at)}, key, [responder](std::string text) {
    responder.Send(
        text.empty() ? ErrorResponse(http::kNotFound, "unknown-service", "there is no such service")
                     : JsonResponse(http::kOk, std::move(text)));
  });
}

void HttpFrontend::HandleLogLevel(const std::string& body, const http::Responder& responder) {
  LogLevel level = LogLevel::kInfo;
  const json object = json::parse(body, nullptr, false);
  const bool has_level = object.is_object() && object.value("level", json()).is_string();
  if (!has_level || !ParseLogLevel(object.at("level").get<std::string>(), level)) {
    responder.Send(ErrorResponse(http::kBadRequest, "bad-level",
                                 "level must be debug, info, warning or error"));
    return;
  }
  SetLogLevel(level);
  responder.Send(JsonResponse(http::kOk, "{}"));
}

void HttpFrontend::HandleFaults(const std::string& body, const http::Responder& responder) {
  const json object = json::parse(body, nullptr, false);
  if (!daemon_.settings().allow_faults || !object.is_object()) {
    responder.Send(
        ErrorResponse(http::kForbidden, "faults-not-allowed", "daemon.allow_faults is not set"));
    return;
  }
  std::set<DomainName> domains;
  for (const json& each : object.value("cut_domains", json::array())) {
    domains.insert(DomainName{each.is_string() ? each.get<std::string>() : ""});
  }
  daemon_.SimulatePartition(std::move(domains));
  responder.Send(JsonResponse(http::kOk, "{}"));
}

}  // namespace sycamorestall

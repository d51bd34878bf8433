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

constexpr std::string_view kServices = "/v1/services/";
constexpr std::string_view kExplain = "/v1/explain/";
constexpr std::uint64_t kMostDocumentBytes = 1 << 20;

http::Response Json(std::uint16_t status, std::string body) {
  return {status, {}, "application/json", std::move(body) + "\n", false};
}

http::Response Error(std::uint16_t status, const std::string& code, const std::string& message) {
  return MakeResponse(MakeRefusal(status, Outcome::kNotRun, code, message));
}

http::ServerSettings MakeServerSettings(const Settings& settings) {
  http::ServerSettings server;
  server.host = settings.http.host;
  server.port = settings.http.port;
  server.max_body_bytes = kMostDocumentBytes;
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

http::Response DescribeEdit(const EditResult& result) {
  json body{{"version", result.version}, {"message", result.message}};
  if (result.winner) {
    body["winner"] = DescribeChange(*result.winner);
  }
  switch (result.verdict) {
    case EditVerdict::kAccepted:
      return Json(http::kOk, body.dump(2));
    case EditVerdict::kConflict:
      return Json(http::kConflict, body.dump(2));
    case EditVerdict::kInvalid:
      return Json(http::kBadRequest, body.dump(2));
    case EditVerdict::kUnavailable:
      return Json(http::kServiceUnavailable, body.dump(2));
    case EditVerdict::kUnknown:
      break;
  }
  return Json(http::kGatewayTimeout, body.dump(2));
}

}  // namespace

HttpFrontend::HttpFrontend(Daemon& daemon)
    : daemon_(daemon), server_(MakeServerSettings(daemon.settings()), *this) {}

http::Response HttpFrontend::MakeMalformedResponse(std::uint16_t status, const std::string& why) {
  return Error(status, "malformed-request", why);
}

void HttpFrontend::Handle(http::Request request, http::Responder responder) {
  if (!request.path.starts_with(kServices)) {
    if (request.body.size() > kMostDocumentBytes) {
      responder.Send(Error(http::kContentTooLarge, "body-too-large",
                           "the body must be at most 1048576 bytes"));
      return;
    }
    daemon_.loop().Post(
        [this, request = std::move(request), responder] { Operate(request, responder); });
    return;
  }
  auto parsed = ParseCallerRequest(request, request.body.size(), daemon_.settings());
  if (auto* refusal = std::get_if<Answer>(&parsed)) {
    responder.Send(MakeResponse(std::move(*refusal)));
    return;
  }
  daemon_.loop().Post(
      [this, caller = std::get<CallerRequest>(std::move(parsed)), responder]() mutable {
        daemon_.ingress().Take(std::move(caller), responder);
      });
}

void HttpFrontend::HandleCallerDisconnect(std::uint64_t number) {
  daemon_.loop().Post([this, number] { daemon_.ingress().CallerLeft(number); });
}

void HttpFrontend::Operate(const http::Request& request, const http::Responder& responder) {
  const std::string& path = request.path;
  const bool is_get = request.method == http::Method::kGet;
  if (path == "/healthz" && is_get) {
    responder.Send(Json(http::kOk, R"({"healthy":true})"));
  } else if (path == "/readyz" && is_get) {
    responder.Send(daemon_.ready() ? Json(http::kOk, R"({"ready":true})")
                                   : Json(http::kServiceUnavailable, R"({"ready":false})"));
  } else if (path == "/metrics" && is_get) {
    responder.Send({http::kOk, {}, "text/plain; version=0.0.4", daemon_.metrics().Write(), false});
  } else if (path == "/v1/status" && is_get) {
    responder.Send(Json(http::kOk, DescribeDaemon(daemon_)));
  } else if (path.starts_with(kExplain) && is_get) {
    ExplainPath(path.substr(kExplain.size()), responder);
  } else if (path == "/v1/plans" || path == "/v1/plans/history") {
    OperateDocument(DocumentKind::kPlans, request, path.ends_with("history"), responder);
  } else if (path == "/v1/customers" || path == "/v1/customers/history") {
    OperateDocument(DocumentKind::kCustomers, request, path.ends_with("history"), responder);
  } else if (path == "/v1/drain" && request.method == http::Method::kPost) {
    responder.Send(Json(http::kOk, R"({"leaving":true})"));
    daemon_.Drain();
  } else if (path == "/v1/log-level" && request.method == http::Method::kPut) {
    ChangeLogLevel(request.body, responder);
  } else if (path == "/v1/faults" && request.method == http::Method::kPost) {
    ChangeFaults(request.body, responder);
  } else {
    responder.Send(Error(http::kNotFound, "unknown-path", "there is nothing at this path"));
  }
}

void HttpFrontend::OperateDocument(DocumentKind kind, const http::Request& request, bool history,
                                   const http::Responder& responder) {
  if (request.method == http::Method::kPut && !history) {
    EditDocument(kind, request.body, responder);
    return;
  }
  if (request.method != http::Method::kGet) {
    responder.Send(Error(http::kMethodNotAllowed, "method-not-allowed", "use GET or PUT"));
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
  responder.Send(Json(http::kOk, body.dump(2)));
}

void HttpFrontend::EditDocument(DocumentKind kind, const std::string& body,
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
    responder.Send(Error(http::kBadRequest, "bad-change", error.what()));
    return;
  }
  daemon_.config().Edit(std::move(edit), [responder](const EditResult& result) {
    responder.Send(DescribeEdit(result));
  });
}

void HttpFrontend::ExplainPath(const std::string& path, const http::Responder& responder) {
  const std::size_t slash = path.find('/');
  const std::string encoded = slash == std::string::npos ? "" : path.substr(slash + 1);
  std::string key;
  const bool valid = http::DecodePercent(encoded, key) && !key.empty();
  if (!valid) {
    responder.Send(Error(http::kBadRequest, "bad-key", "use /v1/explain/SERVICE/KEY"));
    return;
  }
  daemon_.Explain(ServiceName{path.substr(0, slash)}, key, [responder](std::string text) {
    responder.Send(text.empty()
                       ? Error(http::kNotFound, "unknown-service", "there is no such service")
                       : Json(http::kOk, std::move(text)));
  });
}

void HttpFrontend::ChangeLogLevel(const std::string& body, const http::Responder& responder) {
  LogLevel level = LogLevel::kInfo;
  const json object = json::parse(body, nullptr, false);
  const bool named = object.is_object() && object.value("level", json()).is_string();
  if (!named || !ParseLogLevel(object.at("level").get<std::string>(), level)) {
    responder.Send(
        Error(http::kBadRequest, "bad-level", "level must be debug, info, warning or error"));
    return;
  }
  SetLogLevel(level);
  responder.Send(Json(http::kOk, "{}"));
}

void HttpFrontend::ChangeFaults(const std::string& body, const http::Responder& responder) {
  const json object = json::parse(body, nullptr, false);
  if (!daemon_.settings().allow_faults || !object.is_object()) {
    responder.Send(Error(http::kForbidden, "faults-not-allowed", "daemon.allow_faults is not set"));
    return;
  }
  std::set<DomainName> domains;
  for (const json& each : object.value("cut_domains", json::array())) {
    domains.insert(DomainName{each.is_string() ? each.get<std::string>() : ""});
  }
  daemon_.Cut(std::move(domains));
  responder.Send(Json(http::kOk, "{}"));
}

}  // namespace sycamorestall

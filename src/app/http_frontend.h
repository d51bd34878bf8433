#pragma once

#include <optional>
#include <string>

#include "http/http_server.h"

namespace sycamorestall {

class Daemon;
enum class DocumentKind;

// The daemon's HTTP side: callers' requests go to the ingress, the rest is the
// operators' interface. Checks forms on the server's thread and posts
// everything else to the loop.
class HttpFrontend : public http::RequestHandler {
 public:
  explicit HttpFrontend(Daemon& daemon);

  void Start() { server_.Start(); }
  void Stop() { server_.Stop(); }

  void Handle(http::Request request, http::Responder responder) override;
  void HandleCallerDisconnect(std::uint64_t number) override;
  http::Response MakeMalformedResponse(std::uint16_t status, const std::string& why) override;

 private:
  void Operate(const http::Request& request, const http::Responder& responder);
  void OperateDocument(DocumentKind kind, const http::Request& request, bool history,
                       const http::Responder& responder);
  void EditDocument(DocumentKind kind, const std::string& body, const http::Responder& responder);
  void ExplainPath(const std::string& path, const http::Responder& responder);
  void ChangeLogLevel(const std::string& body, const http::Responder& responder);
  void ChangeFaults(const std::string& body, const http::Responder& responder);

  Daemon& daemon_;
  http::HttpServer server_;
};

}  // namespace sycamorestall

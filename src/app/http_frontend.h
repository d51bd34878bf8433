#pragma once

#include <optional>
#include <string>

#include "http/http_server.h"

namespace sycamorestall {

class Daemon;
enum class DocumentKind;

// Serves the daemon's HTTP interface: passes callers' requests to the ingress and
// handles operators' requests. Parses callers' requests on the server's thread and
// posts everything else to the event loop.
class HttpFrontend : public http::RequestHandler {
 public:
  explicit HttpFrontend(Daemon& daemon);

  void Start() { server_.Start(); }
  void Stop() { server_.Stop(); }

  void Handle(http::Request request, http::Responder responder) override;
  void HandleCallerDisconnect(std::uint64_t number) override;
  http::Response MakeMalformedResponse(std::uint16_t status, const std::string& why) override;

 private:
  void HandleOperatorRequest(const http::Request& request, const http::Responder& responder);
  // Reads or changes a document.
  void HandleDocumentRequest(DocumentKind kind, const http::Request& request, bool history,
                             const http::Responder& responder);
  void HandleDocumentEdit(DocumentKind kind, const std::string& body,
                          const http::Responder& responder);
  void HandleExplain(const std::string& path, const http::Responder& responder);
  void HandleLogLevel(const std::string& body, const http::Responder& responder);
  // Simulates a network partition, if the settings allow faults.
  void HandleFaults(const std::string& body, const http::Responder& responder);

  Daemon& daemon_;
  http::HttpServer server_;
};

}  // namespace sycamorestall

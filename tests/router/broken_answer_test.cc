#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

#include "fakes/scripted_server.h"
#include "router/router_deployment.h"

using namespace sycamorestall::testing;  // NOLINT
using sycamorestall::fakes::Script;
using sycamorestall::fakes::ScriptedServer;
using sycamorestall::fakes::ScriptEnd;  // NOLINT

namespace {

constexpr std::chrono::milliseconds kPause{1};
constexpr int kMaxTries = 3000;
constexpr std::size_t kMaxBodyBytes = std::size_t{16} << 20;
constexpr char kFields[] = "X-Request-Id: @ID@\r\nX-Server-Stamp: stamp\r\n";
constexpr char kBody[] = "Content-Length: 4\r\n\r\nbody";

// Sends a request that may run only once, with the body, until one reaches the endpoint, and
// returns the answer to the caller. Before that, the daemon does not know the endpoint yet.
CallerAnswer AnswerOfEndpoint(const Script& script, const std::string& body = {}) {
  ScriptedServer endpoint{script};
  RouterDeployment deployment{1, 1, 0};
  deployment.SetMaxBodyBytes(kMaxBodyBytes);
  deployment.WriteConfig(2);
  deployment.RegisterPumpAt("broken", endpoint.address());
  REQUIRE(deployment.WaitUntilServed());
  CallerAnswer answer;
  for (int tries = 0; endpoint.requests() == 0 && tries < kMaxTries; ++tries) {
    answer = deployment.SendRequest(0, {.path = "/pumps/1", .method = "POST", .body = body});
    std::this_thread::sleep_for(kPause);
  }
  CHECK(endpoint.requests() == 1);
  return answer;
}

// A configuration with a route of each kind to the service pumps.
std::string ConfigWithAllKinds() {
  std::string paths;
  for (const std::string kind : {"safe", "unsafe", "upload"}) {
    paths += R"({"name":")" + kind + R"(","prefix":"/)" + kind + R"(/","kind":")" + kind +
             R"(","timeout_s":3,"aim_s":1,"priority":1,"service":"pumps","max_attempts":2},)";
  }
  return R"({"version":2,"services":[{"name":"pumps"},{"name":"soil","sharded":true,"warm_s":2.0}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":)" +
         std::to_string(kMaxBodyBytes) + R"(,"header_timeout_s":3,"idle_timeout_s":15},)" +
         R"("hosts":[{"host":"h.example","paths":[)" + paths +
         R"({"name":"soil","prefix":"/soil/","kind":"safe","timeout_s":1,"aim_s":1,"priority":1,)"
         R"("service":"soil","max_attempts":2}]}]})";
}

// Sends requests until one more has reached the endpoint, and returns the answer to the last.
CallerAnswer AnswerOnceReached(RouterDeployment& deployment, const ScriptedServer& endpoint,
                               const CallerRequest& request) {
  const int before = endpoint.requests();
  CallerAnswer answer;
  for (int tries = 0; endpoint.requests() == before && tries < kMaxTries; ++tries) {
    answer = deployment.SendRequest(0, request);
    std::this_thread::sleep_for(kPause);
  }
  CHECK(endpoint.requests() > before);
  return answer;
}

}  // namespace

TEST_CASE("an answer with a status that is no final one is not passed on") {
  struct Row {
    std::string name;
    std::string status;
    int caller_status;
  };
  const Row rows[] = {{"zero", "000", 502},          {"below all classes", "099", 502},
                      {"interim", "100", 502},       {"switch of protocols", "101", 502},
                      {"last interim", "199", 502},  {"first final", "200", 200},
                      {"last final", "599", 599},    {"above all classes", "600", 502},
                      {"highest number", "999", 502}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const Script script{"HTTP/1.1 " + row.status + " Reason\r\n" + kFields + kBody,
                        ScriptEnd::kClose};
    // The request may have run, which 503 would deny.
    CHECK(AnswerOfEndpoint(script).status == row.caller_status);
  }
}

TEST_CASE("an answer without length that is reset during the upload is not passed on") {
  // More than the buffers of both ends hold.
  constexpr std::size_t kLongBody = std::size_t{8} << 20;
  const std::string head = std::string{"HTTP/1.1 200 OK\r\n"} + kFields + "\r\n";
  for (const std::string sent_part : {"", "b", "body"}) {
    CAPTURE(sent_part);
    const Script script{head + sent_part, ScriptEnd::kReset, true};
    CHECK(AnswerOfEndpoint(script, std::string(kLongBody, 'x')).status == 502);
  }
}

TEST_CASE("an answer with a malformed field name is not passed on") {
  struct Row {
    std::string name;
    std::string line;
  };
  const Row rows[] = {{"blank in the name", "X Name: value"},
                      {"blank before the name", " X-Name: value"},
                      {"blank after the name", "X-Name : value"},
                      {"tab in the name", "X\tName: value"},
                      {"control byte in the name", "X\x01Name: value"},
                      {"zero byte in the name", std::string{"X\0Name: value", 13}},
                      {"delete in the name", "X\x7fName: value"},
                      {"blank after the name of a length", "Content-Length : 2"},
                      {"control byte after the name of a length", "Content-Length\x01: 2"},
                      {"blank after the name of a coding", "Transfer-Encoding : chunked"}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    // If the line were ignored, the body would end with the connection.
    const Script script{
        std::string{"HTTP/1.1 200 OK\r\n"} + kFields + row.line + "\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        ScriptEnd::kClose};
    CHECK(AnswerOfEndpoint(script).status == 502);
  }
}

TEST_CASE("an answer with a body in an unknown transfer coding is not passed on") {
  struct Row {
    std::string name;
    std::string codings;
    int caller_status;
  };
  const Row rows[] = {
      {"chunks", "Transfer-Encoding: chunked", 200},
      {"chunks, in capitals", "transfer-encoding: CHUNKED", 200},
      {"another coding", "Transfer-Encoding: gzip", 502},
      {"another coding, with a length", "Transfer-Encoding: gzip\r\nContent-Length: 4", 502},
      {"another coding in chunks", "Transfer-Encoding: gzip, chunked", 502},
      {"another coding in chunks, on two lines",
       "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", 502},
      {"chunks in another coding", "Transfer-Encoding: chunked, gzip", 502},
      {"a name like that of chunks", "Transfer-Encoding: xchunked", 502},
      {"no name", "Transfer-Encoding:", 502}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const Script script{std::string{"HTTP/1.1 200 OK\r\n"} + kFields + row.codings +
                            "\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                        ScriptEnd::kClose};
    CHECK(AnswerOfEndpoint(script).status == row.caller_status);
  }
}

TEST_CASE("the final answer behind interim ones is passed on") {
  const std::string final_answer = std::string{"HTTP/1.1 200 OK\r\n"} + kFields + kBody;
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n";
  const std::string interim_with_id = std::string{"HTTP/1.1 102 Processing\r\n"} + kFields + "\r\n";
  for (const std::string& before : {interim, interim_with_id, interim + interim_with_id}) {
    CAPTURE(before);
    const CallerAnswer answer = AnswerOfEndpoint(Script{before + final_answer});
    CHECK(answer.status == 200);
    CHECK(answer.body == "body");
  }
}

// Guards against a broken answer that is taken for one where it is not the first that is read, and
// for kinds of requests that are sent again.
TEST_CASE("a broken answer is not passed on to any kind of request, nor behind other answers") {
  constexpr std::size_t kLongBody = std::size_t{8} << 20;
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n";
  const std::string no_status = std::string{"HTTP/1.1 000 Reason\r\n"} + kFields + kBody;
  const std::string no_length = std::string{"HTTP/1.1 200 OK\r\n"} + kFields + "\r\nbo";
  const Script full{std::string{"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"} + kFields + kBody};
  struct Row {
    std::string name;
    Script script;
    std::size_t body_bytes;
  };
  const Row rows[] = {
      {"status 000", {no_status, ScriptEnd::kClose}, 4},
      {"status 000 behind an interim answer", {interim + no_status, ScriptEnd::kClose}, 4},
      {"status 000, and the connection is kept", {no_status}, 4},
      {"reset during the upload", {no_length, ScriptEnd::kReset, true}, kLongBody},
      {"reset during the upload, behind an interim answer",
       {interim + no_length, ScriptEnd::kReset, true},
       kLongBody},
  };
  for (const Row& row : rows) {
    for (const bool second_try : {false, true}) {
      CAPTURE(row.name);
      CAPTURE(second_try);
      ScriptedServer broken{row.script};
      // Declines, so that requests are sent on to the other endpoint.
      ScriptedServer declining{full};
      RouterDeployment deployment{1, 1, 0};
      deployment.store.Put("op/config", ConfigWithAllKinds());
      deployment.RegisterPumpAt("broken", broken.address());
      if (second_try) {
        deployment.RegisterPumpAt("declining", declining.address());
      }
      REQUIRE(deployment.WaitUntilServed());
      for (const std::string kind : {"safe", "unsafe", "upload"}) {
        CAPTURE(kind);
        const CallerAnswer answer = AnswerOnceReached(
            deployment, broken,
            {.path = "/" + kind + "/1", .method = "PUT", .body = std::string(row.body_bytes, 'x')});
        // A request that may be repeated can end with the refusal by the other endpoint.
        const bool declined = second_try && kind == "safe" && answer.status == 503;
        CHECK((answer.status == 502 || declined));
      }
    }
  }
}

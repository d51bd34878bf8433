#pragma once

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "fakes/delayed_runner.h"
#include "fakes/grant_table.h"
#include "http/http_server.h"

namespace sycamorestall::fakes {

// Behaviour of a fake endpoint. POST /faults with a JSON object of these fields changes it
// at run time, except for the token check, the warm-up and the journal.
struct EndpointBehaviour {
  std::int64_t service_us = 1000;
  int slots = 6;
  bool checks_token = true;
  // Answers 503 to every request, without running it.
  bool sheds = false;
  // Answers neither requests nor orders until this is reset.
  bool frozen = false;
  // Reports in its replies that it is leaving.
  bool leaving = false;
  // A request for this key terminates the process.
  std::string crash_key;
  // Factor on the service time at the start; falls linearly to 1 over the warm-up time.
  double cold_factor = 1;
  std::int64_t warm_up_ms = 0;
  // Requests for this key are run but not answered; their connections stay open.
  std::string silent_key;
  // Reports a load of 0.
  bool reports_zero_load = false;
  // File that logs shards owned and commands run, so that they survive a kill; empty: none.
  std::string journal;
};

// Fake endpoint: applies orders, runs requests in slots, and records what it ran and when
// it owned which shards.
class FakeEndpoint : public http::RequestHandler {
 public:
  FakeEndpoint(std::string id, http::ServerSettings settings, EndpointBehaviour behaviour);

  void Start() { server_.Start(); }
  void Stop() { server_.Stop(); }
  std::uint16_t port() const { return server_.port(); }

  void Handle(http::Request request, http::Responder responder) override;

 private:
  // A request that occupies a slot.
  struct RunningRequest {
    std::string key;
    std::string command;
    ShardId shard;
    Epoch epoch;
    Term term;
    http::Responder responder;
    http::Response answer;
    bool cancelled = false;
  };

  void HandleOrder(const http::Request& request, const http::Responder& responder);
  void HandleRun(const http::Request& request, const http::Responder& responder);
  // Runs a request that needs no grant, as a baseline for benchmarks.
  void HandleBaselineRequest(const http::Request& request, const http::Responder& responder);
  void ApplyFaults(const http::Request& request, const http::Responder& responder);
  void FinishRun(std::uint64_t number);
  void CancelRun(const std::string& request_id);
  std::string FormatRecord();
  std::int64_t ServiceTime() const;
  void WriteToJournal(const std::string& line);

  std::string id_;
  std::int64_t started_ns_;
  std::mutex mutex_;
  EndpointBehaviour behaviour_;
  GrantTable grants_;
  std::map<std::uint64_t, RunningRequest> running_;
  std::map<std::string, std::uint64_t> by_request_id_;
  // Requests and orders that arrived while frozen.
  std::vector<std::pair<http::Request, http::Responder>> deferred_requests_;
  std::map<std::string, int> command_runs_;
  std::uint64_t runs_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t shed_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t too_late_ = 0;
  std::uint64_t next_run_ = 1;
  int max_running_ = 0;
  std::ofstream journal_;
  DelayedRunner runner_;
  http::HttpServer server_;
};

}  // namespace sycamorestall::fakes

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

// How a stand-in endpoint behaves; all of it can be changed while it runs, by
// POST /faults with a JSON object of these fields.
struct EndpointBehaviour {
  std::int64_t service_us = 1000;
  int slots = 6;
  bool checks_token = true;
  // Answers 503 to every request, without running it.
  bool sheds = false;
  // Answers nothing at all, neither requests nor orders.
  bool frozen = false;
  // Says in its replies that it leaves.
  bool leaving = false;
  // Requests of this key end the process.
  std::string crash_key;
  // Starts cold: service time is multiplied by up to this factor, falling to 1
  // over the warm-up time.
  double cold_factor = 1;
  std::int64_t warm_up_ms = 0;
  // Runs the request but closes nothing and says nothing, for this key.
  std::string silent_key;
  // Reports an invented load.
  bool lies = false;
  // Where to write down what it owned and ran, so that this outlives a kill.
  std::string journal;
};

// A stand-in for an endpoint: obeys grants, runs requests in slots and keeps a
// record of what it ran and of which shards it owned when.
class FakeEndpoint : public http::RequestHandler {
 public:
  FakeEndpoint(std::string id, http::ServerSettings settings, EndpointBehaviour behaviour);

  void Start() { server_.Start(); }
  void Stop() { server_.Stop(); }
  std::uint16_t port() const { return server_.port(); }

  void Handle(http::Request request, http::Responder responder) override;

 private:
  // One request that is running.
  struct Run {
    std::string key;
    std::string command;
    ShardId shard;
    Epoch epoch;
    Term term;
    http::Responder responder;
    http::Response answer;
    bool cancelled = false;
  };

  void TakeOrder(const http::Request& request, const http::Responder& responder);
  void TakeWork(const http::Request& request, const http::Responder& responder);
  // Runs a request without any grant, as a baseline to measure against.
  void TakeStraight(const http::Request& request, const http::Responder& responder);
  void TakeFaults(const http::Request& request, const http::Responder& responder);
  void Finish(std::uint64_t number);
  void Cancel(const std::string& request_id);
  std::string Report();
  std::int64_t ServiceTime() const;
  void Note(const std::string& line);

  std::string id_;
  std::int64_t started_ns_;
  std::mutex mutex_;
  EndpointBehaviour behaviour_;
  GrantTable grants_;
  std::map<std::uint64_t, Run> running_;
  std::map<std::string, std::uint64_t> by_request_id_;
  // What was held back while frozen.
  std::vector<std::pair<http::Request, http::Responder>> held_back_;
  std::map<std::string, int> command_runs_;
  std::uint64_t runs_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t shed_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t too_late_ = 0;
  std::uint64_t next_run_ = 1;
  int most_running_ = 0;
  std::ofstream journal_;
  DelayedRunner runner_;
  http::HttpServer server_;
};

}  // namespace sycamorestall::fakes

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "core/instance_list.h"
#include "fakes/delayed_runner.h"
#include "http/http_server.h"

namespace sycamorestall::fakes {

// Faults of the fake platform, set by POST /faults.
struct PlatformFaults {
  // Answers 503 to everything except administrative calls.
  bool outage = false;
  // Answers nothing except administrative calls.
  bool silent = false;
  // Delays each call by this time.
  std::int64_t slow_ms = 0;
  // Executes writes but does not answer them.
  bool loses_write_replies = false;
  // Reads return the value as of this long ago.
  std::int64_t read_lag_ms = 0;
  // Changes appear in the list of instances this much later.
  std::int64_t list_lag_ms = 0;
  // Callers that get no answer, as if partitioned from the platform.
  std::set<std::string> cut_callers;
};

// Fake platform: a key-value store with compare-and-swap, leases and watches, and a list
// of instances that may lag. It counts its calls by kind.
class FakePlatform : public http::RequestHandler {
 public:
  explicit FakePlatform(http::ServerSettings settings);

  void Start() { server_.Start(); }
  void Stop() { server_.Stop(); }
  std::uint16_t port() const { return server_.port(); }

  void Handle(http::Request request, http::Responder responder) override;

 private:
  struct Version {
    std::int64_t written_ns = 0;
    std::uint64_t revision = 0;
    std::string value;
  };
  struct Key {
    std::deque<Version> versions;
    std::string lease;
  };
  struct Watcher {
    std::string key;
    std::string caller;
    http::Responder responder;
  };
  struct ListVersion {
    std::int64_t changed_ns = 0;
    InstanceList list;
  };

  bool HandleAdministration(const http::Request& request, const http::Responder& responder);
  void HandleCall(const http::Request& request, const http::Responder& responder);
  void SendValue(const std::string& key, const http::Responder& responder);
  void HandleList(const std::string& prefix, const http::Responder& responder);
  void HandleWrite(const http::Request& request, const std::string& key,
                   const http::Responder& responder);
  void HandleWatch(const http::Request& request, const std::string& key,
                   const http::Responder& responder);
  void AnswerExpiredWatch(std::uint64_t number);
  void HandleLease(const http::Request& request, const std::string& suffix,
                   const http::Responder& responder);
  void ExpireLeases();
  void ApplyInstanceChange(const http::Request& request, const std::string& id);
  void ApplyFaults(const http::Request& request);
  const Version* VisibleVersion(const std::string& key) const;
  const InstanceList& VisibleList() const;

  std::mutex mutex_;
  PlatformFaults faults_;
  std::map<std::string, Key> keys_;
  std::uint64_t next_revision_ = 1;
  std::map<std::string, std::int64_t> lease_expiries_ns_;
  std::map<std::uint64_t, Watcher> watchers_;
  std::deque<ListVersion> list_versions_;
  std::map<std::string, std::uint64_t> call_counts_;
  DelayedRunner runner_;
  http::HttpServer server_;
};

}  // namespace sycamorestall::fakes

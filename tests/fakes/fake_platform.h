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

// What goes wrong in the stand-in platform; set by POST /faults.
struct PlatformFaults {
  // Answers 503 to everything but the administration calls.
  bool outage = false;
  // Answers nothing at all.
  bool silent = false;
  std::int64_t slow_ms = 0;
  // Carries writes out and then says nothing.
  bool loses_write_replies = false;
  // Reads give the value as it was this long ago.
  std::int64_t read_lag_ms = 0;
  // The list of instances shows changes this much later.
  std::int64_t list_lag_ms = 0;
  // Callers that get no answer, as if cut off.
  std::set<std::string> cut_callers;
};

// A stand-in for the platform: a key-value store with compare-and-swap, leases
// and watches, and a list of instances that lags. Each call is counted.
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
    std::string text;
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

  bool TakeAdministration(const http::Request& request, const http::Responder& responder);
  void Serve(const http::Request& request, const http::Responder& responder);
  void Read(const std::string& key, const http::Responder& responder);
  void List(const std::string& prefix, const http::Responder& responder);
  void Write(const http::Request& request, const std::string& key,
             const http::Responder& responder);
  void Watch(const http::Request& request, const std::string& key,
             const http::Responder& responder);
  void EndWatch(std::uint64_t number);
  void Lease(const http::Request& request, const std::string& rest,
             const http::Responder& responder);
  void ExpireLeases();
  void TakeInstance(const http::Request& request, const std::string& id);
  void TakeFaults(const http::Request& request);
  const Version* Visible(const std::string& key) const;
  const InstanceList& VisibleList() const;

  std::mutex mutex_;
  PlatformFaults faults_;
  std::map<std::string, Key> keys_;
  std::uint64_t next_revision_ = 1;
  std::map<std::string, std::int64_t> lease_ends_ns_;
  std::map<std::uint64_t, Watcher> watchers_;
  std::deque<ListVersion> lists_;
  std::map<std::string, std::uint64_t> counts_;
  DelayedRunner runner_;
  http::HttpServer server_;
};

}  // namespace sycamorestall::fakes

#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "core/key_range.h"
#include "net/caller_listener.h"

namespace sycamorestall::fakes {

// How a stand-in endpoint treats requests; what it runs is counted.
enum class EndpointTrouble {
  kNone,
  // Refuses every request without running it.
  kFull,
  // Says that it is not the one that is meant.
  kMisdirected,
  // Runs the request and answers with another request's id.
  kForeignId,
  // Runs the request and fails it.
  kFailing,
  // Runs the request and says nothing.
  kSilent,
  // Does so with each request that comes for the first time.
  kFullAtFirst,
  kForeignIdAtFirst,
};

// A stand-in for an endpoint of the platform: takes grants and releases of keys,
// and runs requests for the keys that it holds.
class KeyEndpoint : public CallerHandler {
 public:
  // With keys, requests are run only for those that were granted.
  KeyEndpoint(std::string id, bool owns_keys);
  ~KeyEndpoint() override;

  const std::string& id() const { return id_; }
  NetworkAddress address() const { return address_; }
  void SetTrouble(EndpointTrouble trouble);
  // Forgets its keys, as a new start does; what runs is lost with its connections.
  void Restart();
  void SetWork(std::chrono::milliseconds work);
  // How often each request id was run here.
  std::map<std::string, int> Runs();
  // Whether it holds a key now.
  bool Holds(KeyNumber key);
  // What came with the latest grant from the keys' last owner.
  std::string LastHandover();

  void HandleRequest(std::shared_ptr<CallerExchange> exchange) override;
  CallerLimits Limits() const override;
  bool ShouldCloseConnections() const override { return false; }

 private:
  struct Grant {
    KeyRange range;
    std::uint64_t token = 0;
    Instant until;
  };
  struct Work {
    std::shared_ptr<CallerExchange> exchange;
    EndpointTrouble trouble = EndpointTrouble::kNone;
    Instant done_at;
  };

  // All of these are called with the mutex held.
  void TakeGrant(CallerExchange& exchange);
  void TakeRelease(CallerExchange& exchange);
  bool HoldsNow(KeyNumber key) const;
  // How a request is treated that comes now.
  EndpointTrouble TroubleOf(const std::string& id);
  void Refuse(CallerExchange& exchange, unsigned status);
  void Finish(CallerExchange& exchange, EndpointTrouble trouble);
  void Run();

  const std::string id_;
  const bool owns_keys_;
  std::mutex mutex_;
  boost::asio::io_context context_{1};
  NetworkAddress address_;
  std::unique_ptr<CallerListener> listener_;
  std::vector<Grant> grants_;
  // The highest token that was seen for each key, also after a release.
  std::vector<std::uint64_t> seen_tokens_ = std::vector<std::uint64_t>(kKeyCount, 0);
  std::string last_handover_;
  std::map<std::string, int> runs_;
  std::set<std::string> seen_;
  std::vector<Work> work_;
  std::vector<std::shared_ptr<CallerExchange>> unanswered_;
  EndpointTrouble trouble_ = EndpointTrouble::kNone;
  std::chrono::milliseconds work_time_{5};
  bool ending_ = false;
  std::thread thread_;
};

}  // namespace sycamorestall::fakes

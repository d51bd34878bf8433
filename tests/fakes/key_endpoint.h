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

// Fault of a fake endpoint. Requests that it runs are counted with every fault.
enum class EndpointFault {
  kNone,
  // Refuses every request with 503, without running it.
  kFull,
  // Refuses every request with 421, as if meant for another instance.
  kMisdirected,
  // Runs the request and answers with another request's id.
  kWrongRequestId,
  // Runs the request and answers 500.
  kFailing,
  // Runs the request and does not answer.
  kSilent,
  // As kFull and kWrongRequestId, but only for the first attempt of each request.
  kFullOnFirstAttempt,
  kWrongIdOnFirstAttempt,
};

// The path of health checks, which are not counted as requests.
inline constexpr char kHealthPath[] = "/health";

// Fake endpoint of the platform: applies grants and releases of keys, and runs requests for
// the keys that it holds.
class KeyEndpoint : public CallerHandler {
 public:
  // With owns_keys, it runs requests only for keys granted to it.
  KeyEndpoint(std::string id, bool owns_keys);
  ~KeyEndpoint() override;

  const std::string& id() const { return id_; }
  NetworkAddress address() const { return address_; }
  void SetFault(EndpointFault fault);
  // Whether it says in all its answers, also to orders, that it is being removed from service.
  void SetLeaving(bool leaving);
  // The time to retry that it sends with each 503; none if empty.
  void SetRetryAfter(const std::string& seconds);
  // Number of requests that arrived, refused ones included, without orders.
  int ArrivalCount();
  // Simulates a restart: drops the grants, and the running requests with their connections.
  void Restart();
  // Requests whose target contains the text crash the endpoint: all connections end, and nothing
  // listens any more.
  void SetCrashingTarget(const std::string& text);
  // How many of them it has begun to run.
  int CrashCount();
  void SetServiceTime(std::chrono::milliseconds service_time);
  // Number of executions by request id.
  std::map<std::string, int> ExecutionCounts();
  // Whether it holds an unexpired grant of the key.
  bool HoldsKey(KeyNumber key);
  // Handover state of the last owner, as received with the latest grant that had any.
  std::string LastHandoverState();

  void HandleRequest(std::shared_ptr<CallerExchange> exchange) override;
  CallerLimits Limits() const override;
  bool ShouldCloseConnections() const override { return false; }

 private:
  struct Grant {
    KeyRange range;
    std::uint64_t token = 0;
    Instant until;
  };
  struct RunningRequest {
    std::shared_ptr<CallerExchange> exchange;
    EndpointFault fault = EndpointFault::kNone;
    Instant done_at;
  };

  // All but RunEventLoop are called with the mutex held.
  void HandleGrant(CallerExchange& exchange);
  void HandleRelease(CallerExchange& exchange);
  bool HoldsKeyLocked(KeyNumber key) const;
  // Returns the fault to apply to the request with this id.
  EndpointFault ChooseFault(const std::string& id);
  // The head of an answer, without its length and the final empty line.
  std::string AnswerHead(unsigned status) const;
  // Answers an order with the given additional headers. Grants are answered with a body, releases
  // without one.
  void SendOrderReply(CallerExchange& exchange, unsigned status, const std::string& headers,
                      const std::string& body);
  // Answers that it is healthy, or that it is being removed from service.
  void AnswerHealthCheck(CallerExchange& exchange);
  void SendNotExecuted(CallerExchange& exchange, unsigned status);
  void SendAnswer(CallerExchange& exchange, EndpointFault fault);
  // Ends all connections after a crash, and listens no more.
  void EndIfCrashed();
  void RunEventLoop();

  const std::string id_;
  const bool owns_keys_;
  std::mutex mutex_;
  boost::asio::io_context context_{1};
  NetworkAddress address_;
  std::unique_ptr<CallerListener> listener_;
  std::vector<Grant> grants_;
  // Highest token seen for each key; kept after a release.
  std::vector<std::uint64_t> highest_tokens_ = std::vector<std::uint64_t>(kKeyCount, 0);
  std::string last_handover_state_;
  std::map<std::string, int> execution_counts_;
  std::set<std::string> seen_request_ids_;
  std::vector<RunningRequest> running_;
  std::vector<std::shared_ptr<CallerExchange>> unanswered_;
  EndpointFault fault_ = EndpointFault::kNone;
  bool leaving_ = false;
  std::string crashing_target_;
  int crash_count_ = 0;
  std::string retry_after_;
  int arrival_count_ = 0;
  std::chrono::milliseconds service_time_{5};
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace sycamorestall::fakes

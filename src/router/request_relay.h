#pragma once

#include <memory>
#include <set>

#include "core/admission.h"
#include "core/endpoint_choice.h"
#include "core/retry_allowance.h"
#include "core/route_table.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "net/caller_connection.h"
#include "net/connection_pool.h"
#include "router/formats.h"
#include "router/key_directory.h"

namespace sycamorestall {

// What all requests of a daemon share.
struct RelayContext {
  DomainName domain;
  EndpointFleet& fleet;
  DomainWatch& domains;
  const EndpointChooser& chooser;
  RetryAllowance& retries;
  ConnectionPool& pool;
  const RequestFormat& format;
  KeyDirectory& keys;
  const ComponentLog& log;
  Metrics& metrics;
  // Daemons that take requests, this one included.
  std::size_t daemons = 1;
};

// One request on its way from a caller to an endpoint and back.
class RequestRelay : public std::enable_shared_from_this<RequestRelay> {
 public:
  RequestRelay(RelayContext& context, std::shared_ptr<CallerExchange> exchange,
               std::shared_ptr<RouteTable> routes, Instant now);

  // Finds the route and offers the request to an endpoint.
  void Begin(Instant now);
  // Tries again if it waits for its key's owner, and ends it when its time is up.
  void Tick(Instant now);
  // Whether the caller has its answer or has left.
  bool finished() const { return finished_; }

 private:
  // What a waiting request waits for.
  enum class State { kNew, kWaitingForOwner, kPausing, kAtEndpoint };

  void Offer(Instant now);
  void OfferToOwner(Instant now);
  void Send(const EndpointState& endpoint, Instant now);
  void TakeResult(CallResult result, Instant now);
  void TakeAnswer(HttpAnswer answer, Instant now);
  void HearDomain(Instant now);
  // The endpoint says that it has not run the request.
  void TakeRefusal(bool by_owner, Instant now);
  void TakeNoConnection(const CallResult& result, Instant now);
  void TakeBreak(const std::string& reason, bool stale, Instant now);
  // Sends the request again, if that is allowed, to an endpoint that was not
  // excluded; false when it is not. Only what arrived counts as a retry.
  bool Retry(bool arrived, Instant now);
  // The same, to the owner of the request's key: at once if it was not reached, else
  // after a pause.
  bool RetryOwner(bool arrived, Instant now);
  // Whether the endpoint that the request went to is thought to have a free slot.
  bool OwnerHasRoom() const;
  // The same, to another endpoint than the last.
  bool RetryElsewhere(bool arrived, Instant now);
  void WaitForOwner(Instant now);
  void Deliver(HttpAnswer answer, Instant now);
  void Refuse(const std::string& reason, Duration retry_after, Instant now);
  void AnswerOwn(unsigned status, const std::string& reason, std::optional<Duration> retry_after,
                 Instant now);
  void Abandon();
  void EndAttempt(EndpointEvidence evidence, Instant now);
  void NoteInputs(const EndpointState& endpoint, double expected_s, Instant now);
  void CountOutcome(unsigned status, const std::string& reason);
  void LogOutcome(unsigned status, const std::string& reason, Instant now);
  bool IsSafe() const { return route_->kind == RequestKind::kSafe; }
  Duration TimeLeft(Instant now) const;
  PlaceRequest Place(Instant now) const;

  RelayContext& context_;
  std::shared_ptr<CallerExchange> exchange_;
  std::shared_ptr<RouteTable> routes_;
  RequestFacts facts_;
  const Route* route_ = nullptr;
  ServiceName service_;
  bool keyed_ = false;
  Instant arrived_at_;
  Instant end_at_;
  State state_ = State::kNew;
  Instant waiting_since_;
  // The endpoint that has the request, and since when.
  InstanceId endpoint_;
  Instant sent_at_;
  // How full the endpoint was then.
  double sent_rounds_ = 1;
  ConnectionPool::CallHandle call_;
  std::set<InstanceId> tried_;
  // How often the request was sent, and until when it pauses before the next time.
  int sendings_ = 0;
  Instant pausing_until_;
  // How many endpoints the request has reached.
  int arrivals_ = 0;
  bool may_have_run_ = false;
  bool finished_ = false;
  // What the latest decision went by, for the log.
  std::string inputs_;
};

}  // namespace sycamorestall

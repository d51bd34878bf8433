#include "router/routing_daemon.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "clock/system_clock.h"
#include "core/descriptor_budget.h"
#include "http/status.h"
#include "net/http_format.h"
#include "router/process_memory.h"

namespace sycamorestall {

namespace {

constexpr std::chrono::milliseconds kTickInterval{20};
constexpr std::chrono::milliseconds kKeyTickInterval{40};
// Ticks that come later than this are logged.
constexpr std::chrono::milliseconds kLoggedStall{300};
constexpr std::chrono::milliseconds kTimeoutCheckInterval{100};
constexpr std::chrono::milliseconds kCrossDomainUpdateInterval{100};
// Requests are still served if they come within this time after a stop is requested; by then
// callers know that the daemon is not ready.
constexpr std::chrono::milliseconds kNewRequestGrace{2300};
// How long before the stop timeout requests that are still open are answered, and how long before
// it the process ends even if such answers are not written yet.
constexpr std::chrono::milliseconds kLastAnswerMargin{700};
constexpr std::chrono::milliseconds kStopMargin{300};

// Callers that are refused for want of memory are told to come back after this time, when bodies
// that are being read have been passed on.
constexpr std::chrono::milliseconds kRetryAfterMemoryShort{500};

// Answers a readiness or metrics request with plain text.
void AnswerPlainText(CallerExchange& exchange, unsigned status, std::string text) {
  OutgoingMessage message;
  message.head = StatusLine(status);
  AppendHeader(message.head, "Content-Type", "text/plain");
  AppendHeader(message.head, "Content-Length", std::to_string(text.size()));
  message.body = std::make_shared<const std::string>(std::move(text));
  exchange.Answer(std::move(message));
}

}  // namespace

// Accepts callers' requests.
class RoutingDaemon::RequestHandler : public CallerHandler {
 public:
  explicit RequestHandler(RoutingDaemon& daemon) : daemon_(daemon) {}

  void HandleRequest(std::shared_ptr<CallerExchange> exchange) override {
    daemon_.StartRequest(std::move(exchange));
  }
  CallerLimits Limits() const override {
    return daemon_.routes_ ? daemon_.routes_->config().limits : CallerLimits{};
  }
  bool ShouldCloseConnections() const override { return daemon_.stop_requested_at_.has_value(); }
  OutgoingMessage MakeMemoryRefusal(const HttpRequest* request) const override {
    const RequestFormat& format = daemon_.formats_.requests;
    const std::string id = request == nullptr ? std::string{} : format.ParseRequest(*request).id;
    OutgoingMessage message;
    message.body =
        std::make_shared<const std::string>(R"({"error":{"message":"memory is short"}})");
    message.head = format.FormatLocalAnswerHead(http::kServiceUnavailable, id, message.body->size(),
                                                kRetryAfterMemoryShort);
    return message;
  }

 private:
  RoutingDaemon& daemon_;
};

// Reports whether the daemon is ready for requests.
class RoutingDaemon::ReadinessHandler : public CallerHandler {
 public:
  explicit ReadinessHandler(RoutingDaemon& daemon) : daemon_(daemon) {}

  void HandleRequest(std::shared_ptr<CallerExchange> exchange) override {
    AnswerPlainText(*exchange, daemon_.IsReady() ? http::kOk : http::kServiceUnavailable, "");
  }
  CallerLimits Limits() const override { return {}; }
  bool ShouldCloseConnections() const override { return false; }

 private:
  RoutingDaemon& daemon_;
};

// Serves the metrics in Prometheus text format.
class RoutingDaemon::MetricsHandler : public CallerHandler {
 public:
  explicit MetricsHandler(RoutingDaemon& daemon) : daemon_(daemon) {}

  void HandleRequest(std::shared_ptr<CallerExchange> exchange) override {
    daemon_.UpdateGauges();
    AnswerPlainText(*exchange, http::kOk, daemon_.metrics_.FormatPrometheus());
  }
  CallerLimits Limits() const override { return {}; }
  bool ShouldCloseConnections() const override { return false; }

 private:
  RoutingDaemon& daemon_;
};

RoutingDaemon::RoutingDaemon(RouterSettings settings, const Formats& formats,
                             const StoreFactory& make_store)
    : settings_(std::move(settings)),
      formats_(formats),
      memory_(std::make_shared<MemoryAccount>(MaxHeldBytes(settings_.max_memory_bytes))),
      pool_(context_, memory_),
      store_(make_store(pool_)),
      store_watcher_(*store_, *this, BootNow, formats_.directory.OperatorPrefix()),
      operator_watch_(*store_, store_watcher_, *this, BootNow),
      registry_(
          *store_, settings_.instance,
          RegisteredDaemon{settings_.peer, settings_.weight, settings_.domain},
          [this](const std::string& text) { log_.Info(text); },
          [this](std::error_code error) { store_watcher_.RecordCallResult(error); }),
      crash_registry_(*store_, crashing_requests_,
                      [this](const std::string& text) { log_.Info(text); }),
      transport_(context_, settings_.peer,
                 [this](const DaemonMessage& message) {
                   try {
                     HandleMessage(message);
                   } catch (const std::exception& error) {
                     HandleUncaughtError("message", error);
                   }
                 }),
      health_checker_(pool_, formats_.health,
                      [this](const EndpointEntry& entry) { ConfirmHealthyEndpoint(entry); }),
      cold_limiter_(settings_.instance, {settings_.cold_rate_factor, settings_.cold_rate_slack}),
      retry_budget_(settings_.retries),
      evacuations_(fleet_, log_, metrics_),
      request_reporter_(request_log_, formats_.requests, metrics_),
      memory_reporter_(*memory_, log_),
      relay_context_{settings_.domain,
                     fleet_,
                     domains_,
                     chooser_,
                     cold_limiter_,
                     cross_domain_,
                     retry_budget_,
                     crashing_requests_,
                     pool_,
                     formats_.requests,
                     *this,
                     *this,
                     request_log_,
                     metrics_,
                     request_reporter_,
                     OwnerAdmission{settings_.instance}},
      timer_(context_),
      signals_(context_, SIGTERM, SIGINT, SIGHUP),
      request_handler_(std::make_unique<RequestHandler>(*this)),
      readiness_handler_(std::make_unique<ReadinessHandler>(*this)),
      metrics_handler_(std::make_unique<MetricsHandler>(*this)) {
  fleet_.SetEvacuationTime(settings_.evacuation_time);
  caller_listener_ =
      std::make_unique<CallerListener>(context_, settings_.callers, *request_handler_,
                                       MaxCallerConnections(settings_.max_descriptors), memory_);
  readiness_listener_ = std::make_unique<CallerListener>(context_, settings_.readiness,
                                                         *readiness_handler_, 0, memory_);
  metrics_listener_ =
      std::make_unique<CallerListener>(context_, settings_.metrics, *metrics_handler_, 0, memory_);
  ReturnLargeBlocks();
  memory_->OnFreed(ReturnFreedMemory);
}

RoutingDaemon::~RoutingDaemon() = default;

void RoutingDaemon::Run() {
  log_.Info("start instance=" + settings_.instance.value() + " domain=" + settings_.domain.value() +
            " callers=" + ToString(settings_.callers));
  AwaitSignal();
  ScheduleTick();
  store_watcher_.Tick(BootNow());
  RunEventLoop();
  log_.Info("stop instance=" + settings_.instance.value());
}

void RoutingDaemon::RunEventLoop() {
  for (;;) {
    try {
      context_.run();
      return;
    } catch (const std::exception& error) {
      HandleUncaughtError("connection", error);
    }
  }
}

void RoutingDaemon::HandleUncaughtError(const char* handler, const std::exception& error) {
  metrics_.IncrementCounter("uncaught_errors_total{handler=\"" + std::string{handler} + "\"}");
  log_.Error("uncaught error handler=" + std::string{handler} + " reason=" + error.what());
}

void RoutingDaemon::AwaitSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int number) {
    if (error) {
      return;
    }
    if (number == SIGHUP) {
      // Nothing to reload: the platform changes only settings that are not used here
      // while a daemon runs.
      log_.Info("reload requested: settings are read only at start");
    } else if (!stop_requested_at_) {
      BeginStop(BootNow());
    }
    AwaitSignal();
  });
}

void RoutingDaemon::UpdateGauges() {
  for (const StoreCallCount& each : store_->CallCounts()) {
    const std::string labels = "{call=\"" + each.call + "\"}";
    metrics_.SetGauge("store_calls_total" + labels, static_cast<double>(each.made));
    metrics_.SetGauge("store_calls_unanswered_total" + labels,
                      static_cast<double>(each.unanswered));
  }
  metrics_.SetGauge("connections_opened_total", static_cast<double>(pool_.opened_connections()));
  metrics_.SetGauge("reported_load_age_seconds", fleet_.ReportedLoadAgeSeconds(BootNow()));
  metrics_.SetGauge("daemons_known", static_cast<double>(relay_context_.daemon_count));
  const Instant now = BootNow();
  const auto cold = std::count_if(fleet_.all().begin(), fleet_.all().end(),
                                  [now](const auto& each) { return each.second.IsCold(now); });
  metrics_.SetGauge("cold_endpoints", static_cast<double>(cold));
  const std::size_t unconfigured = fleet_.CountUnconfigured();
  metrics_.SetGauge("endpoints_listed", static_cast<double>(fleet_.all().size() - unconfigured));
  metrics_.SetGauge("endpoints_of_unconfigured_services", static_cast<double>(unconfigured));
  metrics_.SetGauge("caller_connections",
                    static_cast<double>(caller_listener_->open_connections()));
  metrics_.SetGauge("caller_connections_evicted_total",
                    static_cast<double>(caller_listener_->evicted_connections()));
  memory_reporter_.UpdateGauges(metrics_);
  metrics_.SetGauge("requests_open", static_cast<double>(active_relays_.size()));
  metrics_.SetGauge("watches_for_domain", watches_for_domain_ ? 1 : 0);
  metrics_.SetGauge("store_revision", static_cast<double>(store_watcher_.revision().value));
  metrics_.SetGauge("store_era", static_cast<double>(store_watcher_.revision().era.value));
  metrics_.SetGauge(
      "store_answer_age_seconds",
      std::chrono::duration<double>(BootNow() - store_watcher_.last_answer_at()).count());
  for (const auto& [name, service] : key_services_) {
    metrics_.SetGauge("evacuated_keys_left{service=\"" + name.value() + "\"}",
                      static_cast<double>(service->evacuated_keys_left()));
  }
  if (routes_) {
    metrics_.SetGauge("configuration_version", static_cast<double>(routes_->config().version));
  }
  metrics_.SetGauge("store_reachable", store_watcher_.reachable() ? 1 : 0);
}

void RoutingDaemon::ScheduleTick() {
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    try {
      Tick();
    } catch (const std::exception& uncaught) {
      HandleUncaughtError("tick", uncaught);
    }
    ScheduleTick();
  });
}

void RoutingDaemon::Tick() {
  const Instant now = BootNow();
  LogStall(now);
  last_tick_at_ = now;
  NoteStoreAnswer(now);
  const StoreWatchRole role = ChooseWatchRole(now);
  const bool should_watch = role == StoreWatchRole::kWatcher;
  if (std::exchange(watches_for_domain_, should_watch) != should_watch) {
    log_.Info(should_watch ? "watching the store for the domain"
                           : "following another daemon's store updates");
  }
  store_watcher_.SetWatching(watches_for_domain_ || LeadsAnyService());
  store_watcher_.Tick(now);
  operator_watch_.Tick(role == StoreWatchRole::kStandby, now);
  RemoveMissingEndpoints(now);
  ConfirmEndpoints(now);
  SendStoreUpdates(now);
  registry_.Tick(now);
  crash_registry_.Tick(now);
  if (now >= next_key_tick_at_) {
    next_key_tick_at_ = now + kKeyTickInterval;
    TickKeyServices(now);
    HandOverLeadership(now);
  }
  SendMessages(now);
  RequestMissingUpdates(now);
  LogMissingChange(now);
  UpdateColdLimiter(now);
  if (now >= next_cross_domain_update_at_) {
    next_cross_domain_update_at_ = now + kCrossDomainUpdateInterval;
    cross_domain_.Update(fleet_, domains_, relay_context_.load_age, now);
  }
  const auto relays = active_relays_;
  for (const auto& relay : relays) {
    relay->Tick(now);
  }
  std::erase_if(active_relays_, [](const auto& each) { return each->finished(); });
  if (now >= next_timeout_check_at_) {
    next_timeout_check_at_ = now + kTimeoutCheckInterval;
    caller_listener_->CheckTimeouts(now);
    readiness_listener_->CheckTimeouts(now);
    metrics_listener_->CheckTimeouts(now);
    pool_.CheckTimeouts(now);
    memory_reporter_.LogReleases(now);
  }
  if (stop_requested_at_) {
    ContinueStop(now);
  }
}

void RoutingDaemon::LogStall(Instant now) {
  const Duration since_tick = now - last_tick_at_;
  if (last_tick_at_ != Instant{} && since_tick > kLoggedStall) {
    log_.Warning("event loop stalled ms=" + FormatMilliseconds(since_tick));
  }
}

void RoutingDaemon::TickKeyServices(Instant now) {
  StoreView view;
  view.confirmed_at = store_watcher_.confirmed_at();
  view.reachable = store_watcher_.reachable();
  view.reachable_since = store_watcher_.reachable_since();
  for (const auto& [id, daemon] : registry_.daemons()) {
    view.daemons[id] = daemon.weight;
  }
  for (const auto& [id, peer] : peer_states_) {
    const bool heard = IsHeard(peer, now) && !peer.store_unreachable;
    if (heard) {
      view.heard_peers.insert(id);
    }
  }
  for (const auto& [name, service] : key_services_) {
    service->Tick(fleet_, view, now);
  }
}

void RoutingDaemon::StartRequest(std::shared_ptr<CallerExchange> exchange) {
  const Instant now = BootNow();
  auto relay = std::make_shared<RequestRelay>(relay_context_, std::move(exchange), routes_, now);
  const bool too_late = stop_requested_at_ && now - *stop_requested_at_ >= kNewRequestGrace;
  if (too_late) {
    relay->RefuseWhileStopping(now);
  } else {
    relay->Start(now);
  }
  if (!relay->finished()) {
    active_relays_.push_back(std::move(relay));
  }
}

bool RoutingDaemon::IsReady() const {
  if (stop_requested_at_ || !routes_ || !store_watcher_.loaded()) {
    return false;
  }
  return std::all_of(key_services_.begin(), key_services_.end(),
                     [](const auto& each) { return each.second->routes().known(); });
}

std::optional<InstanceId> RoutingDaemon::OwnerOf(const ServiceName& service, KeyNumber key,
                                                 Instant now) const {
  const auto found = key_services_.find(service);
  return found == key_services_.end() ? std::nullopt : found->second->routes().OwnerOf(key, now);
}

bool RoutingDaemon::IsOwnerExpectedSoon(const ServiceName& service, KeyNumber key,
                                        Instant now) const {
  const auto found = key_services_.find(service);
  return found != key_services_.end() && !found->second->unserved().Contains(key, now);
}

void RoutingDaemon::ReportOwnerWaitTimeout(const ServiceName& service, KeyNumber key, Instant now) {
  const auto found = key_services_.find(service);
  if (found != key_services_.end()) {
    found->second->unserved().Add(key, now);
  }
}

void RoutingDaemon::CountRequest(const ServiceName& service, KeyNumber key) {
  const auto found = key_services_.find(service);
  if (found != key_services_.end()) {
    found->second->CountRequest(key);
  }
}

void RoutingDaemon::ReportNotOwner(const ServiceName& service, KeyNumber key,
                                   const InstanceId& endpoint) {
  const auto found = key_services_.find(service);
  if (found != key_services_.end()) {
    found->second->HandleNotOwnerReport(key, endpoint, BootNow());
    not_owner_reports_.push_back({service, key, endpoint});
  }
}

void RoutingDaemon::BeginStop(Instant now) {
  log_.Info("stop requested");
  stop_requested_at_ = now;
  for (const auto& [name, service] : key_services_) {
    service->StepDown();
  }
}

void RoutingDaemon::ContinueStop(Instant now) {
  const Duration elapsed = now - *stop_requested_at_;
  if (elapsed < kNewRequestGrace) {
    return;
  }
  if (elapsed > settings_.stop_timeout - kLastAnswerMargin) {
    caller_listener_->StopAccepting();
    GiveUpOpenRequests(now);
  }
  caller_listener_->CloseConnectionsWhenIdle(now);
  const bool out_of_time = elapsed > settings_.stop_timeout - kStopMargin;
  if (caller_listener_->open_connections() > 0 && !out_of_time) {
    return;
  }
  caller_listener_->StopAccepting();
  registry_.Deregister();
  context_.stop();
}

void RoutingDaemon::GiveUpOpenRequests(Instant now) {
  const auto relays = active_relays_;
  for (const auto& relay : relays) {
    relay->GiveUpToStop(now);
  }
}

}  // namespace sycamorestall

#include "router/routing_daemon.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "clock/system_clock.h"
#include "http/status.h"
#include "net/http_format.h"

namespace sycamorestall {

namespace {

constexpr std::chrono::milliseconds kTick{20};
constexpr std::chrono::milliseconds kKeyTick{40};
constexpr std::chrono::milliseconds kTimeoutCheck{100};
// After a stop begins, callers' new connections still come for so long.
constexpr std::chrono::milliseconds kStopNotice{2300};
constexpr std::chrono::milliseconds kStopMargin{500};

// Answers without a route: readiness and metrics.
void AnswerPlain(CallerExchange& exchange, unsigned status, std::string text) {
  OutgoingMessage message;
  message.head = StatusLine(status);
  AppendHeader(message.head, "Content-Type", "text/plain");
  AppendHeader(message.head, "Content-Length", std::to_string(text.size()));
  message.body = std::make_shared<const std::string>(std::move(text));
  exchange.Answer(std::move(message));
}

}  // namespace

// Takes callers' requests.
class RoutingDaemon::Callers : public CallerHandler {
 public:
  explicit Callers(RoutingDaemon& daemon) : daemon_(daemon) {}

  void HandleRequest(std::shared_ptr<CallerExchange> exchange) override {
    daemon_.HandleRequest(std::move(exchange));
  }
  CallerLimits Limits() const override {
    return daemon_.routes_ ? daemon_.routes_->config().limits : CallerLimits{};
  }
  bool ShouldCloseConnections() const override { return daemon_.stopping_since_.has_value(); }

 private:
  RoutingDaemon& daemon_;
};

// Says whether the daemon can take requests.
class RoutingDaemon::Readiness : public CallerHandler {
 public:
  explicit Readiness(RoutingDaemon& daemon) : daemon_(daemon) {}

  void HandleRequest(std::shared_ptr<CallerExchange> exchange) override {
    AnswerPlain(*exchange, daemon_.Ready() ? http::kOk : http::kUnavailable, "");
  }
  CallerLimits Limits() const override { return {}; }
  bool ShouldCloseConnections() const override { return false; }

 private:
  RoutingDaemon& daemon_;
};

// Shows the daemon's figures.
class RoutingDaemon::MetricsPage : public CallerHandler {
 public:
  explicit MetricsPage(RoutingDaemon& daemon) : daemon_(daemon) {}

  void HandleRequest(std::shared_ptr<CallerExchange> exchange) override {
    daemon_.FillMetrics();
    AnswerPlain(*exchange, http::kOk, daemon_.metrics_.FormatPrometheus());
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
      pool_(context_),
      store_(make_store(pool_)),
      mirror_(*store_, *this, BootNow),
      registry_(
          *store_, settings_.instance, RegisteredDaemon{settings_.peer, settings_.weight},
          [this](const std::string& text) { log_.Info(text); },
          [this](std::error_code error) { mirror_.RecordCallResult(error); }),
      link_(context_, settings_.peer,
            [this](const DaemonMessage& message) { TakeMessage(message); }),
      retries_(settings_.retries),
      relay_context_{settings_.domain,  fleet_, domains_,     chooser_, retries_, pool_,
                     formats_.requests, *this,  request_log_, metrics_},
      timer_(context_),
      signals_(context_, SIGTERM, SIGINT, SIGHUP),
      callers_(std::make_unique<Callers>(*this)),
      readiness_(std::make_unique<Readiness>(*this)),
      metrics_page_(std::make_unique<MetricsPage>(*this)) {
  caller_listener_ = std::make_unique<CallerListener>(context_, settings_.callers, *callers_);
  readiness_listener_ =
      std::make_unique<CallerListener>(context_, settings_.readiness, *readiness_);
  metrics_listener_ = std::make_unique<CallerListener>(context_, settings_.metrics, *metrics_page_);
}

RoutingDaemon::~RoutingDaemon() = default;

void RoutingDaemon::Run() {
  log_.Info("start instance=" + settings_.instance.value() + " domain=" + settings_.domain.value() +
            " callers=" + ToString(settings_.callers));
  AwaitSignal();
  ScheduleTick();
  mirror_.Tick(BootNow());
  context_.run();
  log_.Info("stop instance=" + settings_.instance.value());
}

void RoutingDaemon::AwaitSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int number) {
    if (error) {
      return;
    }
    if (number == SIGHUP) {
      // The platform writes the same settings for a daemon's whole life but for
      // fields that are not used here.
      log_.Info("reload asked for: settings are read at start");
    } else if (!stopping_since_) {
      BeginStop(BootNow());
    }
    AwaitSignal();
  });
}

void RoutingDaemon::FillMetrics() {
  for (const StoreCallCount& each : store_->CallCounts()) {
    const std::string label = "{call=\"" + each.call + "\"}";
    metrics_.SetGauge("store_calls_total" + label, static_cast<double>(each.made));
    metrics_.SetGauge("store_calls_unanswered_total" + label, static_cast<double>(each.unanswered));
  }
  metrics_.SetGauge("connections_opened_total", static_cast<double>(pool_.opened_connections()));
  metrics_.SetGauge("daemons_known", static_cast<double>(relay_context_.daemons));
  metrics_.SetGauge("endpoints_listed", static_cast<double>(fleet_.all().size()));
  metrics_.SetGauge("requests_open", static_cast<double>(relays_.size()));
  metrics_.SetGauge("watches_for_domain", watches_for_domain_ ? 1 : 0);
  metrics_.SetGauge("store_reachable", mirror_.reachable() ? 1 : 0);
}

void RoutingDaemon::ScheduleTick() {
  timer_.expires_after(kTick);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Tick();
      ScheduleTick();
    }
  });
}

void RoutingDaemon::Tick() {
  const Instant now = BootNow();
  const bool watches = WatchesForDomain(now);
  if (std::exchange(watches_for_domain_, watches) != watches) {
    log_.Info(watches ? "store watched for the domain" : "store followed by news of another");
  }
  mirror_.SetWatching(watches_for_domain_ || LeadsKeys());
  mirror_.Tick(now);
  SendNews(now);
  registry_.Tick(now);
  if (now >= next_key_tick_) {
    next_key_tick_ = now + kKeyTick;
    TickKeys(now);
    HandOverLeads(now);
  }
  Gossip(now);
  const auto relays = relays_;
  for (const auto& relay : relays) {
    relay->Tick(now);
  }
  std::erase_if(relays_, [](const auto& each) { return each->finished(); });
  if (now >= next_timeout_check_) {
    next_timeout_check_ = now + kTimeoutCheck;
    caller_listener_->CheckTimeouts(now);
    readiness_listener_->CheckTimeouts(now);
    metrics_listener_->CheckTimeouts(now);
    pool_.CheckTimeouts(now);
  }
  if (stopping_since_) {
    ContinueStop(now);
  }
}

void RoutingDaemon::TickKeys(Instant now) {
  StoreView view;
  view.confirmed_at = mirror_.confirmed_at();
  view.reachable = mirror_.reachable();
  view.reachable_since = mirror_.reachable_since();
  for (const auto& [id, daemon] : registry_.daemons()) {
    view.daemons[id] = daemon.weight;
  }
  for (const auto& [id, peer] : peer_loads_) {
    const bool heard = now - peer.heard_at < kPeerLoadLife && !peer.without_store;
    if (heard && view.daemons.contains(id)) {
      view.heard.insert(id);
    }
  }
  for (const auto& [name, service] : keys_) {
    service->Tick(fleet_, view, now);
  }
}

void RoutingDaemon::HandleRequest(std::shared_ptr<CallerExchange> exchange) {
  const Instant now = BootNow();
  auto relay = std::make_shared<RequestRelay>(relay_context_, std::move(exchange), routes_, now);
  relay->Begin(now);
  if (!relay->finished()) {
    relays_.push_back(std::move(relay));
  }
}

bool RoutingDaemon::Ready() const {
  if (stopping_since_ || !routes_ || !mirror_.loaded()) {
    return false;
  }
  return std::all_of(keys_.begin(), keys_.end(),
                     [](const auto& each) { return each.second->routes().known(); });
}

std::optional<InstanceId> RoutingDaemon::OwnerOf(const ServiceName& service, KeyNumber key,
                                                 Instant now) const {
  const auto found = keys_.find(service);
  return found == keys_.end() ? std::nullopt : found->second->routes().OwnerOf(key, now);
}

bool RoutingDaemon::IsWorthWaiting(const ServiceName& service, KeyNumber key, Instant now) const {
  const auto found = keys_.find(service);
  return found != keys_.end() && !found->second->unserved().Contains(key, now);
}

void RoutingDaemon::ReportUnserved(const ServiceName& service, KeyNumber key, Instant now) {
  const auto found = keys_.find(service);
  if (found != keys_.end()) {
    found->second->unserved().Add(key, now);
  }
}

void RoutingDaemon::CountRequest(const ServiceName& service, KeyNumber key) {
  const auto found = keys_.find(service);
  if (found != keys_.end()) {
    found->second->CountRequest(key);
  }
}

void RoutingDaemon::ReportDenial(const ServiceName& service, KeyNumber key,
                                 const InstanceId& endpoint) {
  const auto found = keys_.find(service);
  if (found != keys_.end()) {
    found->second->TakeDenial(key, endpoint, BootNow());
    denials_.push_back({service, key, endpoint});
  }
}

void RoutingDaemon::BeginStop(Instant now) {
  log_.Info("stop asked for");
  stopping_since_ = now;
  for (const auto& [name, service] : keys_) {
    service->StepDown();
  }
}

void RoutingDaemon::ContinueStop(Instant now) {
  const Duration elapsed = now - *stopping_since_;
  if (elapsed < kStopNotice) {
    return;
  }
  caller_listener_->CloseConnectionsWhenIdle();
  const bool over = elapsed > settings_.stop_timeout - kStopMargin;
  if (caller_listener_->open_requests() > 0 && !over) {
    return;
  }
  caller_listener_->StopAccepting();
  registry_.Leave();
  context_.stop();
}

}  // namespace sycamorestall

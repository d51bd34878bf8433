#include "router/daemon_registry.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "clock/system_clock.h"

namespace sycamorestall {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kTimeToLive{2500};
constexpr std::chrono::milliseconds kRenewInterval{800};
constexpr std::chrono::milliseconds kRetry{400};

}  // namespace

DaemonRegistry::DaemonRegistry(Store& store, InstanceId id, RegisteredDaemon self, Log log,
                               CallObserver observe)
    : store_(store),
      id_(std::move(id)),
      self_(std::move(self)),
      log_(std::move(log)),
      observe_(std::move(observe)) {}

std::string DaemonRegistry::OwnKey() const { return std::string{kDaemonPrefix} + id_.value(); }

void DaemonRegistry::Tick(Instant now) {
  if (now < next_call_) {
    return;
  }
  if (phase_ == Phase::kNone) {
    Open(now);
  } else if (phase_ == Phase::kHeld) {
    Renew(now);
  }
}

void DaemonRegistry::Open(Instant now) {
  phase_ = Phase::kOpening;
  next_call_ = now + kRetry;
  store_.OpenLease(kTimeToLive, [this](std::error_code error, LeaseId lease) {
    observe_(error);
    if (phase_ != Phase::kOpening) {
      return;
    }
    if (error) {
      phase_ = Phase::kNone;
      next_call_ = BootNow() + kRetry;
      return;
    }
    lease_ = lease;
    Write();
  });
}

void DaemonRegistry::Write() {
  phase_ = Phase::kWriting;
  StoreTransaction change;
  const json value{
      {"host", self_.address.host}, {"port", self_.address.port}, {"weight", self_.weight}};
  change.puts.push_back({OwnKey(), value.dump(), lease_});
  store_.Commit(change, [this](std::error_code error, Revision /*revision*/) {
    observe_(error);
    if (phase_ != Phase::kWriting) {
      return;
    }
    if (error) {
      Lose("registration failed: " + error.message());
      return;
    }
    phase_ = Phase::kHeld;
    next_call_ = BootNow() + kRenewInterval;
    daemons_[id_] = self_;
    log_("registered lease=" + std::to_string(lease_.value));
  });
}

void DaemonRegistry::Renew(Instant now) {
  phase_ = Phase::kRenewing;
  next_call_ = now + kRenewInterval;
  store_.RenewLease(lease_, [this](std::error_code error, LeaseId /*lease*/) {
    observe_(error);
    if (phase_ != Phase::kRenewing) {
      return;
    }
    phase_ = Phase::kHeld;
    if (error == StoreError::kLeaseGone) {
      Lose("lease ended");
    }
  });
}

void DaemonRegistry::Lose(const std::string& reason) {
  log_("registration lost: " + reason);
  phase_ = Phase::kNone;
  next_call_ = BootNow() + kRetry;
}

void DaemonRegistry::Leave() {
  if (phase_ == Phase::kHeld || phase_ == Phase::kRenewing || phase_ == Phase::kWriting) {
    store_.EndLease(lease_);
  }
  phase_ = Phase::kLeft;
}

void DaemonRegistry::Put(const StoreItem& item) {
  try {
    const json value = json::parse(item.value);
    daemons_[InstanceId{item.key.substr(kDaemonPrefix.size())}] = {
        {value.at("host").get<std::string>(), value.at("port").get<std::uint16_t>()},
        value.at("weight").get<double>()};
  } catch (const json::exception& error) {
    log_("entry not understood key=" + item.key + " reason=" + error.what());
  }
}

void DaemonRegistry::Remove(const std::string& key) {
  daemons_.erase(InstanceId{key.substr(kDaemonPrefix.size())});
  if (key == OwnKey() && phase_ == Phase::kHeld) {
    Lose("entry removed");
  }
}

}  // namespace sycamorestall

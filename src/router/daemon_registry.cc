#include "router/daemon_registry.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "clock/system_clock.h"
#include "config/json_field.h"

namespace sycamorestall {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kLeaseTimeToLive{2500};
constexpr std::chrono::milliseconds kRenewInterval{800};
constexpr std::chrono::milliseconds kRetryDelay{400};
constexpr std::size_t kMaxEntryBytes = 4096;
constexpr std::size_t kMaxEntryDepth = 4;

}  // namespace

DaemonRegistry::DaemonRegistry(Store& store, InstanceId id, RegisteredDaemon self, LogWriter log,
                               StoreCallObserver on_store_call)
    : store_(store),
      id_(std::move(id)),
      self_(std::move(self)),
      log_(std::move(log)),
      on_store_call_(std::move(on_store_call)) {}

std::string DaemonRegistry::OwnEntryKey() const {
  return std::string{kDaemonKeyPrefix} + id_.value();
}

void DaemonRegistry::Tick(Instant now) {
  if (now < next_store_call_at_) {
    return;
  }
  if (phase_ == Phase::kUnregistered) {
    RequestLease(now);
  } else if (phase_ == Phase::kRegistered) {
    RenewLease(now);
  }
}

void DaemonRegistry::RequestLease(Instant now) {
  phase_ = Phase::kRequestingLease;
  next_store_call_at_ = now + kRetryDelay;
  store_.OpenLease(kLeaseTimeToLive, [this](std::error_code error, LeaseId lease) {
    on_store_call_(error);
    if (phase_ != Phase::kRequestingLease) {
      return;
    }
    if (error) {
      phase_ = Phase::kUnregistered;
      next_store_call_at_ = BootNow() + kRetryDelay;
      return;
    }
    lease_ = lease;
    WriteEntry();
  });
}

void DaemonRegistry::WriteEntry() {
  phase_ = Phase::kWritingEntry;
  StoreTransaction transaction;
  const json value{{"host", self_.address.host},
                   {"port", self_.address.port},
                   {"weight", self_.weight},
                   {"domain", self_.domain.value()}};
  transaction.puts.push_back({OwnEntryKey(), value.dump(), lease_});
  store_.Commit(transaction, [this](std::error_code error, Revision /*revision*/) {
    on_store_call_(error);
    if (phase_ != Phase::kWritingEntry) {
      return;
    }
    if (error) {
      HandleRegistrationLost("registration failed: " + error.message());
      return;
    }
    phase_ = Phase::kRegistered;
    next_store_call_at_ = BootNow() + kRenewInterval;
    daemons_[id_] = self_;
    log_("registered lease=" + std::to_string(lease_.value));
  });
}

void DaemonRegistry::RenewLease(Instant now) {
  phase_ = Phase::kRenewingLease;
  next_store_call_at_ = now + kRenewInterval;
  store_.RenewLease(lease_, [this](std::error_code error, LeaseId /*lease*/) {
    on_store_call_(error);
    if (phase_ != Phase::kRenewingLease) {
      return;
    }
    phase_ = Phase::kRegistered;
    if (error == StoreError::kLeaseGone) {
      HandleRegistrationLost("lease ended");
    }
  });
}

void DaemonRegistry::HandleRegistrationLost(const std::string& reason) {
  log_("registration lost: " + reason);
  phase_ = Phase::kUnregistered;
  next_store_call_at_ = BootNow() + kRetryDelay;
}

void DaemonRegistry::Deregister() {
  if (phase_ == Phase::kRegistered || phase_ == Phase::kRenewingLease ||
      phase_ == Phase::kWritingEntry) {
    store_.EndLease(lease_);
  }
  phase_ = Phase::kDeregistered;
}

void DaemonRegistry::AddEntry(const StoreItem& item) {
  try {
    const json value = ParseBoundedJson(item.value, kMaxEntryBytes, kMaxEntryDepth);
    const auto port =
        ParseWholeNumber(value.at("port"), 1, std::numeric_limits<std::uint16_t>::max());
    daemons_[InstanceId{item.key.substr(kDaemonKeyPrefix.size())}] = {
        {value.at("host").get<std::string>(), static_cast<std::uint16_t>(port)},
        value.at("weight").get<double>(),
        // Earlier versions do not write it.
        DomainName{value.value("domain", std::string{})}};
  } catch (const std::exception& error) {
    log_("malformed daemon entry key=" + item.key + " reason=" + error.what());
  }
}

void DaemonRegistry::RemoveEntry(const std::string& key) {
  daemons_.erase(InstanceId{key.substr(kDaemonKeyPrefix.size())});
  // A write under an earlier lease may have come late and tied the entry to that lease, so that the
  // entry goes while the present lease goes on.
  const bool is_registered = phase_ == Phase::kRegistered || phase_ == Phase::kRenewingLease;
  if (key == OwnEntryKey() && is_registered) {
    HandleRegistrationLost("entry removed");
  }
}

}  // namespace sycamorestall

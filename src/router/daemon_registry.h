#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/network_address.h"
#include "store/store.h"

namespace sycamorestall {

// Prefix of the store keys under which daemons register themselves with a lease.
inline constexpr std::string_view kDaemonKeyPrefix = "sycamorestall/daemons/";

// A daemon's entry in the registry.
struct RegisteredDaemon {
  // The address for datagrams from other daemons.
  NetworkAddress address;
  // Capacity relative to other daemons.
  double weight = 1;
  DomainName domain;

  friend bool operator==(const RegisteredDaemon&, const RegisteredDaemon&) = default;
};

// Registers this daemon in the store under a lease and tracks the registered daemons.
class DaemonRegistry {
 public:
  using LogWriter = std::function<void(const std::string&)>;
  // Called with the result of each store call.
  using StoreCallObserver = std::function<void(std::error_code)>;

  DaemonRegistry(Store& store, InstanceId id, RegisteredDaemon self, LogWriter log,
                 StoreCallObserver on_store_call);

  // Registers this daemon or renews its lease if due.
  void Tick(Instant now);
  // Ends the lease, which removes the entry; the daemon does not register again.
  void Deregister();

  // Apply changes of the store's daemon entries.
  void AddEntry(const StoreItem& item);
  void RemoveEntry(const std::string& key);

  // All registered daemons, this one included once it is registered.
  const std::map<InstanceId, RegisteredDaemon>& daemons() const { return daemons_; }

 private:
  enum class Phase {
    kUnregistered,
    kRequestingLease,
    kWritingEntry,
    kRegistered,
    kRenewingLease,
    kDeregistered
  };

  void RequestLease(Instant now);
  void WriteEntry();
  void RenewLease(Instant now);
  void HandleRegistrationLost(const std::string& reason);
  std::string OwnEntryKey() const;

  Store& store_;
  const InstanceId id_;
  const RegisteredDaemon self_;
  const LogWriter log_;
  const StoreCallObserver on_store_call_;
  Phase phase_ = Phase::kUnregistered;
  LeaseId lease_;
  Instant next_store_call_at_;
  std::map<InstanceId, RegisteredDaemon> daemons_;
};

}  // namespace sycamorestall

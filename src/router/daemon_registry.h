#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/network_address.h"
#include "store/store.h"

namespace sycamorestall {

// Where a daemon registers itself, under a lease.
inline constexpr std::string_view kDaemonKeyPrefix = "sycamorestall/daemons/";

// What a daemon says of itself.
struct RegisteredDaemon {
  // Where datagrams reach it.
  NetworkAddress address;
  // How much it can do, against other daemons.
  double weight = 1;

  friend bool operator==(const RegisteredDaemon&, const RegisteredDaemon&) = default;
};

// Keeps this daemon's entry in the store, so that others find it, and knows the
// entries of the others.
class DaemonRegistry {
 public:
  using LogWriter = std::function<void(const std::string&)>;
  // Hears how each call to the store ended.
  using StoreCallObserver = std::function<void(std::error_code)>;

  DaemonRegistry(Store& store, InstanceId id, RegisteredDaemon self, LogWriter log,
                 StoreCallObserver on_store_call);

  // Takes up or renews the lease if that is due.
  void Tick(Instant now);
  // Ends the lease.
  void Deregister();

  // The store's entries changed.
  void AddEntry(const StoreItem& item);
  void RemoveEntry(const std::string& key);
  void ClearEntries() { daemons_.clear(); }

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
  void KeepLeaseAlive(Instant now);
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

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/network_address.h"
#include "store/store.h"

namespace sycamorestall {

// Where a daemon registers itself, under a lease.
inline constexpr std::string_view kDaemonPrefix = "sycamorestall/daemons/";

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
  using Log = std::function<void(const std::string&)>;
  // Hears how each call to the store ended.
  using CallObserver = std::function<void(std::error_code)>;

  DaemonRegistry(Store& store, InstanceId id, RegisteredDaemon self, Log log, CallObserver observe);

  // Takes up or renews the lease if that is due.
  void Tick(Instant now);
  // Ends the lease.
  void Leave();

  // The store's entries changed.
  void Put(const StoreItem& item);
  void Remove(const std::string& key);
  void Clear() { daemons_.clear(); }

  // All registered daemons, this one included once it is registered.
  const std::map<InstanceId, RegisteredDaemon>& daemons() const { return daemons_; }

 private:
  enum class Phase { kNone, kOpening, kWriting, kHeld, kRenewing, kLeft };

  void Open(Instant now);
  void Write();
  void Renew(Instant now);
  void Lose(const std::string& reason);
  std::string OwnKey() const;

  Store& store_;
  const InstanceId id_;
  const RegisteredDaemon self_;
  const Log log_;
  const CallObserver observe_;
  Phase phase_ = Phase::kNone;
  LeaseId lease_;
  Instant next_call_;
  std::map<InstanceId, RegisteredDaemon> daemons_;
};

}  // namespace sycamorestall

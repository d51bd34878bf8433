#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net/caller_listener.h"
#include "store/store.h"

namespace sycamorestall::fakes {

// How a stand-in store treats calls while something is wrong with it.
enum class StoreTrouble {
  kNone,
  // Answers 503 and does nothing.
  kBusy,
  // Answers nothing and does nothing.
  kSilent,
  // Makes changes and does not answer them.
  kAnswersLost,
};

// A stand-in for the platform's key-value store, spoken to over HTTP: items with
// revisions, leases, watches and changes under conditions.
class KeyValueStore : public CallerHandler {
 public:
  KeyValueStore();
  ~KeyValueStore() override;

  NetworkAddress address() const { return address_; }
  // Writes or removes a key as the operator or an endpoint does.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // The value of a key; empty when it is absent.
  std::string Value(const std::string& key);
  // Keys that begin with the prefix.
  std::vector<std::string> Keys(const std::string& prefix);
  void SetTrouble(StoreTrouble trouble);
  // Forgets what has changed, so that watches have to read anew.
  void DropHistory();

  void HandleRequest(std::shared_ptr<CallerExchange> exchange) override;
  CallerLimits Limits() const override;
  bool ShouldCloseConnections() const override { return false; }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Instant until;
    std::chrono::milliseconds time_to_live{};
  };
  struct Watch {
    std::shared_ptr<CallerExchange> exchange;
    std::uint64_t after = 0;
    Instant until;
  };

  // All of these are called with the mutex held.
  void Write(const std::string& key, const std::string& value, std::uint64_t lease);
  void Erase(const std::string& key);
  void Range(CallerExchange& exchange);
  void BeginWatch(std::shared_ptr<CallerExchange> exchange, const std::string& target);
  bool AnswerWatch(const Watch& watch, Instant now);
  void Change(CallerExchange& exchange);
  void OpenLease(CallerExchange& exchange);
  void KeepLease(CallerExchange& exchange, const std::string& target);
  void Tick();
  void Run();

  std::mutex mutex_;
  boost::asio::io_context context_{1};
  NetworkAddress address_;
  std::unique_ptr<CallerListener> listener_;
  std::uint64_t revision_ = 1;
  std::uint64_t oldest_known_ = 1;
  std::uint64_t next_lease_ = 1;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<StoreEvent> history_;
  std::vector<Watch> watches_;
  StoreTrouble trouble_ = StoreTrouble::kNone;
  // Exchanges that get no answer are kept, so that their connections stand.
  std::vector<std::shared_ptr<CallerExchange>> unanswered_;
  bool ending_ = false;
  std::thread thread_;
};

}  // namespace sycamorestall::fakes

#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <thread>
#include <vector>

#include "net/caller_listener.h"
#include "store/store.h"

namespace sycamorestall::fakes {

// Fault of a fake store.
enum class StoreFault {
  kNone,
  // Answers 503 without executing the call.
  kBusy,
  // Neither executes nor answers calls.
  kSilent,
  // Executes transactions but does not answer them.
  kAnswersLost,
};

// Fake of the platform's key-value store over HTTP: items with revisions, leases, watches
// and conditional transactions.
class KeyValueStore : public CallerHandler {
 public:
  KeyValueStore();
  ~KeyValueStore() override;

  NetworkAddress address() const { return address_; }
  // Writes or removes a key, as the operator or an endpoint does.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Returns the value of a key; empty if it is absent.
  std::string Value(const std::string& key);
  // Returns the keys that begin with the prefix.
  std::vector<std::string> KeysWithPrefix(const std::string& prefix);
  void SetFault(StoreFault fault);
  // Changes the values that daemons write, by key, on their way into the store.
  using WriteFilter = std::function<std::string(const std::string& key, std::string value)>;
  void SetWriteFilter(WriteFilter filter);
  // Discards the history of changes; watches from older revisions get 410 and must read
  // the items again.
  void CompactHistory();
  // Keeps a copy of the contents, to which the store can go back.
  void SaveCopy();
  // Goes back to the copy and begins a new era: later changes, all leases and their keys are gone,
  // and the revisions since are given out again.
  void RestoreCopy();
  // Leases that were opened and have neither ended nor been lost.
  std::size_t LeaseCount();

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
    std::string prefix;
    std::uint64_t after = 0;
    Instant until;
  };

  // What a copy of the store holds.
  struct Copy {
    std::uint64_t revision = 1;
    std::uint64_t next_lease = 1;
    std::map<std::string, Item> items;
    std::deque<StoreEvent> history;
  };

  // All but RunEventLoop are called with the mutex held.
  void Answer(CallerExchange& exchange, unsigned status, const nlohmann::json& body);
  void WriteItem(const std::string& key, const std::string& value, std::uint64_t lease);
  void EraseItem(const std::string& key);
  void HandleRange(CallerExchange& exchange);
  void HandleWatch(std::shared_ptr<CallerExchange> exchange, const std::string& target);
  bool AnswerWatchIfDue(const Watch& watch, Instant now);
  void HandleTransaction(CallerExchange& exchange);
  void HandleLeaseOpen(CallerExchange& exchange);
  void HandleLeaseRenewal(CallerExchange& exchange, const std::string& target);
  void ExpireLeasesAndAnswerWatches();
  void RunEventLoop();

  std::mutex mutex_;
  boost::asio::io_context context_{1};
  NetworkAddress address_;
  std::unique_ptr<CallerListener> listener_;
  std::uint64_t era_ = 1;
  std::uint64_t revision_ = 1;
  std::uint64_t oldest_watchable_revision_ = 1;
  std::uint64_t next_lease_ = 1;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<StoreEvent> history_;
  std::vector<Watch> watches_;
  Copy copy_;
  StoreFault fault_ = StoreFault::kNone;
  WriteFilter write_filter_;
  // Exchanges without an answer, kept so that their connections stay open.
  std::vector<std::shared_ptr<CallerExchange>> unanswered_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace sycamorestall::fakes

#include "router/daemon_registry.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <utility>

#include "clock/system_clock.h"
#include "store/scripted_store.h"

using namespace sycamorestall;           // NOLINT
using namespace sycamorestall::testing;  // NOLINT
using std::chrono::seconds;

namespace {

const InstanceId kSelf{"d0"};

// A store that grants leases and accepts writes at once, and answers renewals when told to.
class LeaseStore : public ScriptedStore {
 public:
  void OpenLease(std::chrono::milliseconds /*time_to_live*/, LeaseCallback callback) override {
    callback({}, {++last_lease_});
  }
  void Commit(const StoreTransaction& /*transaction*/, CommitCallback callback) override {
    ++writes_;
    callback({}, Revision{writes_});
  }
  void RenewLease(LeaseId lease, LeaseCallback callback) override {
    renewal_ = [lease, callback = std::move(callback)] { callback({}, lease); };
  }

  void AnswerRenewal() { std::exchange(renewal_, nullptr)(); }
  std::uint64_t writes() const { return writes_; }

 private:
  std::uint64_t last_lease_ = 0;
  std::uint64_t writes_ = 0;
  std::function<void()> renewal_;
};

}  // namespace

// Guards against a daemon that stays unregistered after a write under an earlier lease came late.
TEST_CASE("a daemon registers again when its entry goes while its lease lives") {
  struct Row {
    std::string name;
    bool renewal_is_running;
  };
  const Row rows[] = {{"between two renewals", false}, {"during a renewal", true}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    LeaseStore store;
    DaemonRegistry registry{store, kSelf, {}, [](const std::string&) {}, [](std::error_code) {}};
    const Instant now = BootNow();
    registry.Tick(now);
    REQUIRE(store.writes() == 1);
    if (row.renewal_is_running) {
      registry.Tick(now + seconds{2});
    }
    registry.RemoveEntry(std::string{kDaemonKeyPrefix} + kSelf.value());
    if (row.renewal_is_running) {
      store.AnswerRenewal();
    }
    registry.Tick(now + seconds{4});
    CHECK(store.writes() == 2);
  }
}

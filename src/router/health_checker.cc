#include "router/health_checker.h"

#include <chrono>
#include <utility>

namespace sycamorestall {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{400};
// Also the time between two checks of an endpoint.
constexpr std::chrono::milliseconds kCheckTimeout{500};

std::string ConnectionName(const InstanceId& id) { return "health/" + id.value(); }

}  // namespace

void HealthChecker::Check(const EndpointEntry& entry, const std::string& path, Instant now) {
  const auto next = next_check_at_.find(entry.id);
  if (next != next_check_at_.end() && now < next->second) {
    return;
  }
  std::erase_if(next_check_at_, [now](const auto& each) { return now >= each.second; });
  next_check_at_[entry.id] = now + kCheckTimeout;
  OutgoingCall call;
  call.message = format_.FormatCheck(path, entry.id);
  call.connect_timeout = kConnectTimeout;
  call.deadline = now + kCheckTimeout;
  pool_.Call(ConnectionName(entry.id), entry.address, std::move(call), now,
             [this, entry](const CallResult& result) { HandleResult(entry, result); });
}

void HealthChecker::HandleResult(const EndpointEntry& entry, const CallResult& result) {
  pool_.CloseIdleConnections(ConnectionName(entry.id));
  if (result.outcome == CallOutcome::kAnswered && format_.IsHealthy(result.answer, entry.id)) {
    on_healthy_(entry);
  }
}

}  // namespace sycamorestall

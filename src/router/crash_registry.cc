#include "router/crash_registry.h"

#include <algorithm>
#include <charconv>
#include <exception>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "clock/system_clock.h"
#include "config/json_field.h"

namespace sycamorestall {

namespace {

using nlohmann::json;

// The store grants no longer leases.
constexpr std::chrono::minutes kEntryTimeToLive{10};
constexpr std::chrono::milliseconds kRetryDelay{1000};
constexpr std::size_t kMaxEntryBytes = std::size_t{16} * 1024;
constexpr std::size_t kMaxEntryDepth = 4;
constexpr std::int64_t kMaxIncarnation = std::numeric_limits<std::int64_t>::max();

std::string KeyOf(RequestFingerprint request) {
  return std::string{kCrashingKeyPrefix} + std::to_string(request.value);
}

RequestFingerprint ParseKey(const std::string& key) {
  RequestFingerprint request;
  const char* end = key.data() + key.size();
  const auto parsed = std::from_chars(key.data() + kCrashingKeyPrefix.size(), end, request.value);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    throw std::invalid_argument("no fingerprint");
  }
  return request;
}

std::string FormatRuns(const std::vector<EndpointRun>& runs) {
  json rows = json::array();
  for (const EndpointRun& each : runs) {
    rows.push_back({each.endpoint.value(), each.incarnation.value});
  }
  return json{{"runs", std::move(rows)}}.dump();
}

EndpointRun ParseRun(const json& row) {
  const std::int64_t incarnation = ParseWholeNumber(row.at(1), 0, kMaxIncarnation);
  return {InstanceId{row.at(0).get<std::string>()}, {static_cast<std::uint64_t>(incarnation)}};
}

}  // namespace

void CrashRegistry::Tick(Instant now) {
  if (writing_ || now < next_write_at_) {
    return;
  }
  const std::vector<RequestFingerprint> blocked = requests_.BlockedByCrashesSeenHere(now);
  const auto missing = std::find_if(blocked.begin(), blocked.end(),
                                    [this](const auto& each) { return !stored_.contains(each); });
  if (missing == blocked.end()) {
    return;
  }
  writing_ = true;
  store_.OpenLease(kEntryTimeToLive,
                   [this, request = *missing](std::error_code error, LeaseId lease) {
                     if (error) {
                       EndWriting();
                       return;
                     }
                     WriteEntry(request, lease);
                   });
}

void CrashRegistry::WriteEntry(RequestFingerprint request, LeaseId lease) {
  StoreTransaction transaction;
  transaction.conditions.push_back({KeyOf(request), {}});
  transaction.puts.push_back({KeyOf(request), FormatRuns(requests_.RunsOf(request)), lease});
  store_.Commit(transaction, [this, request, lease](std::error_code error, Revision /*revision*/) {
    EndWriting();
    if (!error) {
      log_("blocked request stored fingerprint=" + std::to_string(request.value));
    }
    if (!error || error == StoreError::kConflict) {
      stored_.insert(request);
    }
    if (error == StoreError::kConflict) {
      store_.EndLease(lease);
    }
  });
}

void CrashRegistry::EndWriting() {
  writing_ = false;
  next_write_at_ = BootNow() + kRetryDelay;
}

void CrashRegistry::AddEntry(const StoreItem& item, Instant now) {
  try {
    const RequestFingerprint request = ParseKey(item.key);
    const json value = ParseBoundedJson(item.value, kMaxEntryBytes, kMaxEntryDepth);
    for (const json& row : value.at("runs")) {
      requests_.ApplyReport({request, ParseRun(row), 0}, now);
    }
    stored_.insert(request);
  } catch (const std::exception& error) {
    log_("malformed entry of a blocked request key=" + item.key + " reason=" + error.what());
  }
}

void CrashRegistry::RemoveEntry(const std::string& key) {
  try {
    stored_.erase(ParseKey(key));
  } catch (const std::invalid_argument&) {
    // Such an entry was logged when it came, and named no request.
    return;
  }
}

}  // namespace sycamorestall

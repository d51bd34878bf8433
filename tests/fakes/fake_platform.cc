#include "fakes/fake_platform.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "clock/system_clock.h"
#include "http/status.h"
#include "http/url.h"
#include "platform/record_json.h"

namespace sycamorestall::fakes {

namespace {

using nlohmann::json;

constexpr std::size_t kVersionsKept = 64;
constexpr std::int64_t kNsPerMs = 1'000'000;

std::int64_t NowNs() { return BootNow().time_since_epoch().count(); }

http::Response MakeResponse(std::uint16_t status, const json& body) {
  http::Response response;
  response.status = status;
  response.content_type = "application/json";
  response.body = body.dump();
  return response;
}

bool ConsumePrefix(std::string& path, const std::string& prefix) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  path.erase(0, prefix.size());
  return true;
}

}  // namespace

FakePlatform::FakePlatform(http::ServerSettings settings) : server_(std::move(settings), *this) {
  list_versions_.push_back({0, InstanceList{1, {}}});
}

void FakePlatform::Handle(http::Request request, http::Responder responder) {
  if (HandleAdministration(request, responder)) {
    return;
  }
  std::int64_t slow_ms = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::string* caller = request.header("Platform-Caller");
    if (caller != nullptr && faults_.cut_callers.contains(*caller)) {
      return;
    }
    std::string kind = request.path.substr(1, request.path.find('/', 1) - 1);
    kind += request.method == http::Method::kPut ? " write" : " read";
    ++call_counts_[kind];
    if (faults_.silent) {
      return;
    }
    if (faults_.outage) {
      responder.Send(MakeResponse(http::kServiceUnavailable, {{"error", "outage"}}));
      return;
    }
    slow_ms = faults_.slow_ms;
  }
  if (slow_ms == 0) {
    HandleCall(request, responder);
    return;
  }
  runner_.RunAfter(
      std::chrono::milliseconds{slow_ms},
      [this, request = std::move(request), responder] { HandleCall(request, responder); });
}

bool FakePlatform::HandleAdministration(const http::Request& request,
                                        const http::Responder& responder) {
  std::string path = request.path;
  const std::lock_guard<std::mutex> lock(mutex_);
  try {
    if (path == "/faults") {
      ApplyFaults(request);
    } else if (path == "/counts") {
      responder.Send(MakeResponse(http::kOk, call_counts_));
      return true;
    } else if (ConsumePrefix(path, "/admin/instances/")) {
      ApplyInstanceChange(request, path);
    } else {
      return false;
    }
  } catch (const json::exception& error) {
    responder.Send(MakeResponse(http::kBadRequest, {{"error", error.what()}}));
    return true;
  }
  responder.Send(MakeResponse(http::kOk, json::object()));
  return true;
}

void FakePlatform::ApplyFaults(const http::Request& request) {
  const json faults = json::parse(request.body);
  faults_.outage = faults.value("outage", faults_.outage);
  faults_.silent = faults.value("silent", faults_.silent);
  faults_.slow_ms = faults.value("slow_ms", faults_.slow_ms);
  faults_.loses_write_replies = faults.value("loses_write_replies", faults_.loses_write_replies);
  faults_.read_lag_ms = faults.value("read_lag_ms", faults_.read_lag_ms);
  faults_.list_lag_ms = faults.value("list_lag_ms", faults_.list_lag_ms);
  faults_.cut_callers = faults.value("cut_callers", faults_.cut_callers);
}

void FakePlatform::ApplyInstanceChange(const http::Request& request, const std::string& id) {
  ListVersion next = list_versions_.back();
  next.changed_ns = NowNs();
  ++next.list.revision;
  std::erase_if(next.list.instances, [&id](const Instance& each) { return each.id.value() == id; });
  if (request.method == http::Method::kPut) {
    const json object = json::parse(request.body);
    Instance instance;
    instance.id = InstanceId{id};
    instance.domain = DomainName{object.at("domain").get<std::string>()};
    instance.service = ServiceName{object.value("service", std::string{})};
    instance.address = object.at("address").get<std::string>();
    const bool leaving = object.value("state", std::string{"live"}) == "leaving";
    instance.state = leaving ? InstanceState::kLeaving : InstanceState::kLive;
    next.list.instances.push_back(std::move(instance));
  }
  list_versions_.push_back(std::move(next));
}

void FakePlatform::HandleCall(const http::Request& request, const http::Responder& responder) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ExpireLeases();
  std::string path = request.path;
  try {
    if (path == "/instances") {
      http::Response response{
          http::kOk, {}, "application/json", FormatInstances(VisibleList()), false};
      responder.Send(std::move(response));
    } else if (ConsumePrefix(path, "/kv/")) {
      if (request.method == http::Method::kPut) {
        HandleWrite(request, path, responder);
      } else {
        SendValue(path, responder);
      }
    } else if (ConsumePrefix(path, "/list/")) {
      HandleList(path, responder);
    } else if (ConsumePrefix(path, "/watch/")) {
      HandleWatch(request, path, responder);
    } else if (ConsumePrefix(path, "/leases")) {
      HandleLease(request, path, responder);
    } else {
      responder.Send(MakeResponse(http::kNotFound, json::object()));
    }
  } catch (const json::exception& error) {
    responder.Send(MakeResponse(http::kBadRequest, {{"error", error.what()}}));
  }
}

const FakePlatform::Version* FakePlatform::VisibleVersion(const std::string& key) const {
  const auto found = keys_.find(key);
  if (found == keys_.end()) {
    return nullptr;
  }
  const std::int64_t visible_until = NowNs() - faults_.read_lag_ms * kNsPerMs;
  const auto& versions = found->second.versions;
  const auto visible =
      std::find_if(versions.rbegin(), versions.rend(),
                   [visible_until](const Version& v) { return v.written_ns <= visible_until; });
  return visible == versions.rend() ? nullptr : &*visible;
}

const InstanceList& FakePlatform::VisibleList() const {
  const std::int64_t visible_until = NowNs() - faults_.list_lag_ms * kNsPerMs;
  const auto visible =
      std::find_if(list_versions_.rbegin(), list_versions_.rend(),
                   [visible_until](const ListVersion& v) { return v.changed_ns <= visible_until; });
  return visible == list_versions_.rend() ? list_versions_.front().list : visible->list;
}

void FakePlatform::SendValue(const std::string& key, const http::Responder& responder) {
  const Version* version = VisibleVersion(key);
  if (version == nullptr) {
    responder.Send(MakeResponse(http::kNotFound, json::object()));
    return;
  }
  responder.Send(
      MakeResponse(http::kOk, {{"revision", version->revision}, {"value", version->value}}));
}

void FakePlatform::HandleList(const std::string& prefix, const http::Responder& responder) {
  json values = json::object();
  for (auto each = keys_.lower_bound(prefix);
       each != keys_.end() && each->first.starts_with(prefix); ++each) {
    const Version* version = VisibleVersion(each->first);
    if (version != nullptr) {
      values[each->first] = {{"revision", version->revision}, {"value", version->value}};
    }
  }
  responder.Send(MakeResponse(http::kOk, values));
}

void FakePlatform::HandleWrite(const http::Request& request, const std::string& key,
                               const http::Responder& responder) {
  const json object = json::parse(request.body);
  const auto expected = object.at("expected").get<std::uint64_t>();
  const auto found = keys_.find(key);
  const bool absent = found == keys_.end();
  const std::uint64_t current = absent ? 0 : found->second.versions.back().revision;
  if (current != expected) {
    const std::string value = absent ? "" : found->second.versions.back().value;
    responder.Send(MakeResponse(http::kConflict, {{"revision", current}, {"value", value}}));
    return;
  }
  Key& entry = keys_[key];
  entry.lease = object.value("lease", std::string{});
  entry.versions.push_back({NowNs(), next_revision_++, object.at("value").get<std::string>()});
  if (entry.versions.size() > kVersionsKept) {
    entry.versions.pop_front();
  }
  const Version& written = entry.versions.back();
  std::erase_if(watchers_, [&](const auto& watcher) {
    if (watcher.second.key != key) {
      return false;
    }
    if (faults_.cut_callers.contains(watcher.second.caller)) {
      return true;
    }
    watcher.second.responder.Send(
        MakeResponse(http::kOk, {{"revision", written.revision}, {"value", written.value}}));
    return true;
  });
  if (!faults_.loses_write_replies) {
    responder.Send(MakeResponse(http::kOk, {{"revision", written.revision}}));
  }
}

void FakePlatform::HandleWatch(const http::Request& request, const std::string& key,
                               const http::Responder& responder) {
  const std::uint64_t above =
      std::strtoull(http::QueryParameter(request.query, "above").c_str(), nullptr, 10);
  const auto found = keys_.find(key);
  if (found != keys_.end() && found->second.versions.back().revision > above) {
    SendValue(key, responder);
    return;
  }
  const std::uint64_t number = responder.number();
  const std::string* caller = request.header("Platform-Caller");
  watchers_[number] = {key, caller == nullptr ? "" : *caller, responder};
  const auto wait =
      std::strtoll(http::QueryParameter(request.query, "wait_ms").c_str(), nullptr, 10);
  runner_.RunAfter(std::chrono::milliseconds{wait}, [this, number] { AnswerExpiredWatch(number); });
}

void FakePlatform::AnswerExpiredWatch(std::uint64_t number) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = watchers_.find(number);
  if (found == watchers_.end()) {
    return;
  }
  SendValue(found->second.key, found->second.responder);
  watchers_.erase(found);
}

void FakePlatform::HandleLease(const http::Request& request, const std::string& suffix,
                               const http::Responder& responder) {
  const json object = json::parse(request.body);
  const std::int64_t expires_ns = NowNs() + object.at("ttl_ms").get<std::int64_t>() * kNsPerMs;
  const std::string id =
      suffix.empty() ? "lease-" + std::to_string(next_revision_++) : suffix.substr(1);
  const bool known = lease_expiries_ns_.contains(id);
  if (!suffix.empty() && !known) {
    responder.Send(MakeResponse(http::kNotFound, json::object()));
    return;
  }
  lease_expiries_ns_[id] = expires_ns;
  responder.Send(MakeResponse(http::kOk, {{"lease", id}}));
}

void FakePlatform::ExpireLeases() {
  const std::int64_t now = NowNs();
  std::erase_if(lease_expiries_ns_, [now](const auto& lease) { return lease.second <= now; });
  std::erase_if(keys_, [this](const auto& key) {
    return !key.second.lease.empty() && !lease_expiries_ns_.contains(key.second.lease);
  });
}

}  // namespace sycamorestall::fakes

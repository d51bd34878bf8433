#include "fakes/key_value_store.h"

#include <boost/beast/http/verb.hpp>
#include <nlohmann/json.hpp>

#include "clock/system_clock.h"
#include "fakes/json_answer.h"
#include "http/url.h"
#include "net/base64.h"

namespace sycamorestall::fakes {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kPollInterval{5};

std::uint64_t QueryNumber(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  return at == std::string::npos ? 0 : std::stoull(target.substr(at + name.size() + 1));
}

// The keys' prefix that a call asks for.
std::string QueryPrefix(const std::string& target) {
  const std::string name = "prefix=";
  const std::size_t begin = target.find(name) + name.size();
  std::string prefix;
  http::DecodePercent(std::string_view{target}.substr(begin, target.find('&', begin) - begin),
                      prefix);
  return prefix;
}

}  // namespace

KeyValueStore::KeyValueStore() : address_(FindFreeAddress(context_)) {
  listener_ = std::make_unique<CallerListener>(context_, address_, *this);
  thread_ = std::thread([this] { RunEventLoop(); });
}

KeyValueStore::~KeyValueStore() {
  {
    const std::lock_guard lock{mutex_};
    stopping_ = true;
  }
  thread_.join();
}

CallerLimits KeyValueStore::Limits() const {
  CallerLimits limits;
  limits.max_body_bytes = std::uint64_t{4} << 20;
  return limits;
}

void KeyValueStore::RunEventLoop() {
  for (;;) {
    context_.restart();
    context_.run_for(kPollInterval);
    const std::lock_guard lock{mutex_};
    if (stopping_) {
      return;
    }
    ExpireLeasesAndAnswerWatches();
  }
}

void KeyValueStore::ExpireLeasesAndAnswerWatches() {
  const Instant now = BootNow();
  std::vector<std::uint64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (now > lease.until) {
      expired.push_back(id);
    }
  }
  for (const std::uint64_t id : expired) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == id) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      EraseItem(key);
    }
  }
  if (fault_ == StoreFault::kNone || fault_ == StoreFault::kAnswersLost) {
    std::erase_if(watches_, [&](const Watch& watch) { return AnswerWatchIfDue(watch, now); });
  }
}

void KeyValueStore::Answer(CallerExchange& exchange, unsigned status, const json& body) {
  AnswerJson(exchange, status, body, "Store-Era: " + std::to_string(era_) + "\r\n");
}

void KeyValueStore::WriteItem(const std::string& key, const std::string& value,
                              std::uint64_t lease) {
  items_[key] = {value, revision_, lease};
  history_.push_back({{key, value, {revision_}}, false});
}

void KeyValueStore::EraseItem(const std::string& key) {
  ++revision_;
  items_.erase(key);
  history_.push_back({{key, "", {revision_}}, true});
}

void KeyValueStore::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock{mutex_};
  ++revision_;
  WriteItem(key, value, 0);
}

void KeyValueStore::Remove(const std::string& key) {
  const std::lock_guard lock{mutex_};
  EraseItem(key);
}

std::string KeyValueStore::Value(const std::string& key) {
  const std::lock_guard lock{mutex_};
  const auto found = items_.find(key);
  return found == items_.end() ? "" : found->second.value;
}

std::vector<std::string> KeyValueStore::KeysWithPrefix(const std::string& prefix) {
  const std::lock_guard lock{mutex_};
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (key.starts_with(prefix)) {
      keys.push_back(key);
    }
  }
  return keys;
}

void KeyValueStore::SetFault(StoreFault fault) {
  const std::lock_guard lock{mutex_};
  fault_ = fault;
}

void KeyValueStore::SetWriteFilter(WriteFilter filter) {
  const std::lock_guard lock{mutex_};
  write_filter_ = std::move(filter);
}

void KeyValueStore::CompactHistory() {
  const std::lock_guard lock{mutex_};
  history_.clear();
  oldest_watchable_revision_ = revision_ + 1;
  ++revision_;
}

void KeyValueStore::SaveCopy() {
  const std::lock_guard lock{mutex_};
  copy_ = {revision_, next_lease_, items_, history_};
}

void KeyValueStore::RestoreCopy() {
  const std::lock_guard lock{mutex_};
  ++era_;
  revision_ = copy_.revision;
  next_lease_ = copy_.next_lease;
  items_ = copy_.items;
  history_ = copy_.history;
  leases_.clear();
  std::erase_if(items_, [](const auto& each) { return each.second.lease != 0; });
}

std::size_t KeyValueStore::LeaseCount() {
  const std::lock_guard lock{mutex_};
  return leases_.size();
}

void KeyValueStore::HandleRequest(std::shared_ptr<CallerExchange> exchange) {
  const std::lock_guard lock{mutex_};
  const std::string target{exchange->request().target()};
  if (fault_ == StoreFault::kBusy) {
    Answer(*exchange, 503, {});
  } else if (fault_ == StoreFault::kSilent) {
    unanswered_.push_back(std::move(exchange));
  } else if (target.starts_with("/v1/kv-range")) {
    HandleRange(*exchange);
  } else if (target.starts_with("/v1/kv-watch")) {
    HandleWatch(std::move(exchange), target);
  } else if (target == "/v1/kv-txn") {
    HandleTransaction(*exchange);
    unanswered_.push_back(std::move(exchange));
  } else if (target == "/v1/kv-lease") {
    HandleLeaseOpen(*exchange);
  } else if (target.starts_with("/v1/kv-keep/")) {
    HandleLeaseRenewal(*exchange, target);
  } else if (target.starts_with("/v1/kv-lease-end/")) {
    leases_[std::stoull(target.substr(target.rfind('/') + 1))].until = Instant{};
    Answer(*exchange, 200, json::object());
  } else {
    Answer(*exchange, 404, {});
  }
}

void KeyValueStore::HandleRange(CallerExchange& exchange) {
  json items = json::array();
  for (const auto& [key, item] : items_) {
    items.push_back({{"key", key},
                     {"value", EncodeBase64(item.value)},
                     {"revision", item.revision},
                     {"lease", item.lease}});
  }
  Answer(exchange, 200,
         {{"items", std::move(items)}, {"has_more", false}, {"store_revision", revision_}});
}

void KeyValueStore::HandleWatch(std::shared_ptr<CallerExchange> exchange,
                                const std::string& target) {
  const std::uint64_t after = QueryNumber(target, "after");
  if (after + 1 < oldest_watchable_revision_ || after > revision_) {
    Answer(*exchange, 410, {});
    return;
  }
  const Instant until = BootNow() + std::chrono::milliseconds{QueryNumber(target, "wait_ms")};
  watches_.push_back({std::move(exchange), QueryPrefix(target), after, until});
}

bool KeyValueStore::AnswerWatchIfDue(const Watch& watch, Instant now) {
  if (watch.after > revision_) {
    Answer(*watch.exchange, 410, {});
    return true;
  }
  json events = json::array();
  for (const StoreEvent& event : history_) {
    if (event.item.revision.value <= watch.after || !event.item.key.starts_with(watch.prefix)) {
      continue;
    }
    json row{{"key", event.item.key}, {"revision", event.item.revision.value}};
    if (event.removed) {
      row["removed"] = true;
    } else {
      row["value"] = EncodeBase64(event.item.value);
    }
    events.push_back(std::move(row));
  }
  if (events.empty() && now < watch.until) {
    return watch.exchange->abandoned();
  }
  Answer(*watch.exchange, 200, {{"events", std::move(events)}, {"store_revision", revision_}});
  return true;
}

void KeyValueStore::HandleTransaction(CallerExchange& exchange) {
  const json body = json::parse(*exchange.body());
  for (const json& row : body.at("expect")) {
    const auto item = items_.find(row.at("key").get<std::string>());
    const std::uint64_t revision = item == items_.end() ? 0 : item->second.revision;
    if (revision != row.at("revision").get<std::uint64_t>()) {
      Answer(exchange, 412, {{"items", json::array()}});
      return;
    }
  }
  ++revision_;
  for (const json& row : body.at("puts")) {
    const std::uint64_t lease = row.value("lease", std::uint64_t{0});
    const std::string key = row.at("key").get<std::string>();
    std::string value = DecodeBase64(row.at("value").get<std::string>());
    WriteItem(key, write_filter_ ? write_filter_(key, std::move(value)) : value, lease);
  }
  if (fault_ != StoreFault::kAnswersLost) {
    Answer(exchange, 200, {{"revision", revision_}});
  }
}

void KeyValueStore::HandleLeaseOpen(CallerExchange& exchange) {
  constexpr double kMillisecondsPerSecond = 1000;
  const double seconds = json::parse(*exchange.body()).at("ttl_s_time").get<double>();
  const std::chrono::milliseconds time_to_live{
      static_cast<std::int64_t>(seconds * kMillisecondsPerSecond)};
  const std::uint64_t id = next_lease_++;
  leases_[id] = {BootNow() + time_to_live, time_to_live};
  Answer(exchange, 200, {{"lease", id}, {"ttl_s_time", seconds}});
}

void KeyValueStore::HandleLeaseRenewal(CallerExchange& exchange, const std::string& target) {
  const auto lease = leases_.find(std::stoull(target.substr(target.rfind('/') + 1)));
  if (lease == leases_.end()) {
    Answer(exchange, 404, {});
    return;
  }
  lease->second.until = BootNow() + lease->second.time_to_live;
  Answer(exchange, 200, json::object());
}

}  // namespace sycamorestall::fakes

// A stand-in of the platform's metadata store: items with revisions, leases, watches and
// conditional transactions, as the users' pages describe them.
#pragma once

#include <condition_variable>
#include <map>
#include <nlohmann/json.hpp>

#include "stand_in_http.hpp"

namespace review {

using nlohmann::json;

inline std::string EncodeBase64(const std::string& bytes) {
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = static_cast<unsigned char>(bytes[i]) << 16;
    const std::size_t left = bytes.size() - i;
    group |= left > 1 ? static_cast<unsigned char>(bytes[i + 1]) << 8 : 0;
    group |= left > 2 ? static_cast<unsigned char>(bytes[i + 2]) : 0;
    text += kDigits[group >> 18 & 63];
    text += kDigits[group >> 12 & 63];
    text += left > 1 ? kDigits[group >> 6 & 63] : '=';
    text += left > 2 ? kDigits[group & 63] : '=';
  }
  return text;
}

inline std::string DecodeBase64(const std::string& text) {
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char each : text) {
    std::uint32_t digit = 0;
    if (each >= 'A' && each <= 'Z') {
      digit = each - 'A';
    } else if (each >= 'a' && each <= 'z') {
      digit = each - 'a' + 26;
    } else if (each >= '0' && each <= '9') {
      digit = each - '0' + 52;
    } else if (each == '+') {
      digit = 62;
    } else if (each == '/') {
      digit = 63;
    } else {
      break;
    }
    group = group << 6 | digit;
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 255);
    }
  }
  return bytes;
}

class Store {
 public:
  // Entries of targets are removed after so much silence.
  static constexpr int kHeartbeatMs = 870;
  static constexpr int kMaxSilenceMs = 3 * kHeartbeatMs;

  Store() : listener_([this](Connection& connection) { Serve(connection); }) {
    sweeper_ = std::thread([this] { Sweep(); });
  }
  ~Store() {
    stopping_ = true;
    changed_.notify_all();
    sweeper_.join();
    listener_.Stop();
  }

  std::uint16_t port() const { return listener_.port(); }

  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock{mutex_};
    ++revision_;
    Write(key, value, 0);
    changed_.notify_all();
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock{mutex_};
    Erase(key);
    changed_.notify_all();
  }
  bool Has(const std::string& key) {
    const std::lock_guard lock{mutex_};
    return items_.contains(key);
  }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
    Clock::time_point written_at;
  };
  struct Event {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
    bool removed = false;
  };
  struct Lease {
    double seconds = 0;
    Clock::time_point until;
  };

  void Write(const std::string& key, const std::string& value, std::uint64_t lease) {
    const auto known = items_.find(key);
    const std::uint64_t created = known == items_.end() ? revision_ : known->second.created;
    items_[key] = {value, revision_, created, lease, Clock::now()};
    history_.push_back({key, value, revision_, created, lease, false});
  }
  void Erase(const std::string& key) {
    if (items_.erase(key) > 0) {
      ++revision_;
      history_.push_back({key, "", revision_, 0, 0, true});
    }
  }

  void Sweep() {
    while (!stopping_) {
      SleepMs(20);
      const std::lock_guard lock{mutex_};
      const auto now = Clock::now();
      std::vector<std::string> gone;
      for (const auto& [key, item] : items_) {
        const auto lease = leases_.find(item.lease);
        const bool lease_ended =
            item.lease != 0 && (lease == leases_.end() || now > lease->second.until);
        const bool silent =
            key.starts_with("servers/") && now - item.written_at > milliseconds{kMaxSilenceMs};
        if (lease_ended || silent) {
          gone.push_back(key);
        }
      }
      std::erase_if(leases_, [now](const auto& each) { return now > each.second.until; });
      for (const std::string& key : gone) {
        Erase(key);
      }
      changed_.notify_all();
    }
  }

  static std::string Query(const std::string& target, const std::string& name) {
    for (const char* before : {"?", "&"}) {
      const std::size_t at = target.find(before + name + "=");
      if (at != std::string::npos) {
        const std::size_t begin = at + name.size() + 2;
        return Decode(target.substr(begin, target.find('&', begin) - begin));
      }
    }
    return "";
  }
  static std::string Decode(const std::string& text) {
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        plain += text[i];
      }
    }
    return plain;
  }
  static json RowOf(const Event& event) {
    if (event.removed) {
      return {{"key", event.key}, {"revision", event.revision}, {"removed", true}};
    }
    return {{"key", event.key},
            {"value", EncodeBase64(event.value)},
            {"revision", event.revision},
            {"created_rev", event.created},
            {"lease", event.lease}};
  }
  json RowOf(const std::string& key) const {
    const Item& item = items_.at(key);
    return RowOf(Event{key, item.value, item.revision, item.created, item.lease, false});
  }

  void Serve(Connection& connection) {
    while (!stopping_) {
      const auto request = connection.Read(600'000);
      if (!request) {
        return;
      }
      const auto [status, body] = Handle(*request, connection);
      if (!connection.Write(FormatAnswer(status, "Content-Type: application/json\r\n",
                                         body.is_null() ? "{}" : body.dump()))) {
        return;
      }
    }
  }

  std::pair<int, json> Handle(const Message& request, Connection& connection) {
    const std::string target = request.SecondWord();
    const std::string path = target.substr(0, target.find('?'));
    std::unique_lock lock{mutex_};
    if (path == "/v1/kv-key") {
      const std::string key = Query(target, "key");
      if (!items_.contains(key)) {
        return {404, {{"store_revision", revision_}}};
      }
      json row = RowOf(key);
      row["store_revision"] = revision_;
      return {200, row};
    }
    if (path == "/v1/kv-range") {
      return {200, Range(Query(target, "prefix"), Query(target, "after"))};
    }
    if (path == "/v1/kv-watch") {
      return Watch(lock, Query(target, "prefix"), std::stoull("0" + Query(target, "after")),
                   std::stoi("0" + Query(target, "wait_ms")), connection);
    }
    if (path == "/v1/kv-txn") {
      return Transact(json::parse(request.body));
    }
    if (path == "/v1/kv-lease") {
      const double seconds = json::parse(request.body).at("ttl_s_time").get<double>();
      const std::uint64_t id = ++last_lease_;
      leases_[id] = {seconds, Clock::now() + milliseconds{static_cast<int>(seconds * 1000)}};
      return {200, {{"lease", id}, {"ttl_s_time", seconds}}};
    }
    const std::uint64_t lease = std::stoull("0" + path.substr(path.rfind('/') + 1));
    if (path.starts_with("/v1/kv-keep/")) {
      const auto found = leases_.find(lease);
      if (found == leases_.end()) {
        return {404, json::object()};
      }
      found->second.until =
          Clock::now() + milliseconds{static_cast<int>(found->second.seconds * 1000)};
      return {200, {{"ttl_s_time", found->second.seconds}}};
    }
    if (path.starts_with("/v1/kv-lease-end/")) {
      return {leases_.erase(lease) > 0 ? 200 : 404, json::object()};
    }
    return {404, json::object()};
  }

  json Range(const std::string& prefix, const std::string& after) const {
    constexpr std::size_t kPageItems = 500;
    json rows = json::array();
    bool has_more = false;
    for (auto each = items_.upper_bound(after); each != items_.end(); ++each) {
      if (!each->first.starts_with(prefix)) {
        continue;
      }
      if (rows.size() == kPageItems) {
        has_more = true;
        break;
      }
      rows.push_back(RowOf(each->first));
    }
    return {{"items", rows}, {"has_more", has_more}, {"store_revision", revision_}};
  }

  std::pair<int, json> Watch(std::unique_lock<std::mutex>& lock, const std::string& prefix,
                             std::uint64_t after, int wait_ms, Connection& connection) {
    const auto end = Clock::now() + milliseconds{wait_ms};
    for (;;) {
      json events = json::array();
      for (const Event& event : history_) {
        if (event.revision > after && event.key.starts_with(prefix)) {
          events.push_back(RowOf(event));
        }
      }
      if (!events.empty() || Clock::now() >= end || stopping_ || connection.HasPeerLeft()) {
        return {200, {{"events", events}, {"store_revision", revision_}}};
      }
      changed_.wait_until(lock, std::min(end, Clock::now() + milliseconds{100}));
    }
  }

  std::pair<int, json> Transact(const json& body) {
    json current = json::array();
    bool holds = true;
    for (const json& row : body.value("expect", json::array())) {
      const std::string key = row.at("key").get<std::string>();
      const auto item = items_.find(key);
      const std::uint64_t revision = item == items_.end() ? 0 : item->second.revision;
      holds = holds && revision == row.at("revision").get<std::uint64_t>();
      if (item != items_.end()) {
        current.push_back(RowOf(key));
      }
    }
    if (!holds) {
      return {412, {{"items", current}}};
    }
    const json puts = body.value("puts", json::array());
    for (const json& row : puts) {
      const std::uint64_t lease = row.value("lease", std::uint64_t{0});
      if (lease != 0 && !leases_.contains(lease)) {
        return {404, json::object()};
      }
      const std::string key = row.at("key").get<std::string>();
      if (key.starts_with("op/") || key.starts_with("servers/")) {
        return {403, json::object()};
      }
    }
    ++revision_;
    for (const json& row : puts) {
      Write(row.at("key").get<std::string>(), DecodeBase64(row.at("value").get<std::string>()),
            row.value("lease", std::uint64_t{0}));
    }
    for (const json& key : body.value("deletes", json::array())) {
      if (items_.erase(key.get<std::string>()) > 0) {
        history_.push_back({key.get<std::string>(), "", revision_, 0, 0, true});
      }
    }
    changed_.notify_all();
    return {200, {{"revision", revision_}}};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> stopping_ = false;
  std::uint64_t revision_ = 1;
  std::uint64_t last_lease_ = 0;
  std::map<std::string, Item> items_;
  std::vector<Event> history_;
  std::map<std::uint64_t, Lease> leases_;
  Listener listener_;
  std::thread sweeper_;
};

}  // namespace review

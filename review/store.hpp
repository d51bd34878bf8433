// Stand-in for the platform's store: items, watches, leases and conditional transactions.
#pragma once

#include <condition_variable>
#include <list>
#include <nlohmann/json.hpp>

#include "http.hpp"

namespace standin {

using nlohmann::json;

inline std::string EncodeBase64(const std::string& bytes) {
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k > bytes.size() ? '=' : kDigits[group >> (18 - 6 * k) & 63];
    }
  }
  return text;
}

class Store {
 public:
  explicit Store(std::uint16_t port)
      : server_(port, [this](Connection& connection) { Serve(connection); }) {
    std::thread([this] { ExpireLeases(); }).detach();
  }
  std::uint16_t port() const { return server_.port(); }

  // Writes or removes an item, as the operator or a target does.
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock{mutex_};
    Write(key, EncodeBase64(value), 0);
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock{mutex_};
    Erase(key);
  }
  // While silent, the store neither carries out nor answers calls. Those that came in that time,
  // and watches that waited when it began, are never answered.
  void SetSilent(bool silent) {
    const std::lock_guard lock{mutex_};
    silent_ = silent;
    silences_ += silent ? 1 : 0;
    changed_.notify_all();
  }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    double ttl_s = 0;
    Clock::time_point until;
  };

  json Row(const std::string& key, const Item& item) const {
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created_rev", item.created},
            {"lease", item.lease}};
  }

  void Write(const std::string& key, const std::string& value, std::uint64_t lease) {
    ++revision_;
    WriteAt(key, value, lease);
  }
  void WriteAt(const std::string& key, const std::string& value, std::uint64_t lease) {
    Item& item = items_[key];
    item = {value, revision_, item.created == 0 ? revision_ : item.created, lease};
    history_.emplace_back(revision_, Row(key, item));
    changed_.notify_all();
  }
  void Erase(const std::string& key) {
    if (items_.erase(key) == 0) return;
    ++revision_;
    history_.emplace_back(revision_,
                          json{{"key", key}, {"revision", revision_}, {"removed", true}});
    changed_.notify_all();
  }

  void ExpireLeases() {
    for (;;) {
      Sleep(0.05);
      const std::lock_guard lock{mutex_};
      for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (Clock::now() < lease->second.until) {
          ++lease;
          continue;
        }
        EraseKeysOf(lease->first);
        lease = leases_.erase(lease);
      }
    }
  }
  void EraseKeysOf(std::uint64_t lease) {
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == lease) keys.push_back(key);
    }
    for (const std::string& key : keys) Erase(key);
  }

  void Serve(Connection& connection) {
    while (const auto request = connection.Read()) {
      const auto reply = Handle(*request, connection);
      if (!reply) {
        // Never answered: hold the connection until the caller gives it up.
        connection.Read();
        return;
      }
      if (!connection.Write(*reply)) return;
    }
  }

  static std::string Reply(int status, const json& body) {
    return Answer(status, "Content-Type: application/json\r\n", body.dump());
  }

  static std::string QueryText(const std::string& target, const std::string& name) {
    for (const std::string lead : {"?", "&"}) {
      const std::size_t at = target.find(lead + name + "=");
      if (at == std::string::npos) continue;
      const std::size_t begin = at + name.size() + 2;
      return Unescape(target.substr(begin, target.find('&', begin) - begin));
    }
    return "";
  }
  static std::string Unescape(const std::string& text) {
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

  std::optional<std::string> Handle(const Message& request, Connection& connection) {
    std::unique_lock lock{mutex_};
    if (silent_) return std::nullopt;
    const std::string target = request.Target();
    if (target.starts_with("/v1/kv-watch")) return Watch(target, connection, lock);
    if (target.starts_with("/v1/kv-range")) return Range(target);
    if (target.starts_with("/v1/kv-key")) return One(target);
    if (target == "/v1/kv-txn") return Transact(json::parse(request.body));
    if (target == "/v1/kv-lease") {
      const double ttl = json::parse(request.body).at("ttl_s_time").get<double>();
      leases_[++last_lease_] = {ttl, After(ttl)};
      return Reply(200, {{"lease", last_lease_}, {"ttl_s_time", ttl}});
    }
    if (target.starts_with("/v1/kv-keep/")) {
      const auto lease = leases_.find(std::stoull(target.substr(12)));
      if (lease == leases_.end()) return Reply(404, json::object());
      lease->second.until = After(lease->second.ttl_s);
      return Reply(200, {{"ttl_s_time", lease->second.ttl_s}});
    }
    if (target.starts_with("/v1/kv-lease-end/")) {
      const std::uint64_t id = std::stoull(target.substr(17));
      EraseKeysOf(id);
      leases_.erase(id);
      return Reply(200, json::object());
    }
    return Reply(404, json::object());
  }

  static Clock::time_point After(double seconds) {
    return Clock::now() +
           std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
  }

  std::string One(const std::string& target) const {
    const std::string key = QueryText(target, "key");
    const auto item = items_.find(key);
    if (item == items_.end()) return Reply(404, json::object());
    json row = Row(key, item->second);
    row["store_revision"] = revision_;
    return Reply(200, row);
  }

  std::string Range(const std::string& target) const {
    const std::string prefix = QueryText(target, "prefix");
    const std::string after = QueryText(target, "after");
    json rows = json::array();
    for (const auto& [key, item] : items_) {
      if (key.starts_with(prefix) && key > after) rows.push_back(Row(key, item));
    }
    return Reply(200, {{"items", rows}, {"has_more", false}, {"store_revision", revision_}});
  }

  std::optional<std::string> Watch(const std::string& target, Connection& connection,
                                   std::unique_lock<std::mutex>& lock) {
    const std::string prefix = QueryText(target, "prefix");
    const std::uint64_t after = std::stoull(QueryText(target, "after"));
    const auto until = After(std::stod(QueryText(target, "wait_ms")) / 1000);
    const int silences = silences_;
    for (;;) {
      if (silences_ != silences) return std::nullopt;
      json events = json::array();
      for (const auto& [revision, row] : history_) {
        if (revision > after && row.at("key").get<std::string>().starts_with(prefix)) {
          events.push_back(row);
        }
      }
      if (!events.empty() || Clock::now() >= until || connection.HasInput()) {
        return Reply(200, {{"events", events}, {"store_revision", revision_}});
      }
      changed_.wait_until(lock, std::min(until, Clock::now() + milliseconds{100}));
    }
  }

  std::string Transact(const json& body) {
    json conflicts = json::array();
    for (const json& row : body.value("expect", json::array())) {
      const auto item = items_.find(row.at("key").get<std::string>());
      const std::uint64_t revision = item == items_.end() ? 0 : item->second.revision;
      if (revision != row.at("revision").get<std::uint64_t>()) conflicts.push_back(row);
    }
    if (!conflicts.empty()) return Reply(412, {{"items", conflicts}});
    for (const json& row : body.value("puts", json::array())) {
      const auto lease = row.value("lease", std::uint64_t{0});
      if (lease != 0 && !leases_.contains(lease)) return Reply(404, json::object());
    }
    ++revision_;
    for (const json& row : body.value("puts", json::array())) {
      WriteAt(row.at("key").get<std::string>(), row.at("value").get<std::string>(),
              row.value("lease", std::uint64_t{0}));
    }
    for (const json& key : body.value("deletes", json::array())) {
      if (items_.erase(key.get<std::string>()) > 0) {
        history_.emplace_back(revision_,
                              json{{"key", key}, {"revision", revision_}, {"removed", true}});
      }
    }
    changed_.notify_all();
    return Reply(200, {{"revision", revision_}});
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  bool silent_ = false;
  int silences_ = 0;
  std::uint64_t revision_ = 1;
  std::uint64_t last_lease_ = 0;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::list<std::pair<std::uint64_t, json>> history_;
  Server server_;
};

}  // namespace standin

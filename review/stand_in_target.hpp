// A stand-in of a target: registers in the store, takes grants and releases, and runs requests.
// A request says in its query how long its work takes ("work", in ms) and how long the answer's
// body is ("bytes").
#pragma once

#include <condition_variable>
#include <map>

#include "case_record.hpp"
#include "stand_in_store.hpp"

namespace review {

class Target {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    // Whether it runs requests only for keys that it was granted.
    bool holds_keys = false;
    int slots = 6;
  };

  Target(Store& store, Record& record, Ledger& ledger, Options options)
      : store_(store),
        record_(record),
        ledger_(ledger),
        options_(std::move(options)),
        born_(std::chrono::duration_cast<milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()),
        listener_(std::make_unique<Listener>([this](Connection& each) { Serve(each); })),
        port_(listener_->port()) {
    heartbeat_ = std::thread([this] { Beat(); });
  }
  ~Target() {
    stopping_ = true;
    changed_.notify_all();
    heartbeat_.join();
    listener_->Stop();
  }

  const std::string& id() const { return options_.id; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Partitions it from the store: its heartbeats don't arrive. Requests and orders still do.
  void CutFromStore(bool cut) {
    cut_ = cut;
    if (!cut) {
      Register();
    }
  }
  // Reports that it is draining.
  void Drain() {
    state_ = "draining";
    Register();
  }
  // Ends it without notice: the port refuses connections from then on.
  void Crash() {
    cut_ = true;
    stopping_ = true;
    changed_.notify_all();
    listener_->Stop();
    record_.Note("target " + id() + " crashed");
  }
  // Whether it holds a key now.
  bool Holds(int key) {
    const std::lock_guard lock{mutex_};
    return HoldUntil(key) > record_.Now();
  }

 private:
  struct Grant {
    int first = 0;
    int last = 0;
    double until = 0;
  };

  void Register() {
    const json entry{{"service", options_.service},
                     {"address", address()},
                     {"zone", options_.zone},
                     {"version", "v1"},
                     {"max_concurrency", options_.slots},
                     {"state", state_},
                     {"warmup_left_s", 0.0},
                     {"seq", ++sequence_},
                     {"born", born_}};
    store_.Put("servers/" + id(), entry.dump());
  }
  void Beat() {
    while (!stopping_) {
      if (!cut_) {
        Register();
      }
      for (int waited = 0; waited < Store::kHeartbeatMs && !stopping_; waited += 10) {
        SleepMs(10);
      }
    }
  }

  double HoldUntil(int key) const { return LatestEnd(grants_, key); }
  static double LatestEnd(const std::vector<Grant>& grants, int key) {
    double until = 0;
    for (const Grant& each : grants) {
      if (each.first <= key && key <= each.last) {
        until = std::max(until, each.until);
      }
    }
    return until;
  }

  void Serve(Connection& connection) {
    while (!stopping_) {
      const auto request = connection.Read(600'000);
      if (!request) {
        return;
      }
      const std::string answer = Handle(*request, connection);
      if (answer.empty() || !connection.Write(answer)) {
        return;
      }
    }
  }

  std::string Handle(const Message& request, Connection& connection) {
    const std::string id_header = "X-Request-Id: " + request.Header("X-Request-Id") + "\r\n";
    const std::string expected = request.Header("X-Expect-Instance");
    if (!expected.empty() && expected != id()) {
      return FormatAnswer(421, id_header + "X-Not-Executed: 1\r\n", "");
    }
    const std::string target = request.SecondWord();
    if (target == "/v1/grant") {
      return HandleGrant(json::parse(request.body), id_header);
    }
    if (target == "/v1/release") {
      return HandleRelease(json::parse(request.body), id_header);
    }
    return HandleRequest(request, id_header, connection);
  }

  std::string HandleGrant(const json& order, const std::string& id_header) {
    const int first = order.at("from").get<int>();
    const int last = order.at("to").get<int>();
    const auto fence = order.at("fence").get<std::uint64_t>();
    const double hold_s = order.at("hold_s").get<double>();
    const std::unique_lock lock{mutex_};
    const bool outdated = std::any_of(seen_fences_.begin() + first, seen_fences_.begin() + last + 1,
                                      [fence](std::uint64_t seen) { return seen > fence; });
    const double now = record_.Now();
    record_.Note("target " + id() + (outdated ? " refuses" : " takes") +
                 " grant keys=" + std::to_string(first) + "-" + std::to_string(last) +
                 " fence=" + std::to_string(fence) + " hold_s=" + std::to_string(hold_s));
    if (outdated) {
      return FormatAnswer(409, id_header, "{}");
    }
    std::fill(seen_fences_.begin() + first, seen_fences_.begin() + last + 1, fence);
    std::erase_if(grants_, [&](const Grant& each) {
      return each.until <= now || (first <= each.first && each.last <= last);
    });
    grants_.push_back({first, last, now + hold_s});
    all_grants_.push_back({first, last, now + hold_s});
    ledger_.AddGrant({id(), first, last, fence, now, now + hold_s, now + hold_s});
    return FormatAnswer(200, id_header, "{}");
  }

  // Stops new work at once, and answers when the running work has ended.
  std::string HandleRelease(const json& order, const std::string& id_header) {
    const int first = order.at("from").get<int>();
    const int last = order.at("to").get<int>();
    const auto fence = order.at("fence").get<std::uint64_t>();
    const std::string keys = std::to_string(first) + "-" + std::to_string(last);
    std::unique_lock lock{mutex_};
    for (int key = first; key <= last; ++key) {
      seen_fences_[key] = std::max(seen_fences_[key], fence);
    }
    std::vector<Grant> kept;
    for (const Grant& each : grants_) {
      if (each.last < first || each.first > last) {
        kept.push_back(each);
        continue;
      }
      if (each.first < first) {
        kept.push_back({each.first, first - 1, each.until});
      }
      if (each.last > last) {
        kept.push_back({last + 1, each.last, each.until});
      }
    }
    grants_ = std::move(kept);
    ledger_.AddRelease(id(), first, last, record_.Now());
    record_.Note("target " + id() + " stops new work keys=" + keys +
                 " fence=" + std::to_string(fence));
    changed_.wait(lock, [&] {
      return stopping_ || std::none_of(working_.begin(), working_.end(), [&](const auto& each) {
               return first <= each.second && each.second <= last;
             });
    });
    record_.Note("target " + id() + " answers the release keys=" + keys);
    return FormatAnswer(200, id_header + "X-Handover: " + std::to_string(++handovers_) + "\r\n",
                        "");
  }

  static int Query(const std::string& target, const std::string& name, int fallback) {
    const std::size_t at = target.find(name + "=");
    return at == std::string::npos ? fallback : std::atoi(target.c_str() + at + name.size() + 1);
  }

  std::string HandleRequest(const Message& request, const std::string& id_header,
                            Connection& connection) {
    const std::string request_id = request.Header("X-Request-Id");
    const std::string target = request.SecondWord();
    const int key = request.Has("X-Shard-Key") ? std::stoi(request.Header("X-Shard-Key")) : -1;
    std::unique_lock lock{mutex_};
    if (options_.holds_keys && (key < 0 || HoldUntil(key) <= record_.Now())) {
      record_.Note("target " + id() + " rejects " + request_id + " (key not held)");
      return FormatAnswer(421, id_header + "X-Not-Executed: 1\r\n", "");
    }
    const std::uint64_t work = ++last_work_;
    working_[work] = key;
    record_.Note("target " + id() + " runs " + request_id + " " + request.FirstWord() + " " +
                 target + (key < 0 ? "" : " key=" + std::to_string(key)));
    const std::size_t run = ledger_.BeginRun({id(), request_id, key, record_.Now(), 0});
    const auto end = Clock::now() + milliseconds{Query(target, "work", 20)};
    const std::string deadline = request.Header("X-Deadline-Ms");
    const auto limit =
        deadline.empty() ? end : Clock::now() + milliseconds{std::atoi(deadline.c_str())};
    int status = 200;
    while (!stopping_ && Clock::now() < end) {
      changed_.wait_until(lock, std::min(end, Clock::now() + milliseconds{10}));
      if (Clock::now() >= limit) {
        status = 504;
        break;
      }
      // Work that outlasts its lease ends. Work goes on after a release.
      if (options_.holds_keys && LatestEnd(all_grants_, key) <= record_.Now()) {
        status = 500;
        break;
      }
      if (connection.HasPeerLeft()) {
        status = 0;
        break;
      }
    }
    working_.erase(work);
    ledger_.EndRun(run, record_.Now());
    record_.Note("target " + id() + " ends " + request_id + " status=" + std::to_string(status));
    changed_.notify_all();
    if (status == 0 || stopping_) {
      return "";
    }
    const std::string body(static_cast<std::size_t>(Query(target, "bytes", 20)), 'b');
    std::string answer =
        FormatAnswer(status, id_header + "X-Server-Stamp: stamp-" + id() + "\r\n", body);
    // An answer to HEAD names the length of a body that it doesn't have.
    if (request.FirstWord() == "HEAD") {
      answer.resize(answer.size() - body.size());
    }
    return answer;
  }

  static constexpr int kKeys = 65536;

  Store& store_;
  Record& record_;
  Ledger& ledger_;
  const Options options_;
  const std::int64_t born_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> cut_ = false;
  std::string state_ = "ready";
  std::uint64_t sequence_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  // The grants in force, and all that were taken, as if nothing was released.
  std::vector<Grant> grants_;
  std::vector<Grant> all_grants_;
  std::vector<std::uint64_t> seen_fences_ = std::vector<std::uint64_t>(kKeys, 0);
  std::map<std::uint64_t, int> working_;
  std::uint64_t last_work_ = 0;
  std::uint64_t handovers_ = 0;
  std::unique_ptr<Listener> listener_;
  const std::uint16_t port_;
  std::thread heartbeat_;
};

}  // namespace review

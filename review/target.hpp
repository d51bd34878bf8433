// Stand-in for a target of a service that is not divided by key, with its entry in the store.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <set>

#include "record.hpp"
#include "store.hpp"

namespace standin {

// How a service's targets behave.
struct TargetSettings {
  std::string service;
  std::string zone;
  int slots = 6;
  double work_s = 0.12;
  // A request whose path contains this text crashes the target that begins to run it. Empty: none.
  std::string crash_text;
  // How long a crashed target stays away; it comes back at its address under a new id.
  double restart_s = 2.0;
  // Whether a request that has run fails now: it is answered with this status. Unset: never.
  std::function<bool()> fails = {};
  int failure_status = 503;
};

// The runs and arrivals at all targets of a test.
struct RunLog {
  struct Run {
    std::string id;
    std::string path;
    std::string target;
    double at_s = 0;
  };
  std::mutex mutex;
  std::vector<Run> runs;
  // Requests whose run a crash of the target ended.
  std::set<std::string> lost_ids;
  std::map<std::string, int> runs_by_id;

  bool HasRun(const std::string& id) {
    const std::lock_guard lock{mutex};
    return runs_by_id.contains(id);
  }
};

class Target {
 public:
  Target(TargetSettings settings, std::string name, Store& store, RunLog& log, Record& record)
      : settings_(std::move(settings)),
        name_(std::move(name)),
        store_(store),
        log_(log),
        record_(record),
        server_(0, [this](Connection& connection) { Serve(connection); }) {
    Begin();
    std::thread([this] { Beat(); }).detach();
  }

 private:
  // Starts a life of the target.
  void Begin() {
    const std::lock_guard lock{mutex_};
    ++life_;
    id_ = name_ + "-" + std::to_string(life_);
    born_ms_ = std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
    sequence_ = 0;
    running_ = 0;
    up_ = true;
    Register();
  }

  // Writes the entry of the target in the store.
  void Register() {
    store_.Put("servers/" + id_, json{{"service", settings_.service},
                                      {"address", "127.0.0.1:" + std::to_string(server_.port())},
                                      {"zone", settings_.zone},
                                      {"version", "v1"},
                                      {"max_concurrency", settings_.slots},
                                      {"state", "ready"},
                                      {"warmup_left_s", 0},
                                      {"seq", ++sequence_},
                                      {"born", born_ms_}}
                                     .dump());
  }

  // Renews the entry. A target that is down says nothing, and its entry goes after three intervals.
  void Beat() {
    constexpr double kHeartbeatS = 0.87;
    for (;;) {
      Sleep(kHeartbeatS);
      const std::lock_guard lock{mutex_};
      if (up_) Register();
      if (!stale_id_.empty() && SecondsSince(crashed_at_) > 3 * kHeartbeatS) {
        store_.Remove("servers/" + std::exchange(stale_id_, {}));
      }
    }
  }

  void Serve(Connection& connection) {
    int life;
    {
      const std::lock_guard lock{mutex_};
      life = life_;
      if (!up_) {
        connection.Reset();
        return;
      }
    }
    while (const auto request = connection.Read()) {
      const std::string id = request->Header("x-request-id");
      const std::string echo = "X-Request-Id: " + id + "\r\n";
      const std::string expected = request->Header("x-expect-instance");
      {
        const std::lock_guard lock{mutex_};
        if (life != life_ || !up_) {
          connection.Reset();
          return;
        }
        if (!expected.empty() && expected != id_) {
          if (!connection.Write(Answer(421, echo + "X-Not-Executed: 1\r\n", ""))) return;
          continue;
        }
        if (running_ >= settings_.slots) {
          if (!connection.Write(Answer(503, echo + "X-Not-Executed: 1\r\n", ""))) return;
          continue;
        }
        ++running_;
        running_ids_.insert(id);
      }
      Note(*request, id);
      if (Crashes(*request)) {
        Crash();
        connection.Reset();
        return;
      }
      const bool left = Work(connection, life);
      const std::lock_guard lock{mutex_};
      if (life != life_ || !up_) {
        connection.Reset();
        return;
      }
      --running_;
      running_ids_.erase(id);
      const bool failed = settings_.fails && settings_.fails();
      if (failed) record_.Write("run failed target=" + id_ + " id=" + id);
      const int status = failed ? settings_.failure_status : 200;
      const std::string headers = echo + "X-Server-Stamp: " + id_ + "\r\n";
      if (left || !connection.Write(Answer(status, headers, "ran " + id))) return;
    }
  }

  bool Crashes(const Message& request) const {
    return !settings_.crash_text.empty() &&
           request.Target().find(settings_.crash_text) != std::string::npos;
  }

  void Note(const Message& request, const std::string& id) {
    const std::lock_guard lock{log_.mutex};
    log_.runs.push_back({id, request.Target(), id_, record_.Now()});
    ++log_.runs_by_id[id];
    record_.Write("run target=" + id_ + " id=" + id + " path=" + request.Target() +
                  " deadline_ms=" + request.Header("x-deadline-ms") +
                  " body=" + std::to_string(request.body.size()));
  }

  // Works for a while; returns whether the caller has left meanwhile, which ends the work.
  bool Work(const Connection& connection, int life) {
    const auto end = Clock::now() + std::chrono::duration_cast<Clock::duration>(
                                        std::chrono::duration<double>(settings_.work_s));
    while (Clock::now() < end) {
      Sleep(0.005);
      const std::lock_guard lock{mutex_};
      if (life != life_ || !up_) return false;
    }
    return connection.HasInput();
  }

  void Crash() {
    {
      const std::lock_guard lock{mutex_};
      up_ = false;
      crashed_at_ = Clock::now();
      stale_id_ = id_;
      record_.Write("crash target=" + id_ + " running=" + std::to_string(running_));
      const std::lock_guard log_lock{log_.mutex};
      log_.lost_ids.insert(running_ids_.begin(), running_ids_.end());
      running_ids_.clear();
    }
    std::thread([this] {
      Sleep(settings_.restart_s);
      Begin();
    }).detach();
  }

  const TargetSettings settings_;
  const std::string name_;
  Store& store_;
  RunLog& log_;
  Record& record_;
  std::mutex mutex_;
  std::string id_;
  std::string stale_id_;
  std::int64_t born_ms_ = 0;
  int sequence_ = 0;
  int life_ = 0;
  int running_ = 0;
  std::set<std::string> running_ids_;
  bool up_ = false;
  Clock::time_point crashed_at_;
  Server server_;
};

}  // namespace standin

// What a case saw: lines for record.txt, and the grants, releases and runs that the checks need.
#pragma once

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "stand_in_http.hpp"

namespace review {

class Record {
 public:
  explicit Record(const std::string& path)
      : file_(path, std::ios::trunc), began_at_(Clock::now()) {}

  // Seconds since the case began.
  double Now() const { return std::chrono::duration<double>(Clock::now() - began_at_).count(); }
  void Note(const std::string& line) {
    char time[32];
    std::snprintf(time, sizeof time, "%9.4f  ", Now());
    const std::lock_guard lock{mutex_};
    file_ << time << line << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  const Clock::time_point began_at_;
};

// A time for which a target may run requests for keys, from one grant.
struct Hold {
  std::string target;
  int first = 0;
  int last = 0;
  std::uint64_t fence = 0;
  double granted_at = 0;
  // When the grant runs out.
  double until = 0;
  // When the target stopped holding the keys: at a release, or when the grant ran out.
  double ended_at = 0;
};

struct Run {
  std::string target;
  std::string id;
  int key = -1;
  double began_at = 0;
  double ended_at = 0;
};

class Ledger {
 public:
  void AddGrant(const Hold& hold) {
    const std::lock_guard lock{mutex_};
    holds_.push_back(hold);
  }
  // Ends the holds of a target on the keys. What is left of a hold beside them goes on.
  void AddRelease(const std::string& target, int first, int last, double at) {
    const std::lock_guard lock{mutex_};
    std::vector<Hold> rest;
    for (Hold& each : holds_) {
      if (each.target != target || each.ended_at <= at || each.last < first || each.first > last) {
        continue;
      }
      Hold left = each;
      Hold right = each;
      left.last = first - 1;
      right.first = last + 1;
      left.granted_at = right.granted_at = at;
      for (const Hold& part : {left, right}) {
        if (part.first <= part.last) {
          rest.push_back(part);
        }
      }
      each.ended_at = at;
    }
    holds_.insert(holds_.end(), rest.begin(), rest.end());
  }
  std::size_t BeginRun(const Run& run) {
    const std::lock_guard lock{mutex_};
    runs_.push_back(run);
    runs_.back().ended_at = 1e9;
    return runs_.size() - 1;
  }
  void EndRun(std::size_t run, double at) {
    const std::lock_guard lock{mutex_};
    runs_[run].ended_at = at;
  }

  // Looks for breaks of OWNER: keys that two targets held for over half a second, and keys that
  // were given to a target while another was at work on them and its hold had not run out.
  std::vector<std::string> FindOwnerBreaks() const {
    const std::lock_guard lock{mutex_};
    std::vector<std::string> breaks;
    for (const Hold& one : holds_) {
      for (const Hold& two : holds_) {
        if (one.target >= two.target || one.last < two.first || two.last < one.first) {
          continue;
        }
        const double begin = std::max(one.granted_at, two.granted_at);
        const double end = std::min(one.ended_at, two.ended_at);
        if (end - begin > 0.5) {
          breaks.push_back(Text("keys %d-%d held by %s and %s from %.3f to %.3f",
                                std::max(one.first, two.first), std::min(one.last, two.last),
                                one.target.c_str(), two.target.c_str(), begin, end));
        }
      }
    }
    for (const Hold& given : holds_) {
      for (const Run& run : runs_) {
        const bool at_work = run.target != given.target && run.key >= given.first &&
                             run.key <= given.last && run.began_at < given.granted_at &&
                             run.ended_at > given.granted_at;
        if (!at_work) {
          continue;
        }
        double until = 0;
        for (const Hold& each : holds_) {
          if (each.target == run.target && each.first <= run.key && run.key <= each.last &&
              each.granted_at <= given.granted_at) {
            until = std::max(until, each.until);
          }
        }
        if (until > given.granted_at) {
          breaks.push_back(
              Text("key %d given to %s at %.3f while %s works on it (%s, %.3f to %.3f) and holds "
                   "it until %.3f",
                   run.key, given.target.c_str(), given.granted_at, run.target.c_str(),
                   run.id.c_str(), run.began_at, run.ended_at, until));
        }
      }
    }
    return breaks;
  }
  std::vector<Run> runs() const {
    const std::lock_guard lock{mutex_};
    return runs_;
  }

 private:
  template <typename... Values>
  static std::string Text(const char* format, Values... values) {
    char text[400];
    std::snprintf(text, sizeof text, format, values...);
    return text;
  }

  mutable std::mutex mutex_;
  std::vector<Hold> holds_;
  std::vector<Run> runs_;
};

}  // namespace review

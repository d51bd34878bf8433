#include "core/crashing_requests.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamorestall {

namespace {

// A request that has crashed this many endpoints is not sent any more.
constexpr std::size_t kCrashesUntilBlocked = 3;
// For how long after its last crash, and for how long that is remembered: until then one more crash
// blocks the request again.
constexpr std::chrono::minutes kBlockTime{10};
constexpr std::chrono::minutes kCrashMemory{20};
// An endpoint that answers within this time after it broke a call has not crashed. An answer that
// comes sooner may have been sent before, and one that comes later after a new start.
constexpr std::chrono::milliseconds kTransitTime{50};
constexpr std::chrono::milliseconds kRestartTime{1000};
// A suspected crash counts like a certain one after this time without an answer of the endpoint, if
// the request has crashed others for certain.
constexpr std::chrono::milliseconds kSuspicionDelay{500};
// An endpoint that has not ended by then has not crashed.
constexpr std::chrono::seconds kSuspicionMemory{10};
// For how long after it became certain a crash is reported with each message. After that, and only
// if its request has crashed others too, it is reported at this interval.
constexpr std::chrono::seconds kReportTime{2};
constexpr std::chrono::seconds kFullReportInterval{2};
// What does not fit into a message comes with the next ones.
constexpr std::size_t kMaxReports = 64;
// The most requests that are suspected, and for which crashes are remembered.
constexpr std::size_t kMaxRequests = 1024;

Instant LatestCrash(const std::map<EndpointRun, Instant>& crashes) {
  Instant latest;
  for (const auto& [run, crashed_at] : crashes) {
    latest = std::max(latest, crashed_at);
  }
  return latest;
}

std::uint32_t MillisecondsSince(Instant then, Instant now) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now - then).count());
}

}  // namespace

void CrashingRequests::RecordBreak(RequestFingerprint request, const EndpointRun& run,
                                   Instant now) {
  if (suspicions_.size() >= kMaxRequests) {
    suspicions_.erase(suspicions_.begin());
  }
  suspicions_.push_back({request, run, now});
}

void CrashingRequests::RecordAnswer(const InstanceId& endpoint, Instant now) {
  std::erase_if(suspicions_, [&](const Suspicion& each) {
    const Duration since_break = now - each.broke_at;
    return each.run.endpoint == endpoint && since_break >= kTransitTime &&
           since_break < kRestartTime;
  });
}

void CrashingRequests::RecordCompletion(RequestFingerprint request, Instant now) {
  std::erase_if(suspicions_, [&](const Suspicion& each) { return each.request == request; });
  if (crashes_.erase(request) > 0) {
    completed_at_[request] = now;
  }
}

template <typename Matches>
void CrashingRequests::ConfirmSuspicions(Matches matches) {
  for (const Suspicion& each : suspicions_) {
    if (matches(each)) {
      AddCrash(each.request, each.run, each.broke_at);
      seen_here_.insert(each.request);
    }
  }
  std::erase_if(suspicions_, matches);
}

void CrashingRequests::RecordEnd(const EndpointRun& run, Instant now) {
  DiscardOld(now);
  ConfirmSuspicions([&run](const Suspicion& each) { return each.run == run; });
}

void CrashingRequests::RecordRefusal(const InstanceId& endpoint, Instant now) {
  DiscardOld(now);
  // An endpoint that limits its connections may refuse one while it serves others.
  ConfirmSuspicions([&](const Suspicion& each) {
    return each.run.endpoint == endpoint && now - each.broke_at >= kSuspicionDelay;
  });
}

void CrashingRequests::AddCrash(RequestFingerprint request, const EndpointRun& run,
                                Instant crashed_at) {
  const auto completed = completed_at_.find(request);
  if (completed != completed_at_.end() && crashed_at <= completed->second) {
    return;
  }
  if (crashes_.size() >= kMaxRequests && !crashes_.contains(request)) {
    EraseLeastSuspect();
  }
  crashes_[request].emplace(run, crashed_at);
}

void CrashingRequests::EraseLeastSuspect() {
  const auto least =
      std::min_element(crashes_.begin(), crashes_.end(), [](const auto& left, const auto& right) {
        return std::pair{left.second.size(), LatestCrash(left.second)} <
               std::pair{right.second.size(), LatestCrash(right.second)};
      });
  crashes_.erase(least);
}

void CrashingRequests::ApplyReport(const CrashReport& report, Instant now) {
  AddCrash(report.request, report.run, now - std::chrono::milliseconds{report.ms_ago});
}

Duration CrashingRequests::BlockedFor(RequestFingerprint request, Instant now) const {
  const auto found = crashes_.find(request);
  if (found == crashes_.end()) {
    return {};
  }
  std::size_t crashes = found->second.size();
  Instant latest = LatestCrash(found->second);
  for (const Suspicion& each : suspicions_) {
    const bool counts = each.request == request && now - each.broke_at >= kSuspicionDelay &&
                        !found->second.contains(each.run);
    if (counts && crashes + 1 >= kCrashesUntilBlocked) {
      ++crashes;
      latest = std::max(latest, each.broke_at);
    }
  }
  if (crashes < kCrashesUntilBlocked) {
    return {};
  }
  return std::max(latest + kBlockTime - now, Duration{});
}

std::vector<RequestFingerprint> CrashingRequests::BlockedByCrashesSeenHere(Instant now) const {
  std::vector<RequestFingerprint> blocked;
  std::copy_if(
      seen_here_.begin(), seen_here_.end(), std::back_inserter(blocked), [&](const auto& each) {
        return RunsOf(each).size() >= kCrashesUntilBlocked && BlockedFor(each, now) > Duration{};
      });
  return blocked;
}

std::vector<EndpointRun> CrashingRequests::RunsOf(RequestFingerprint request) const {
  std::vector<EndpointRun> runs;
  const auto found = crashes_.find(request);
  if (found != crashes_.end()) {
    for (const auto& [run, crashed_at] : found->second) {
      runs.push_back(run);
    }
  }
  return runs;
}

std::vector<CrashReport> CrashingRequests::TakeReports(Instant now) {
  DiscardOld(now);
  const bool full = now >= next_full_report_at_;
  if (full) {
    next_full_report_at_ = now + kFullReportInterval;
  }
  std::vector<CrashReport> reports;
  auto next = crashes_.lower_bound(next_reported_);
  for (std::size_t i = 0; i < crashes_.size() && reports.size() < kMaxReports; ++i, ++next) {
    if (next == crashes_.end()) {
      next = crashes_.begin();
    }
    const auto& [request, crashes] = *next;
    for (const auto& [run, crashed_at] : crashes) {
      // It became certain within the first of these times.
      const bool recent = now - crashed_at < kSuspicionMemory + kReportTime;
      if ((recent || (full && crashes.size() > 1)) && reports.size() < kMaxReports) {
        reports.push_back({request, run, MillisecondsSince(crashed_at, now)});
      }
    }
  }
  next_reported_ = next == crashes_.end() ? RequestFingerprint{} : next->first;
  return reports;
}

void CrashingRequests::DiscardOld(Instant now) {
  std::erase_if(suspicions_,
                [now](const Suspicion& each) { return now - each.broke_at >= kSuspicionMemory; });
  std::erase_if(crashes_,
                [now](const auto& each) { return now - LatestCrash(each.second) >= kCrashMemory; });
  std::erase_if(seen_here_, [this](const auto& each) { return !crashes_.contains(each); });
  std::erase_if(completed_at_,
                [now](const auto& each) { return now - each.second >= kCrashMemory; });
}

}  // namespace sycamorestall

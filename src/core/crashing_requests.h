#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core/boot_clock.h"
#include "core/identifiers.h"

namespace sycamorestall {

// Identifies requests that are the same: same caller, method, address and body.
struct RequestFingerprint {
  std::uint64_t value = 0;

  friend auto operator<=>(const RequestFingerprint&,
                          const RequestFingerprint&) = default;  // NOLINT
};

// One run of an endpoint.
struct EndpointRun {
  InstanceId endpoint;
  Incarnation incarnation;

  friend auto operator<=>(const EndpointRun&, const EndpointRun&) = default;  // NOLINT
};

// A request was running at an endpoint when that crashed.
struct CrashReport {
  RequestFingerprint request;
  EndpointRun run;
  // Milliseconds since the crash.
  std::uint32_t ms_ago = 0;

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

// Decides which requests may not be sent any more, as each endpoint that ran them crashed.
//
// An endpoint that crashes ends all calls that it runs, so each of these requests is suspected. It
// counts as a crash once the endpoint has certainly ended; if the endpoint answers anything soon
// after, it only closed a connection. A request that is answered is harmless, whatever had been
// suspected. What counts against a request is shared with other daemons, where it may come next.
class CrashingRequests {
 public:
  // Notes that an endpoint ended the request's call without a byte of an answer.
  void RecordBreak(RequestFingerprint request, const EndpointRun& run, Instant now);
  // Notes that an endpoint has answered a call.
  void RecordAnswer(const InstanceId& endpoint, Instant now);
  // Notes that an endpoint has run the request itself and answered it.
  void RecordCompletion(RequestFingerprint request, Instant now);
  // Notes that a run of an endpoint has ended.
  void RecordEnd(const EndpointRun& run, Instant now);
  // Notes that nothing listens at an endpoint's address.
  void RecordRefusal(const InstanceId& endpoint, Instant now);
  // Takes over what another daemon knows.
  void ApplyReport(const CrashReport& report, Instant now);

  // For how long the request may not be sent; zero if it may be.
  Duration BlockedFor(RequestFingerprint request, Instant now) const;
  // The blocked requests whose crashes are all certain, and of which this daemon saw at least one.
  std::vector<RequestFingerprint> BlockedByCrashesSeenHere(Instant now) const;
  // The runs of endpoints that a request has crashed.
  std::vector<EndpointRun> RunsOf(RequestFingerprint request) const;
  // Whether nothing is suspected or known, so that no request has to be looked up.
  bool empty() const { return suspicions_.empty() && crashes_.empty(); }
  // What the other daemons should be told: recent crashes, and now and then those of requests that
  // may become blocked.
  std::vector<CrashReport> TakeReports(Instant now);
  // Forgets what is too old to count.
  void DiscardOld(Instant now);

 private:
  // A broken call whose endpoint may have crashed.
  struct Suspicion {
    RequestFingerprint request;
    EndpointRun run;
    Instant broke_at;
  };
  using Crashes = std::map<EndpointRun, Instant>;

  void AddCrash(RequestFingerprint request, const EndpointRun& run, Instant crashed_at);
  // Makes room for another request: forgets the one with the fewest crashes, the oldest first.
  void EraseLeastSuspect();
  // Turns the suspicions of an endpoint's run, or of all its runs, into crashes.
  template <typename Matches>
  void ConfirmSuspicions(Matches matches);

  std::vector<Suspicion> suspicions_;
  std::map<RequestFingerprint, Crashes> crashes_;
  // Requests of which a crash was seen here, not only reported.
  std::set<RequestFingerprint> seen_here_;
  // When requests were last answered: earlier crashes do not count against them.
  std::map<RequestFingerprint, Instant> completed_at_;
  Instant next_full_report_at_;
  // The request with whose crashes the next reports begin.
  RequestFingerprint next_reported_;
};

}  // namespace sycamorestall

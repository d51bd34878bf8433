#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/endpoint_history.h"

namespace sycamorestall {

// Holds entries back that may have been written late, until there is a sign that their endpoints
// are alive: a further heartbeat, a health check, or that the entry stays in the list for longer
// than one that nobody renews.
class UnconfirmedEntries {
 public:
  struct Candidate {
    EndpointEntry entry;
    Revision revision;
    // kUnconfirmedReturn or kUnconfirmedStart.
    EntryAge age = EntryAge::kUnconfirmedReturn;
    Instant since;
  };

  // Adds an entry. Returns whether it confirms the one of the endpoint that was held back, being a
  // later heartbeat of the same incarnation; neither is held back any longer then.
  bool Add(const Candidate& candidate);
  // Drops the entry of an endpoint, as the list has another one or none. Returns whether there was
  // one.
  bool Discard(const InstanceId& id) { return candidates_.erase(id) > 0; }
  // Removes and returns the entry if it is still held back; for an endpoint that was found healthy.
  std::optional<Candidate> Confirm(const EndpointEntry& entry, Instant now);
  // Removes and returns the entries that have stayed in the list for long enough.
  std::vector<Candidate> TakeConfirmed(Instant now);

  bool empty() const { return candidates_.empty(); }
  const std::map<InstanceId, Candidate>& candidates() const { return candidates_; }
  // Whether an entry of the endpoint was confirmed a few seconds ago, so that other daemons may
  // still wait for further heartbeats.
  bool WasConfirmedRecently(const InstanceId& id, Instant now) const;

 private:
  // Whether an entry is a later heartbeat of the one that is held back.
  static bool Renews(const Candidate& candidate, const Candidate& earlier);
  void RecordConfirmation(const InstanceId& id, Instant now);

  std::map<InstanceId, Candidate> candidates_;
  std::map<InstanceId, Instant> confirmed_at_;
};

}  // namespace sycamorestall

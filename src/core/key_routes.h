#pragma once

#include <optional>
#include <vector>

#include "core/ownership_record.h"

namespace sycamorestall {

// What a leader tells all daemons: which endpoints serve which keys. Keys that
// are not named are between two owners.
struct KeyAnnouncement {
  Term term;
  // Later announcements of one term have higher numbers.
  std::uint64_t sequence = 0;
  std::vector<OwnedRange> served;

  friend bool operator==(const KeyAnnouncement&, const KeyAnnouncement&) = default;
};

// Where a daemon sends requests for the keys of one service: what the leader
// announced lately, or else what the record says.
class KeyRoutes {
 public:
  // The record in the store is this one.
  void TakeRecord(const OwnershipRecord& record);
  // The leader announced this; older announcements are passed over.
  void TakeAnnouncement(KeyAnnouncement announcement, Instant now);

  // Who serves a key; empty while nobody is known to.
  std::optional<InstanceId> OwnerOf(KeyNumber key, Instant now) const;
  // Whether anything is known of any owner.
  bool known() const { return !recorded_.empty() || !announced_.served.empty(); }
  // What routes are taken from now, for the log: the term, and the
  // announcement's number or 0 for the record.
  Term term() const { return std::max(term_, announced_.term); }
  std::uint64_t sequence() const { return announced_.sequence; }

 private:
  bool AnnouncementHolds(Instant now) const;

  Term term_;
  std::vector<OwnedRange> recorded_;
  KeyAnnouncement announced_;
  std::optional<Instant> announced_at_;
};

}  // namespace sycamorestall
